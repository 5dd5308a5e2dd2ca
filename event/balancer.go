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
			Meaning: "The balancer stopped after its drain time; the fields hold the numbers of packets that it forwarded and dropped.",
			Action:  "None.",
		},
	}
}
