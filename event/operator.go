package event

import "go.uber.org/zap/zapcore"

// Events of the operator address, of overload and of failing upstreams.
const (
	OperatorListening Number = 6001
	// LimitReached is logged by a balancer at most once a minute for each service and reason.
	LimitReached Number = 6010
	// QueueRefusing is logged by a sidecar at most once a minute.
	QueueRefusing Number = 6011
	// UpstreamFailing is logged by a sidecar when it starts to pass new flows on.
	UpstreamFailing Number = 6012
	// UpstreamReturned is logged by a sidecar when it accepts new flows again.
	UpstreamReturned Number = 6013
	// EndpointContradicted is logged by a sidecar at most once a minute.
	EndpointContradicted Number = 6014
	// RetryBudgetSpent is logged at most once a minute.
	RetryBudgetSpent Number = 6015
)

func operatorEvents() []Entry {
	return []Entry{
		{
			Number:  OperatorListening,
			Name:    "operator-listening",
			Level:   zapcore.InfoLevel,
			Meaning: "The operator address accepts requests.",
			Action:  "None.",
		},
		{
			Number:  LimitReached,
			Name:    "limit-reached",
			Level:   zapcore.WarnLevel,
			Meaning: "New flows of a service were refused because a limit of the bundle was reached.",
			Action:  "See docs/OVERLOAD.md; raise the limit in the bundle if the load is legitimate and upstreams have spare capacity.",
		},
		{
			Number:  QueueRefusing,
			Name:    "queue-refusing",
			Level:   zapcore.WarnLevel,
			Meaning: "Requests were refused because they would have missed their deadlines.",
			Action:  "See docs/OVERLOAD.md; add upstreams if it lasts.",
		},
		{
			Number:  UpstreamFailing,
			Name:    "upstream-failing",
			Level:   zapcore.WarnLevel,
			Meaning: "The upstream refused or timed out several times in a row; new flows are passed on to other upstreams.",
			Action:  "Check the upstream; mark it as leaving in the bundle if it does not recover.",
		},
		{
			Number:  UpstreamReturned,
			Name:    "upstream-returned",
			Level:   zapcore.InfoLevel,
			Meaning: "The upstream accepts new flows again, at a gradually increasing share.",
			Action:  "None.",
		},
		{
			Number:  EndpointContradicted,
			Name:    "endpoint-contradicted",
			Level:   zapcore.WarnLevel,
			Meaning: "The health or load endpoint of the upstream contradicts what the sidecar observes.",
			Action:  "Fix the endpoint; until then, the observations of the sidecar take precedence.",
		},
		{
			Number:  RetryBudgetSpent,
			Name:    "retry-budget-spent",
			Level:   zapcore.WarnLevel,
			Meaning: "A retry was suppressed because retries reached their permitted ratio to first attempts.",
			Action:  "Find the failing upstream or link; do not raise the ratio.",
		},
	}
}
