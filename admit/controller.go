package admit

import (
	"net/netip"
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/limit"
)

// prefixBits is the length of the IPv4 prefixes among which openings are shared out.
// Whole addresses open less than one flow per second each, so that none would ever
// exceed its share, and a network could enlarge its part by using more addresses.
const prefixBits = 24

// shareHeadroom is the factor on what a route gets, of which caller prefixes have equal
// shares. Without it the shares would shrink with each opening refused for another reason.
const shareHeadroom = 1.25

// openPart is the part of the allowed wait below which callers may exceed their shares, so
// that slots do not become idle when only some callers ask for them. Half of the wait left
// a tenth of the capacity unused at a demand of 1.5 times the capacity.
const openPart = 0.8

// Opening is a request for a new flow, with the upstream that was chosen for it.
type Opening struct {
	// Service and Route identify the service and the route. They are unique in the process.
	Service, Route uint32
	// Class is the rank of the route's priority among the routes of the service, from 0
	// for the most important one.
	Class int
	// Objective and Timeout are those of the route; 0 when it has none.
	Objective, Timeout time.Duration
	// Requests is the mean number of requests of a flow of the route; 0 when it is not
	// known, which counts as 1.
	Requests float64
	Caller   netip.Addr
	// Wait is the expected time until a request gets a slot of the chosen upstream, and
	// Work the time for which it occupies the slot.
	Wait, Work time.Duration
	// MeanWait is the expected wait at the mean of the upstreams, with the flows placed
	// since their reports. Less important openings are decided on by it: the wait at one
	// upstream is short at times although its open flows will send more requests.
	MeanWait time.Duration
}

// Change reports that the overload of a service began or ended.
type Change struct {
	Service    uint32
	Overloaded bool
	// Standing is the least wait within the last half second.
	Standing time.Duration
	Load     Load
}

// Controller decides on the openings that arrive at one process. Processes share no
// state: each one decides on its part of the openings by the same loads. It is safe for
// concurrent use.
type Controller struct {
	prefixes *limit.FlowLimiter // fair shares of caller prefixes, by route

	mu       sync.Mutex
	services map[uint32]*service
	callers  refusedCallers
}

// NewController returns a Controller without loads, which admits all openings.
func NewController() *Controller {
	prefixes, err := limit.NewFlowLimiter(limit.FlowLimiterConfig{})
	if err != nil {
		panic(err) // unreachable: the zero value is valid
	}
	return &Controller{prefixes: prefixes, services: make(map[uint32]*service)}
}

// Observe replaces the load of a service. changed is true when overload began or ended.
func (c *Controller) Observe(now time.Duration, id uint32, l Load) (ch Change, changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[id]
	if s == nil {
		s = newService()
		c.services[id] = s
	}
	changed = s.observe(now, l)
	return Change{Service: id, Overloaded: s.detector.Overloaded(), Standing: s.detector.Standing(), Load: l}, changed
}

// Retain deletes the services for which keep returns false, and the routes of the others
// that had no openings for some seconds.
func (c *Controller) Retain(now time.Duration, keep func(id uint32) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	routes := make(map[bundle.ServiceID]bool)
	for id, s := range c.services {
		if !keep(id) {
			delete(c.services, id)
			continue
		}
		s.deleteIdleRoutes(now)
		for r := range s.routes {
			routes[bundle.ServiceID(r)] = true
		}
	}
	c.prefixes.Retain(routes)
}

// Decide returns Admitted or the reason why an opening is refused, and counts it. It
// admits all openings of a service whose load is unknown or whose routes have one
// priority.
func (c *Controller) Decide(now time.Duration, o *Opening) Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[o.Service]
	if s == nil || !s.decides(now) || o.Class >= len(s.classes) {
		return Admitted
	}
	class := &s.classes[o.Class]
	class.offered.add(now)
	reason := c.decide(now, s, o)
	if reason != Admitted {
		class.refused[reason]++
		c.callers.recordRefusal(now, hashCaller(o.Route, o.Caller))
		return reason
	}
	class.admitted.add(now)
	s.admitted.add(now)
	s.route(o.Route).admitted.add(now)
	return Admitted
}

func (c *Controller) decide(now time.Duration, s *service, o *Opening) Reason {
	r := s.route(o.Route)
	r.offered.add(now)
	returned := c.callers.recordReturn(now, hashCaller(o.Route, o.Caller))
	if !returned {
		r.retries.RecordFirstAttempt()
	}
	if o.Timeout > 0 && o.Wait+o.Work > o.Timeout {
		return ReasonTimeout
	}
	if !s.detector.Overloaded() {
		return Admitted
	}
	withinShare := c.withinShare(now, s, r, o)
	wait, allowance := o.wait(), s.allowance(o)
	switch {
	case float64(wait) <= openPart*float64(allowance):
		return Admitted
	case !withinShare:
		return ReasonShare
	case wait > allowance && o.Class > 0 && !s.withinQuota(now, o):
		return ReasonPriority
	case returned && !r.retries.AllowRetry():
		return ReasonRetry
	}
	return Admitted
}

// wait returns the wait that is compared with the allowance.
func (o *Opening) wait() time.Duration {
	if o.Class == 0 {
		return o.Wait
	}
	return o.MeanWait
}

// withinShare counts the opening for its caller's prefix, and reports whether the prefix
// is within an equal share of what the route gets, with shareHeadroom.
func (c *Controller) withinShare(now time.Duration, s *service, r *route, o *Opening) bool {
	perSecond := max(1, r.admitted.perSecond(now)*shareHeadroom, s.quotaRate(o)*shareHeadroom)
	return c.prefixes.WithinFairShare(bundle.ServiceID(o.Route), perSecond, prefixBits, o.Caller, instant(now))
}

// instant converts an uptime to the time that package limit expects.
func instant(now time.Duration) time.Time {
	return time.Unix(0, int64(now))
}

// ClassStatus holds the counters of one class of a service.
type ClassStatus struct {
	Service uint32
	// Class is 0 for the most important one.
	Class int
	// Used is the part of the openings admitted in the last second that were of the
	// class, from 0 to 1.
	Used float64
	// Owed is the part that the class is entitled to: what it asks for of the part that
	// more important ones leave, and at least minQuota for the least important one.
	Owed float64
	// Refused has the number of refusals by reason.
	Refused [ReasonCount]uint64
}

// ServiceStatus is the state of one service.
type ServiceStatus struct {
	Service    uint32
	Overloaded bool
	Standing   time.Duration
	Classes    []ClassStatus
}

// Status returns the state of the services, in no particular order.
func (c *Controller) Status(now time.Duration) []ServiceStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []ServiceStatus
	for id, s := range c.services {
		list = append(list, ServiceStatus{
			Service:    id,
			Overloaded: s.detector.Overloaded(),
			Standing:   s.detector.Standing(),
			Classes:    s.status(now, id),
		})
	}
	return list
}

// status returns the state of the classes of a service.
func (s *service) status(now time.Duration, id uint32) []ClassStatus {
	total := s.admitted.perSecond(now)
	list := make([]ClassStatus, len(s.classes))
	left := 1.0
	for i := range s.classes {
		class := &s.classes[i]
		st := ClassStatus{Service: id, Class: i, Refused: class.refused}
		if total > 0 {
			st.Used = class.admitted.perSecond(now) / total
			st.Owed = min(left, class.offered.perSecond(now)/total)
		}
		left -= st.Owed
		if i == len(s.classes)-1 {
			st.Owed = max(st.Owed, minQuota)
		}
		list[i] = st
	}
	return list
}
