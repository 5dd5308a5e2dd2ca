package event

import "go.uber.org/zap/zapcore"

// Events of control between processes and with the platform.
const (
	PlatformUnreachable Number = 5001
)

func peerEvents() []Entry {
	return []Entry{
		{
			Number:  PlatformUnreachable,
			Name:    "platform-unreachable",
			Level:   zapcore.WarnLevel,
			Meaning: "The platform did not answer; the process works on with the bundle that it has.",
			Action:  "See the page on a platform outage in docs/OPERATIONS.md.",
		},
	}
}
