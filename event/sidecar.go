package event

import "go.uber.org/zap/zapcore"

// Events of sidecars.
const (
	SidecarStopped Number = 3001
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
	}
}
