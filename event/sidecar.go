package event

import "go.uber.org/zap/zapcore"

// Events of sidecars.
const (
	SidecarStopped Number = 3001
	SidecarWoke    Number = 3002
)

func sidecarEvents() []Entry {
	return []Entry{
		{
			Number:  SidecarStopped,
			Name:    "sidecar-stopped",
			Level:   zapcore.InfoLevel,
			Meaning: "The sidecar has stopped; the counts say how many flows were cut.",
			Action:  "When flows were cut, allow a longer drain next time.",
		},
		{
			Number:  SidecarWoke,
			Name:    "sidecar-woke",
			Level:   zapcore.WarnLevel,
			Meaning: "The sidecar was paused and drops what waited in its sockets.",
			Action:  "Look for an overcommitted or frozen instance when it repeats.",
		},
	}
}
