package admit

import (
	"time"

	"github.com/corianderbay/corianderbay/limit"
	"golang.org/x/time/rate"
)

const (
	// observationTimeout is the time after which a load that was not renewed no longer
	// causes refusals.
	observationTimeout = time.Second
	// minQuota is the part of the capacity that the least important class always gets.
	minQuota = 0.1
	// quotaBurst is the time over which an unused quota accumulates.
	quotaBurst = time.Second
)

// service is the state of one service.
type service struct {
	load       Load
	observedAt time.Duration // when load was observed
	detector   Detector
	quota      *rate.Limiter // openings of the least important class
	admitted   meter         // openings of all classes
	classes    []classState  // as many as load.Classes; the most important first
	routes     map[uint32]*route
}

// classState holds the counters of one class of a service.
type classState struct {
	admitted meter
	offered  meter
	refused  [ReasonCount]uint64
}

// route is the state of one route to a service.
type route struct {
	admitted meter
	offered  meter
	retries  *limit.RetryBudget
}

// idleRate is the number of openings per second below which a route is idle.
const idleRate = 0.01

func newService() *service {
	return &service{quota: rate.NewLimiter(0, 1), routes: make(map[uint32]*route)}
}

// observe replaces the load, and reports whether overload began or ended.
func (s *service) observe(now time.Duration, l Load) bool {
	s.load, s.observedAt = l, now
	for len(s.classes) < l.Classes {
		s.classes = append(s.classes, classState{})
	}
	return s.detector.Observe(now, l.LeastWait, l.MeanWait, newThresholds(l.Work))
}

// decides reports whether openings of the service may be refused: its routes have
// different priorities and its load is known.
func (s *service) decides(now time.Duration) bool {
	return s.load.Classes > 1 && s.load.Work > 0 && now-s.observedAt < observationTimeout
}

// route returns the state of a route, and adds it when it is missing.
func (s *service) route(id uint32) *route {
	r := s.routes[id]
	if r == nil {
		r = &route{retries: limit.NewRetryBudget(limit.RetryBudgetConfig{})}
		s.routes[id] = r
	}
	return r
}

// deleteIdleRoutes deletes the routes without openings, which may no longer exist.
func (s *service) deleteIdleRoutes(now time.Duration) {
	for id, r := range s.routes {
		if r.offered.perSecond(now) < idleRate {
			delete(s.routes, id)
		}
	}
}

// allowance returns the maximum wait for which an opening is admitted. The most
// important class may wait as long as its objective permits. The others get what it
// leaves: they may join the queue only while it is shorter than what keeps the slots
// busy, each class less than the one before it.
func (s *service) allowance(o *Opening) time.Duration {
	longest := max(0, o.Objective-s.load.Work)
	if o.Class == 0 {
		return longest
	}
	classes := s.load.Classes
	share := float64(classes-o.Class) / float64(classes-1)
	return min(longest, time.Duration(share*allowedWorks*float64(s.load.Work)))
}

// allowedWorks is the wait, in mean times that a request occupies a slot, for which
// openings of the second class are admitted. At 2.25, queues of single upstreams are full
// now and then although the mean is not; at 1.25, slots become idle.
const allowedWorks = 1.75

// quotaRate returns the openings per second to which the class of o is entitled whatever
// more important ones ask for.
func (s *service) quotaRate(o *Opening) float64 {
	if o.Class != s.load.Classes-1 {
		return 0
	}
	return minQuota * s.load.capacity() / max(1, o.Requests)
}

// withinQuota takes an opening from the quota of its class.
func (s *service) withinQuota(now time.Duration, o *Opening) bool {
	perSecond := s.quotaRate(o)
	if perSecond == 0 {
		return false
	}
	at := instant(now)
	if r := rate.Limit(perSecond); s.quota.Limit() != r {
		s.quota.SetLimitAt(at, r)
		s.quota.SetBurstAt(at, max(1, int(perSecond*quotaBurst.Seconds())))
	}
	return s.quota.AllowN(at, 1)
}
