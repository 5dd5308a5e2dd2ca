package event

import "go.uber.org/zap/zapcore"

// Events of balancers.
const (
	BalancerStopped Number = 2001
)

func balancerEvents() []Entry {
	return []Entry{
		{
			Number:  BalancerStopped,
			Name:    "balancer-stopped",
			Level:   zapcore.InfoLevel,
			Meaning: "The balancer has stopped after its drain time; the counts say what it forwarded and dropped.",
			Action:  "None.",
		},
	}
}
