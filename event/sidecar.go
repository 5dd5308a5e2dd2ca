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
			Meaning: "The sidecar stopped; the fields hold the number of flows that were cut.",
			Action:  "If flows were cut, allow a longer drain time.",
		},
		{
			Number:  SidecarWoke,
			Name:    "sidecar-woke",
			Level:   zapcore.WarnLevel,
			Meaning: "The sidecar was paused; it drops the packets that waited in its sockets.",
			Action:  "If it repeats, look for an overcommitted or frozen instance.",
		},
	}
}
