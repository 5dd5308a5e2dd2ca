package steer

import (
	"math"
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

const (
	// defaultWork is the work of the upstreams of a service of which none has reported its
	// work, in tenths of a millisecond, the unit of membership.Load.Work.
	defaultWork = 200
	// alikePercent is the difference from the service's median up to which the work of an
	// upstream counts as the median.
	alikePercent = 25
	// minWorkShare and maxWorkFactor bound a reported work relative to the service's
	// median, so that a wrong report neither attracts all flows nor makes an upstream
	// unusable.
	minWorkShare  = 0.25
	maxWorkFactor = 8
	// sampleSize is the number of upstreams that are compared for a flow where upstreams
	// are not alike. All balancers see the same reports, which are a quarter of a second
	// old: with the least of all upstreams, they would all place their flows on the same
	// few until the next report.
	sampleSize = 2
	// maxReliefPasses is the maximum number of sidecars that pass an opening on to an
	// upstream with an earlier expected completion. Each of them sees its own queue as it
	// is at that moment.
	maxReliefPasses = 4
)

// servicePace is the work of the upstreams of one service.
type servicePace struct {
	median float64 // in tenths of a millisecond; positive
	alike  bool    // the work of each upstream counts as the median
	// pool is the pool that ratings belongs to. ratings has one entry per member, and is
	// nil where upstreams are alike.
	pool    *registry.Pool
	ratings []rating
	// overflow is where new flows of the process's data centre go.
	overflow overflow
}

// rating is what the order of a sample depends on besides the hash of the flow.
type rating struct {
	// class is 0 for an ordinary upstream, 1 for one that would pass the flow on, and 2
	// for a failing one.
	class int
	// slowness is the time per request at all slots together, in tenths of a millisecond.
	slowness float64
}

// averageWork is the moving average of the work that one sidecar reported.
type averageWork struct {
	work       float64       // in tenths of a millisecond; 0 when it is not known
	reportedAt time.Duration // when the last report in work was sent
}

// paces holds the work of all upstreams as of one Fleet. It is immutable. Reports are
// averaged, since the mean of a few requests with a heavy tail is noise.
type paces struct {
	byHost    map[registry.Host]averageWork
	byService map[registry.ServiceHash]servicePace
}

// newPaces returns the paces as of a fleet for a process of a data centre. previous is nil
// for the first one.
func newPaces(f *Fleet, previous *paces, dataCentre string) *paces {
	s := &paces{
		byHost:    make(map[registry.Host]averageWork, len(f.Sidecars)),
		byService: make(map[registry.ServiceHash]servicePace),
	}
	newest := time.Duration(0)
	for h, status := range f.Sidecars {
		newest = max(newest, status.LastSeen)
		if status.Load.Work == 0 {
			continue
		}
		a := averageWork{work: float64(status.Load.Work), reportedAt: status.LastSeen}
		if previous != nil {
			a = previous.byHost[h].next(a)
		}
		s.byHost[h] = a
	}
	for _, p := range f.Snapshot.Pools() {
		pace := s.servicePace(p)
		if previous != nil {
			pace.overflow = previous.service(p.Hash).overflow
		}
		if !pace.alike {
			pace.overflow = pace.overflow.next(s.sites(f, p, pace), dataCentre, newest)
			pace.pool, pace.ratings = p, s.ratings(f, p, pace)
		}
		s.byService[p.Hash] = pace
	}
	return s
}

// next returns the average after one more report.
func (a averageWork) next(report averageWork) averageWork {
	if a.work == 0 {
		return report
	}
	if report.reportedAt > a.reportedAt {
		a.work += (report.work - a.work) * (1 - decayFactor(report.reportedAt-a.reportedAt))
		a.reportedAt = report.reportedAt
	}
	return a
}

// servicePace returns the pace of the upstreams of a pool that are not removed.
func (s *paces) servicePace(p *registry.Pool) servicePace {
	var list []float64
	for i := range p.Members {
		w := s.byHost[p.Members[i].Address.Host].work
		if w > 0 && p.Members[i].Status != registry.Removed {
			list = append(list, w)
		}
	}
	if len(list) == 0 {
		return servicePace{median: defaultWork, alike: true}
	}
	slices.Sort(list)
	median := list[len(list)/2]
	alike := isAlike(list[0], median) && isAlike(list[len(list)-1], median)
	return servicePace{median: median, alike: alike}
}

// ratings returns the rating of each member of a pool.
func (s *paces) ratings(f *Fleet, p *registry.Pool, pace servicePace) []rating {
	list := make([]rating, len(p.Members))
	for i := range p.Members {
		list[i] = s.rating(f, &p.Members[i], pace)
	}
	return list
}

// rating returns the rating of an upstream.
func (s *paces) rating(f *Fleet, m *registry.Member, pace servicePace) rating {
	host := m.Address.Host
	status := f.Sidecars[host]
	r := rating{slowness: s.work(host, pace) / float64(width(m, status))}
	switch {
	case status.Load.Failing:
		r.class = 2
	case status.Load.Refusing:
		r.class = 1
	}
	return r
}

// isAlike reports whether work counts as the median.
func isAlike(work, median float64) bool {
	return math.Abs(work-median)*100 <= alikePercent*median
}

// work returns the work of an upstream in tenths of a millisecond: the median where it is
// unknown or differs little.
func (s *paces) work(h registry.Host, p servicePace) float64 {
	w := s.byHost[h].work
	if w == 0 || isAlike(w, p.median) {
		return p.median
	}
	return min(max(w, minWorkShare*p.median), maxWorkFactor*p.median)
}

// service returns the pace of a service.
func (s *paces) service(h registry.ServiceHash) servicePace {
	if p, known := s.byService[h]; known {
		return p
	}
	return servicePace{median: defaultWork, alike: true}
}

// completion returns the expected time until the first request of a new flow is answered
// by an upstream, in tenths of a millisecond. load is the load of the upstream in flows, of
// which waitingWeight bring as much work as one queued request.
func (c *chooser) completion(m *registry.Member, p servicePace, load float64) float64 {
	w := width(m, c.fleet.Sidecars[m.Address.Host])
	return c.paces.work(m.Address.Host, p) * (1 + load/waitingWeight/float64(w))
}

// width returns the number of requests that an upstream processes at the same time.
func width(m *registry.Member, s SidecarStatus) int {
	n := max(1, m.Slots)
	if s.Load.Window > 0 {
		n = min(n, s.Load.Window)
	}
	return n
}

// sampled is an upstream of a sample.
type sampled struct {
	member *registry.Member
	class  int // as in rating
	key    float64
}

// before reports whether n comes before o in the order of a sample.
func (n *sampled) before(o *sampled) bool {
	switch {
	case o.member == nil:
		return true
	case n.class != o.class:
		return n.class < o.class
	}
	return n.key < o.key
}

// sample is a pseudo-random selection of upstreams by the hash of a flow, in the order of
// their keys. An upstream twice as fast is selected twice as often.
type sample [sampleSize]sampled

// add adds an upstream when it comes before another one of the sample.
func (s *sample) add(n sampled) {
	for i := range s {
		if n.before(&s[i]) {
			s[i], n = n, s[i]
			if n.member == nil {
				return
			}
		}
	}
}

// sampledOf returns member i of a pool with its place in the order of a sample.
func (c *chooser) sampledOf(p *registry.Pool, i int, pace *servicePace) sampled {
	m := &p.Members[i]
	var r rating
	if pace.pool == p {
		r = pace.ratings[i]
	} else {
		r = c.paces.rating(c.fleet, m, *pace) // a newer fleet is being published
	}
	if r.class == 0 && c.coldRateReached(m) {
		r.class = 1
	}
	uniform := (float64(rank(c.hash, m.Address.Host)>>11) + 0.5) / (1 << 53)
	return sampled{member: m, class: r.class, key: -math.Log(uniform) * r.slowness}
}

// leastOf returns the upstream of a sample with the least expected completion.
func (c *chooser) leastOf(s *sample) candidate {
	var best candidate
	for i := range s {
		if s[i].member != nil {
			c.consider(&best, s[i].member)
		}
	}
	return best
}

// chooseByTime returns upstreams with an early expected completion: one of the data centre
// that the flow goes to, which is another one while the own one overflows, and one of all
// others. It compares only a sample of each.
func (c *chooser) chooseByTime(p *registry.Pool, exclude func(registry.Host) bool) (near, far candidate) {
	pace := c.paces.service(p.Hash)
	dataCentre := c.policy.dataCentre
	if to := pace.overflow.dataCentre(c.hash); to != "" && !c.local {
		dataCentre = to
	}
	var nearSample, farSample sample
	for i := range p.Members {
		m := &p.Members[i]
		switch {
		case exclude(m.Address.Host) || !c.accepts(m):
		case m.DataCentre == dataCentre:
			nearSample.add(c.sampledOf(p, i, &pace))
		default:
			farSample.add(c.sampledOf(p, i, &pace))
		}
	}
	return c.leastOf(&nearSample), c.leastOf(&farSample)
}
