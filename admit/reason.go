package admit

// Reason is why an opening is refused. The zero value admits it.
type Reason uint8

// The reasons.
const (
	// Admitted is not a refusal.
	Admitted Reason = iota
	// ReasonTimeout: the answer would come after the route's timeout.
	ReasonTimeout
	// ReasonPriority: more important routes fill the service.
	ReasonPriority
	// ReasonShare: the caller prefix exceeds its fair share of the route.
	ReasonShare
	// ReasonRetry: the caller was refused shortly before, and the retry budget of the
	// route is spent.
	ReasonRetry

	// ReasonCount is the number of reasons, including Admitted.
	ReasonCount
)

// String returns the name of the reason that logs and metrics use.
func (r Reason) String() string {
	switch r {
	case Admitted:
		return "admitted"
	case ReasonTimeout:
		return "timeout"
	case ReasonPriority:
		return "priority"
	case ReasonShare:
		return "share"
	case ReasonRetry:
		return "retry"
	}
	return "unknown"
}
