package limit

// Rule is how a service ranks waiting work when some of it must be refused:
// Newest, Class or Slack.
type Rule interface{ rule() }

// Newest refuses the newcomer.
type Newest struct{}

// Class refuses the lowest class first, and within a class the newest.
type Class struct{}

// Slack refuses the work with the most time left before its deadline first,
// for it can come back.
type Slack struct{}

func (Newest) rule() {}
func (Class) rule()  {}
func (Slack) rule()  {}

// less reports whether a refusal harms a less than b under the rule.
func less(r Rule, a, b Waiting) bool {
	switch r.(type) {
	case Class:
		if a.Class != b.Class {
			return a.Class < b.Class
		}
	case Slack:
		return a.Deadline.IsZero() || (!b.Deadline.IsZero() && a.Deadline.After(b.Deadline))
	}
	return a.Joined.After(b.Joined)
}
