package eventlog

import (
	"slices"
	"strings"
	"time"

	"github.com/corianderbay/corianderbay/event"
)

// openFor is how long before the span an opening is still shown: its flow may be
// in use in the span without a line of its own.
const openFor = time.Minute

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
		return ordered(keep(lines, func(l *Line) bool { return q.within(l) }))
	}
	own := keep(lines, func(l *Line) bool { return l.Caller != "" && q.names(l) && (q.within(l) || q.before(l)) })
	if len(own) == 0 {
		return nil
	}
	c := newConcern(lines, own, q)
	return ordered(append(own, keep(lines, c.concerns)...))
}

func keep(lines []Line, wanted func(*Line) bool) []Line {
	var list []Line
	for i := range lines {
		if wanted(&lines[i]) {
			list = append(list, lines[i])
		}
	}
	return list
}

func ordered(lines []Line) []Line {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time.Time) })
	return lines
}

// names reports whether the line is about a selected flow.
func (q *Query) names(l *Line) bool {
	caller := q.Caller == "" || l.Caller == q.Caller || strings.HasPrefix(l.Caller, q.Caller+":")
	return caller && (q.Address == "" || l.Address == q.Address)
}

func (q *Query) within(l *Line) bool {
	return (q.From.IsZero() || !l.Time.Before(q.From)) && (q.To.IsZero() || !l.Time.After(q.To))
}

// before reports whether the line is an opening shortly before the span.
func (q *Query) before(l *Line) bool {
	return l.Event == event.FlowOpened && l.Time.Before(q.From) && q.From.Sub(l.Time.Time) <= openFor
}

// spans reports whether the query names a span, and t is in it.
func (q *Query) spans(t time.Time) bool {
	return !q.From.IsZero() && !q.To.IsZero() && !t.Before(q.From) && !t.After(q.To)
}

// concern is what the lines of some flows have to do with other lines.
type concern struct {
	times     []time.Time // of the flows' own lines, in order
	query     Query
	instances map[string]bool // that handled the flows
	hosts     map[string]bool // of these, as peers call them
}

// newConcern returns the concern of the flows' own lines among all lines.
func newConcern(all, own []Line, q Query) concern {
	c := concern{query: q, instances: make(map[string]bool), hosts: make(map[string]bool)}
	for i := range own {
		l := &own[i]
		c.instances[l.Instance] = true
		for _, h := range []string{l.Upstream, l.Next} {
			if h != "" {
				c.hosts[h] = true
			}
		}
		c.times = append(c.times, l.Time.Time)
	}
	slices.SortFunc(c.times, time.Time.Compare)
	c.nameHosts(all)
	return c
}

// nameHosts adds the hosts of instances and the instances of hosts, as far as
// the first line of each process tells them.
func (c *concern) nameHosts(all []Line) {
	for i := range all {
		l := &all[i]
		if l.Event != event.SettingsRead {
			continue
		}
		host, _, _ := strings.Cut(l.Exchange, ":")
		if c.instances[l.Instance] {
			c.hosts[host] = true
		} else if c.hosts[host] {
			c.instances[l.Instance] = true
		}
	}
}

// near reports whether t is in the span, or a line of the flows is close to it.
func (c *concern) near(t time.Time) bool {
	if c.query.spans(t) {
		return true
	}
	around := c.query.Context
	i, _ := slices.BinarySearchFunc(c.times, t.Add(-around), time.Time.Compare)
	return i < len(c.times) && !c.times[i].After(t.Add(around))
}

// concerns reports whether a line that is not about the flows tells what a
// process that handled them knew.
func (c *concern) concerns(l *Line) bool {
	if l.Caller != "" || !c.instances[l.Instance] || !c.near(l.Time.Time) {
		return false
	}
	if l.Peer != "" && l.Event != event.RoutesAdopted {
		return c.hosts[l.Peer]
	}
	return true
}
