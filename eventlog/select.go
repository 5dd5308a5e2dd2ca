package eventlog

import (
	"slices"
	"strings"
	"time"

	"github.com/corianderbay/corianderbay/event"
)

// maxOpeningAge is how long before the span an opening is still shown: its flow may be
// in use in the span without a line of its own.
const maxOpeningAge = time.Minute

// defaultContext is how long before and after a flow's lines other lines are shown.
const defaultContext = 3 * time.Second

// Query says which lines to tell of. The zero value selects all.
type Query struct {
	// Caller is a host, or a host and port. Empty selects every one.
	Caller string
	// Address is the route's address and port. Empty selects every one.
	Address string
	// From and To bound the time. The zero value is no bound. Openings up to a minute
	// before From are selected, too: their flows may be open.
	From, To time.Time
	// Context is how long before and after the lines of the selected flows those are
	// shown that say what the processes concerned knew. Zero selects 3 s.
	Context time.Duration
}

// Select returns the lines of the flows that q selects, and those around them
// in which a process that handled the flows learned something about one that
// did, in the order of their times.
func Select(lines []Line, q Query) []Line {
	if q.Context == 0 {
		q.Context = defaultContext
	}
	if q.Caller == "" && q.Address == "" {
		return sortByTime(filter(lines, func(l *Line) bool { return q.inRange(l) }))
	}
	flowLines := filter(lines, func(l *Line) bool {
		return l.Caller != "" && q.matchesFlow(l) && (q.inRange(l) || q.isRecentOpening(l))
	})
	if len(flowLines) == 0 {
		return nil
	}
	related := newRelatedFilter(lines, flowLines, q)
	return sortByTime(append(flowLines, filter(lines, related.matches)...))
}

func filter(lines []Line, match func(*Line) bool) []Line {
	var list []Line
	for i := range lines {
		if match(&lines[i]) {
			list = append(list, lines[i])
		}
	}
	return list
}

func sortByTime(lines []Line) []Line {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time.Time) })
	return lines
}

// matchesFlow reports whether the line is about a selected flow.
func (q *Query) matchesFlow(l *Line) bool {
	caller := q.Caller == "" || l.Caller == q.Caller || strings.HasPrefix(l.Caller, q.Caller+":")
	return caller && (q.Address == "" || l.Address == q.Address)
}

func (q *Query) inRange(l *Line) bool {
	return (q.From.IsZero() || !l.Time.Before(q.From)) && (q.To.IsZero() || !l.Time.After(q.To))
}

// isRecentOpening reports whether the line is an opening shortly before the span.
func (q *Query) isRecentOpening(l *Line) bool {
	return l.Event == event.FlowOpened && l.Time.Before(q.From) && q.From.Sub(l.Time.Time) <= maxOpeningAge
}

// inClosedRange reports whether the query names a span, and t is in it.
func (q *Query) inClosedRange(t time.Time) bool {
	return !q.From.IsZero() && !q.To.IsZero() && !t.Before(q.From) && !t.After(q.To)
}

// relatedFilter is what the lines of some flows have to do with other lines.
type relatedFilter struct {
	times     []time.Time // of the flows' own lines, in order
	query     Query
	instances map[string]bool // that handled the flows
	hosts     map[string]bool // of these, as peers call them
}

// newRelatedFilter returns the concern of the flows' own lines among all lines.
func newRelatedFilter(all, flowLines []Line, q Query) relatedFilter {
	f := relatedFilter{query: q, instances: make(map[string]bool), hosts: make(map[string]bool)}
	for i := range flowLines {
		l := &flowLines[i]
		f.instances[l.Instance] = true
		for _, h := range []string{l.Upstream, l.Next} {
			if h != "" {
				f.hosts[h] = true
			}
		}
		f.times = append(f.times, l.Time.Time)
	}
	slices.SortFunc(f.times, time.Time.Compare)
	f.resolveHosts(all)
	return f
}

// resolveHosts adds the hosts of instances and the instances of hosts, as far as
// the first line of each process tells them.
func (f *relatedFilter) resolveHosts(all []Line) {
	for i := range all {
		l := &all[i]
		if l.Event != event.SettingsRead {
			continue
		}
		host, _, _ := strings.Cut(l.Exchange, ":")
		if f.instances[l.Instance] {
			f.hosts[host] = true
		} else if f.hosts[host] {
			f.instances[l.Instance] = true
		}
	}
}

// isNear reports whether t is in the span, or a line of the flows is close to it.
func (f *relatedFilter) isNear(t time.Time) bool {
	if f.query.inClosedRange(t) {
		return true
	}
	window := f.query.Context
	i, _ := slices.BinarySearchFunc(f.times, t.Add(-window), time.Time.Compare)
	return i < len(f.times) && !f.times[i].After(t.Add(window))
}

// matches reports whether a line that is not about the flows tells what a
// process that handled them knew.
func (f *relatedFilter) matches(l *Line) bool {
	if l.Caller != "" || !f.instances[l.Instance] || !f.isNear(l.Time.Time) {
		return false
	}
	if l.Peer != "" && l.Event != event.RoutesAdopted {
		return f.hosts[l.Peer]
	}
	return true
}
