package event

import "go.uber.org/zap/zapcore"

// Events of the operator address.
const (
	OperatorListening Number = 6001
	// LimitReached is logged by a balancer at most once a minute for each service and reason.
	LimitReached Number = 6010
	// QueueRefusing is logged by a sidecar at most once a minute.
	QueueRefusing Number = 6011
	// UpstreamFailing is logged by a sidecar when it begins to pass new flows on.
	UpstreamFailing Number = 6012
	// UpstreamReturned is logged by a sidecar when it takes new flows again.
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
			Meaning: "The operator address answers.",
			Action:  "None.",
		},
		{
			Number:  LimitReached,
			Name:    "limit-reached",
			Level:   zapcore.WarnLevel,
			Meaning: "New flows of a service were refused because a limit of the bundle was reached.",
			Action:  "See docs/OVERLOAD.md; raise the limit in the bundle when the callers are right and upstreams have room.",
		},
		{
			Number:  QueueRefusing,
			Name:    "queue-refusing",
			Level:   zapcore.WarnLevel,
			Meaning: "Requests were refused because they could not finish before their deadlines.",
			Action:  "See docs/OVERLOAD.md; add upstreams when it lasts.",
		},
		{
			Number:  UpstreamFailing,
			Name:    "upstream-failing",
			Level:   zapcore.WarnLevel,
			Meaning: "The upstream refused or timed out several times in a row, and new flows are passed on.",
			Action:  "Look at the upstream; mark it as leaving in the bundle when it stays.",
		},
		{
			Number:  UpstreamReturned,
			Name:    "upstream-returned",
			Level:   zapcore.InfoLevel,
			Meaning: "The upstream takes new flows again, with a share that grows.",
			Action:  "None.",
		},
		{
			Number:  EndpointContradicted,
			Name:    "endpoint-contradicted",
			Level:   zapcore.WarnLevel,
			Meaning: "The health or load endpoint of the upstream says otherwise than what the sidecar sees.",
			Action:  "Repair the endpoint; what the sidecar sees decides until then.",
		},
		{
			Number:  RetryBudgetSpent,
			Name:    "retry-budget-spent",
			Level:   zapcore.WarnLevel,
			Meaning: "A retry was left out because retries reached their share of the first tries.",
			Action:  "Look for the upstream or link that fails; do not raise the share.",
		},
	}
}
