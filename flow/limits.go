package flow

import "time"

// The times that all sidecars share.
const (
	// MaxPacketLifetime is how long a packet may be on its way between two processes.
	MaxPacketLifetime = 2 * time.Second
	// ReportInterval is the time between two reports of a sidecar to its peers.
	ReportInterval = time.Second
	// SuspectTimeout is how long a peer may be silent before it is asked last.
	SuspectTimeout = 3 * time.Second
	// SilenceTTL is how long a balancer believes that a sidecar is silent.
	SilenceTTL = 10 * time.Second
	// FenceTimeout is how long a sidecar that no peer hears keeps delivering non-idempotent requests.
	FenceTimeout = 5 * time.Second
	// DetourInterval is how often a UDP flow away from its first candidate is seen there.
	DetourInterval = time.Minute
	// DetourGrace is how much longer it may take while the first candidate is silent.
	DetourGrace = time.Minute
	// RetryAfter is what a refused caller is told to wait; a refusal is remembered as long.
	RetryAfter = 2 * MaxPacketLifetime
)

const (
	// takeoverFenceTimeouts is how many fence times must pass before another sidecar takes over.
	takeoverFenceTimeouts = 3
	// searchTimeout is how long a search for the owner of a flow may be on its way.
	searchTimeout = 2 * MaxPacketLifetime
	// searchSlack bounds how long after the first candidate the owner sees a packet.
	searchSlack = 20 * time.Second
	// halfOpenTimeout is how long an opening that the caller does not complete is kept.
	halfOpenTimeout = 75 * time.Second
	// closingTimeout is how long a flow is kept after a FIN or RST.
	closingTimeout = time.Minute
	// touchInterval is the resolution of the time of a flow's last packet.
	touchInterval = time.Second
	// maxHops bounds the sidecars that one packet visits.
	maxHops = 40
	// maxWindow bounds the bytes that an upstream has sent and the caller has not acknowledged.
	maxWindow = 1 << 24
)

// ticks returns the duration as a difference of stamps.
func ticks(d time.Duration) stamp {
	return stamp(d / tickLength)
}
