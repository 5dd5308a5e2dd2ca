package limit

// ShedPolicy is how a service ranks waiting work when some of it must be refused:
// Newest, Class or Slack.
type ShedPolicy interface{ rule() }

// ShedNewest refuses the newcomer.
type ShedNewest struct{}

// ShedLowestPriority refuses the lowest class first, and within a class the newest.
type ShedLowestPriority struct{}

// ShedLatestDeadline refuses the work with the most time left before its deadline first,
// for it can come back.
type ShedLatestDeadline struct{}

func (ShedNewest) rule()         {}
func (ShedLowestPriority) rule() {}
func (ShedLatestDeadline) rule() {}

// less reports whether a refusal harms a less than b under the rule.
func less(r ShedPolicy, a, b Request) bool {
	switch r.(type) {
	case ShedLowestPriority:
		if a.Priority != b.Priority {
			return a.Priority < b.Priority
		}
	case ShedLatestDeadline:
		return a.Deadline.IsZero() || (!b.Deadline.IsZero() && a.Deadline.After(b.Deadline))
	}
	return a.Arrived.After(b.Arrived)
}
