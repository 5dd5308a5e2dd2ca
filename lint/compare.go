package lint

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/corianderbay/corianderbay/registry"
)

// Compare returns the differences between two versions, one sentence each, with the
// traffic that they move: first those of routes, in the order of next and then of
// current, then those of services by name.
func Compare(current, next *registry.Routes) []string {
	c := &comparison{current: indexOf(current), next: indexOf(next)}
	for i := range next.List {
		r := &next.List[i]
		if old := c.current.find(r); old != nil {
			c.compareRoute(old, r)
		} else {
			c.addRoute(r)
		}
	}
	for i := range current.List {
		if r := &current.List[i]; c.next.find(r) == nil {
			c.removeRoute(r)
		}
	}
	c.compareServices(current.Services, next.Services)
	if current.Idle != next.Idle {
		c.add("idle time changes from %s to %s: it applies to open flows, too", current.Idle, next.Idle)
	}
	return c.differences
}

// index finds routes by name and by address.
type index struct {
	names     map[string]*registry.Route
	addresses map[registry.Endpoint]*registry.Route
}

func indexOf(r *registry.Routes) index {
	x := index{names: make(map[string]*registry.Route), addresses: make(map[registry.Endpoint]*registry.Route)}
	for i := range r.List {
		x.names[r.List[i].Name] = &r.List[i]
		x.addresses[r.List[i].Address] = &r.List[i]
	}
	return x
}

// find returns the route with the name of r, or with its address when r has no name. It
// returns nil when there is none.
func (x index) find(r *registry.Route) *registry.Route {
	if r.Name == "" {
		return x.addresses[r.Address]
	}
	return x.names[r.Name]
}

// comparison collects the differences.
type comparison struct {
	current, next index
	differences   []string
}

func (c *comparison) add(format string, args ...any) {
	c.differences = append(c.differences, fmt.Sprintf(format, args...))
}

func (c *comparison) addRoute(r *registry.Route) {
	if former := c.current.addresses[r.Address]; former != nil {
		c.add("%s is new: it takes new flows to %s, which go to %s; %s", labelOf(r), r.Address, targetsOf(r), fateOf(former, r))
		return
	}
	c.add("%s is new: new flows to %s go to %s", labelOf(r), r.Address, targetsOf(r))
}

// removeRoute reports a removed route. Processes drop the packets of flows whose address
// has no route, and refuse openings.
func (c *comparison) removeRoute(r *registry.Route) {
	if heir := c.next.addresses[r.Address]; heir != nil {
		c.add("%s is removed: %s takes its address; %s", labelOf(r), labelOf(heir), fateOf(r, heir))
		return
	}
	c.add("%s is removed: its open flows are dropped; new flows are refused", labelOf(r))
}

func (c *comparison) compareRoute(old, r *registry.Route) {
	name := labelOf(r)
	if old.Address != r.Address {
		fate := "open flows are dropped"
		if heir := c.next.addresses[old.Address]; heir != nil {
			fate = fateOf(old, heir)
		}
		c.add("%s moves from %s to %s: at the former address %s", name, old.Address, r.Address, fate)
	}
	c.compareTargets(old, r)
	if !slices.Equal(old.Homes, r.Homes) {
		c.add("%s: new flows go to %s instead of %s; %s", name, homesOf(r), homesOf(old), fateOf(old, r))
	}
	if old.Timeout != r.Timeout {
		c.add("%s: timeout changes from %s to %s; no flow moves", name, old.Timeout, r.Timeout)
	}
	if old.Objective != r.Objective {
		c.add("%s: objective changes from %s to %s; no flow moves", name, old.Objective, r.Objective)
	}
	if old.Priority != r.Priority {
		c.add("%s: priority changes from %d to %d; no flow moves", name, old.Priority, r.Priority)
	}
	if old.Idempotent != r.Idempotent {
		c.add("%s: callers %s repeat requests; no flow moves", name, mayOrNot(r.Idempotent))
	}
}

func (c *comparison) compareTargets(old, r *registry.Route) {
	moved := movedShare(old, r)
	switch {
	case moved == 0:
	case len(r.Targets) == 1 && moved == 1:
		c.add("%s: new flows go to %s; open flows stay", labelOf(r), targetsOf(r))
	default:
		c.add("%s: new flows go to %s instead of %s, which moves %s of them; open flows stay",
			labelOf(r), targetsOf(r), targetsOf(old), percent(moved))
	}
}

func (c *comparison) compareServices(current, next map[string]registry.Service) {
	for _, name := range slices.Sorted(maps.Keys(next)) {
		if _, found := current[name]; !found {
			c.add("service %s has an entry", name)
		}
		c.compareService(name, current[name], next[name])
	}
	for _, name := range slices.Sorted(maps.Keys(current)) {
		if _, found := next[name]; !found {
			c.add("service %s has no entry any more: it has no limits", name)
		}
	}
}

func (c *comparison) compareService(name string, old, s registry.Service) {
	if old.MaxFlows != s.MaxFlows {
		c.add("service %s: maximum of flows of an upstream changes from %s to %s; a full upstream takes no new flows, open flows stay",
			name, limitOf(float64(old.MaxFlows)), limitOf(float64(s.MaxFlows)))
	}
	if old.ColdRate != s.ColdRate {
		c.add("service %s: openings a second of a cold upstream change from %s to %s; open flows stay",
			name, limitOf(old.ColdRate), limitOf(s.ColdRate))
	}
	if old.Listens != s.Listens {
		c.add("service %s: upstreams %s health checks; no flow moves", name, map[bool]string{true: "answer", false: "do not answer"}[s.Listens])
	}
}

// sharesOf returns the share of new flows of each service, from 0 to 1.
func sharesOf(r *registry.Route) map[string]float64 {
	var total float64
	for _, t := range r.Targets {
		total += float64(t.Weight)
	}
	shares := make(map[string]float64, len(r.Targets))
	for _, t := range r.Targets {
		shares[t.Service] += float64(t.Weight) / total
	}
	return shares
}

// movedShare returns the share of new flows that go to another service than before,
// or 0 when it is below minMoved.
func movedShare(old, r *registry.Route) float64 {
	before, moved := sharesOf(old), 0.0
	for service, share := range sharesOf(r) {
		moved += max(0, share-before[service])
	}
	if moved < minMoved {
		return 0
	}
	return moved
}

// minMoved is above the rounding errors of shares whose weights have a common factor.
const minMoved = 1e-9

// targetsOf returns the services of the route with their shares, as in "x 90%, y 10%".
func targetsOf(r *registry.Route) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	shares := sharesOf(r)
	var list []string
	for _, service := range slices.Sorted(maps.Keys(shares)) {
		list = append(list, service+" "+percent(shares[service]))
	}
	return strings.Join(list, ", ")
}

func homesOf(r *registry.Route) string {
	if len(r.Homes) == 0 {
		return "all regions"
	}
	return "regions " + strings.Join(r.Homes, ", ")
}

// fateOf returns what happens to the open flows of a route when next takes its address. A
// search for a flow visits only the homes, so that flows elsewhere are found only by
// balancers that have them in their caches.
func fateOf(old, next *registry.Route) string {
	narrower := len(next.Homes) > 0 && len(old.Homes) == 0
	for _, home := range old.Homes {
		narrower = narrower || len(next.Homes) > 0 && !slices.Contains(next.Homes, home)
	}
	if narrower {
		return "open flows stay, those in other regions only while a balancer remembers them"
	}
	return "open flows stay"
}

func percent(share float64) string {
	return fmt.Sprintf("%.3g%%", 100*share)
}

func limitOf(n float64) string {
	if n == 0 {
		return "no limit"
	}
	return fmt.Sprintf("%v", n)
}

func mayOrNot(may bool) string {
	if may {
		return "may"
	}
	return "may not"
}
