package eventlog

import (
	"slices"
	"strings"
	"time"

	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/steer"
)

// maxOpeningAge is how long before the time range an opening is still selected:
// its flow may be in use within the range without a line of its own there.
const maxOpeningAge = time.Minute

// defaultContext is the default of Query.Context.
const defaultContext = 3 * time.Second

// Query defines which lines Select returns. The zero value selects all lines.
type Query struct {
	// Caller is a host, or a host and port. Empty selects all callers.
	Caller string
	// Address is the address and port of a route. Empty selects all routes.
	Address string
	// From and To are the inclusive bounds of the time range. The zero value is no
	// bound. Openings up to a minute before From are selected as well, since their
	// flows may still be open.
	From, To time.Time
	// Context is how long before and after the lines of the selected flows related
	// lines of the processes involved are selected. Zero selects 3 s.
	Context time.Duration
}

// Select returns the lines of the flows that q selects, in order of time. It
// includes the lines around them in which a process that handled the flows
// logged a change of its own state, or of another process that handled them. If q
// has neither a caller nor an address, it returns all lines in the time range.
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

// matchesFlow reports whether the line belongs to a selected flow.
func (q *Query) matchesFlow(l *Line) bool {
	caller := q.Caller == "" || l.Caller == q.Caller || strings.HasPrefix(l.Caller, q.Caller+":")
	return caller && (q.Address == "" || l.Address == q.Address)
}

func (q *Query) inRange(l *Line) bool {
	return (q.From.IsZero() || !l.Time.Before(q.From)) && (q.To.IsZero() || !l.Time.After(q.To))
}

// isRecentOpening reports whether the line is an opening shortly before the time range.
func (q *Query) isRecentOpening(l *Line) bool {
	return l.Event == event.FlowOpened && l.Time.Before(q.From) && q.From.Sub(l.Time.Time) <= maxOpeningAge
}

// inClosedRange reports whether the query has both time bounds and t is between them.
func (q *Query) inClosedRange(t time.Time) bool {
	return !q.From.IsZero() && !q.To.IsZero() && !t.Before(q.From) && !t.After(q.To)
}

// relatedFilter selects the lines that are related to the lines of some flows.
type relatedFilter struct {
	times     []time.Time // of the flows' lines, ascending
	query     Query
	instances map[string]bool // log sources of the processes that handled the flows
	hosts     map[string]bool // hosts of these processes, as peers log them
	evacuated bool            // a flow was refused or passed on because of an evacuation
}

// newRelatedFilter returns the filter for the lines in all that are related to
// flowLines.
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
		f.evacuated = f.evacuated || l.Reason == steer.ReasonEvacuated.String()
		f.times = append(f.times, l.Time.Time)
	}
	slices.SortFunc(f.times, time.Time.Compare)
	f.resolveHosts(all)
	return f
}

// resolveHosts completes the sets of instances and hosts from the settings-read
// lines, which contain both.
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

// isNear reports whether t is in the time range of the query, or within its
// context of a line of the flows.
func (f *relatedFilter) isNear(t time.Time) bool {
	if f.query.inClosedRange(t) {
		return true
	}
	window := f.query.Context
	i, _ := slices.BinarySearchFunc(f.times, t.Add(-window), time.Time.Compare)
	return i < len(f.times) && !f.times[i].After(t.Add(window))
}

// causedByEvacuation reports whether the line is the start or end of an evacuation, of
// which one kept a flow from being opened. It may have begun long before.
func (f *relatedFilter) causedByEvacuation(l *Line) bool {
	ofEvacuation := l.Event == event.EvacuationBegan || l.Event == event.EvacuationEnded
	return f.evacuated && ofEvacuation && !l.Time.After(f.times[len(f.times)-1])
}

// matches reports whether a line that does not belong to a flow records a state
// change of a process that handled the flows, or of a peer among them.
func (f *relatedFilter) matches(l *Line) bool {
	if l.Caller != "" || !f.instances[l.Instance] {
		return false
	}
	if f.causedByEvacuation(l) {
		return true
	}
	if !f.isNear(l.Time.Time) {
		return false
	}
	if l.Peer != "" && l.Event != event.RoutesAdopted {
		return f.hosts[l.Peer]
	}
	return true
}
