package event

import "go.uber.org/zap/zapcore"

// Events of every process.
const (
	ProcessStarted Number = 1001
)

func processEvents() []Entry {
	return []Entry{
		{
			Number:  ProcessStarted,
			Name:    "process-started",
			Level:   zapcore.InfoLevel,
			Meaning: "The process validated its settings and started.",
			Action:  "None.",
		},
	}
}
