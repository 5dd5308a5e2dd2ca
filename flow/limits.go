package flow

import "time"

// Timing constants that all sidecars and balancers share.
const (
	// MaxPacketLifetime is the maximum time that a packet is in transit between two processes.
	MaxPacketLifetime = 2 * time.Second
	// ReportInterval is the interval between reports of a sidecar to its peers.
	ReportInterval = time.Second
	// SuspectTimeout is the time without reports after which a peer is queried last.
	SuspectTimeout = 3 * time.Second
	// SilenceTTL is how long a SilenceReport stays valid at a balancer.
	SilenceTTL = 10 * time.Second
	// FenceTimeout is how long a sidecar delivers non-idempotent requests after a
	// majority of the service's upstreams last confirmed its reports.
	FenceTimeout = 5 * time.Second
	// DetourInterval is the interval at which packets of a UDP flow that is owned
	// away from its home are sent through the home. The home of a flow is the first
	// candidate that takes new flows and is not due for takeover.
	DetourInterval = time.Minute
	// DetourGrace extends DetourInterval while the home is silent.
	DetourGrace = time.Minute
	// RetryAfter is the minimum delay reported to a refused caller. The entry of a
	// refusal is kept for the same time.
	RetryAfter = 2 * MaxPacketLifetime
)

const (
	// takeoverFenceTimeouts is the number of fence timeouts before another sidecar takes over.
	takeoverFenceTimeouts = 3
	// searchTimeout bounds the duration of a search for the owner of a flow.
	searchTimeout = 2 * MaxPacketLifetime
	// searchSlack bounds the time between the handling of a packet at the home and at the owner.
	searchSlack = 20 * time.Second
	// halfOpenTimeout is how long a TCP flow is kept whose caller does not complete the handshake.
	halfOpenTimeout = 75 * time.Second
	// closingTimeout is how long a flow is kept after a FIN or RST.
	closingTimeout = time.Minute
	// touchInterval is the resolution of entry.lastUsed for packets of owned flows.
	touchInterval = time.Second
	// maxHops bounds the number of sidecars that handle one packet.
	maxHops = 40
	// maxWindow bounds the bytes that an upstream has sent without acknowledgement of the caller.
	maxWindow = 1 << 24
)

// ticks converts a duration to a number of ticks.
func ticks(d time.Duration) stamp {
	return stamp(d / tickLength)
}
