package event

import "go.uber.org/zap/zapcore"

// Events of the operator address.
const (
	OperatorListening Number = 6001
)

func operatorEvents() []Entry {
	return []Entry{
		{
			Number:  OperatorListening,
			Name:    "operator-listening",
			Level:   zapcore.InfoLevel,
			Meaning: "The operator address answers.",
			Action:  "None.",
		},
	}
}
