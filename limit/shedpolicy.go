package limit

// ShedPolicy selects the request to refuse when the queue cannot take them all:
// ShedNewest, ShedLowestPriority or ShedLatestDeadline.
type ShedPolicy interface{ shedPolicy() }

// ShedNewest refuses the request that is being enqueued.
type ShedNewest struct{}

// ShedLowestPriority refuses the lowest priority first, and the newest within a
// priority.
type ShedLowestPriority struct{}

// ShedLatestDeadline refuses the request with the most time until its deadline
// first, since its caller has time to retry. A request without a deadline is
// refused before all others.
type ShedLatestDeadline struct{}

func (ShedNewest) shedPolicy()         {}
func (ShedLowestPriority) shedPolicy() {}
func (ShedLatestDeadline) shedPolicy() {}

// shedBefore reports whether the policy refuses a before b.
func shedBefore(policy ShedPolicy, a, b Request) bool {
	switch policy.(type) {
	case ShedLowestPriority:
		if a.Priority != b.Priority {
			return a.Priority < b.Priority
		}
	case ShedLatestDeadline:
		return a.Deadline.IsZero() || (!b.Deadline.IsZero() && a.Deadline.After(b.Deadline))
	}
	return a.Arrived.After(b.Arrived)
}
