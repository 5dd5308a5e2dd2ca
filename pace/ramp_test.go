package pace_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/pace"
	"github.com/shoenig/test/must"
)

// TestWindowDoublesAndReturns guards against a window that grows while answers are late.
func TestWindowDoublesAndReturns(t *testing.T) {
	var r pace.Ramp
	must.False(t, r.Full(start, 100))
	r.Start(start, pace.Started)
	answer := func(n int, took time.Duration) {
		for range n {
			r.Answered(start, took, shortWork, 0, 8)
		}
	}
	must.Eq(t, 1, r.Window())
	must.False(t, r.Full(start, 0))
	must.True(t, r.Full(start, 1))
	answer(1, shortWork)
	must.Eq(t, 2, r.Window())
	answer(1, shortWork)
	answer(1, 7*shortWork) // one long request
	must.Eq(t, 4, r.Window())
	answer(1, shortWork)
	answer(3, 3*shortWork)
	must.Eq(t, 1, r.Window())
	answer(15, shortWork)
	must.Zero(t, r.Window())
}

// TestWindowStaysAtSlots guards against a queue at an upstream that is slower than others.
func TestWindowStaysAtSlots(t *testing.T) {
	var r pace.Ramp
	r.Start(start, pace.Started)
	for range 100 {
		r.Answered(start, 8*shortWork/5, shortWork, shortWork, 2)
	}
	must.Eq(t, 2, r.Window())
	for range 100 {
		r.Answered(start, shortWork, shortWork, shortWork, 2)
	}
	must.Zero(t, r.Window())
}

// TestRampEnds guards against upstreams that stay limited although they run at the median
// of their service, or get no requests.
func TestRampEnds(t *testing.T) {
	var r pace.Ramp
	r.Start(start, pace.Reacted)
	for range 24 {
		must.Positive(t, r.Window())
		r.Answered(start, shortWork, shortWork, shortWork, 100)
	}
	must.Zero(t, r.Window())
	r.Start(start, pace.Reacted)
	r.Expire(start + 9*time.Second)
	must.Positive(t, r.Window())
	r.Expire(start + 10*time.Second)
	must.Zero(t, r.Window())
}

// TestOpeningsCountUntilTheirRequest guards against a window that many openings pass
// before their first requests, and against one that openings without requests fill.
func TestOpeningsCountUntilTheirRequest(t *testing.T) {
	var r pace.Ramp
	r.Start(start, pace.Started)
	r.Opened(start)
	must.True(t, r.Full(start, 0))
	r.Began()
	must.True(t, r.Full(start, 1))
	must.False(t, r.Full(start, 0))
	r.Opened(start)
	must.False(t, r.Full(start+time.Second, 0))
}

// pool is a service whose first upstream starts with a ramp. Requests go to the upstream
// with the least requests in reports that are up to reportAge old.
type pool struct {
	*clock
	random    *rand.Rand
	upstreams []*upstream
	reported  []int
	ramp      pace.Ramp
	longest   []int // queues
	usage     []time.Duration
}

const (
	reportAge   = 250 * time.Millisecond
	coldTime    = 2 * time.Second
	coldFactor  = 1.6
	poolSlots   = 2
	poolSize    = 8
	usageBegin  = 3 * time.Second
	usageLength = 5 * time.Second
)

func newPool(seed uint64) *pool {
	p := &pool{clock: &clock{now: start}, random: rand.New(rand.NewPCG(seed, 9)), reported: make([]int, poolSize), longest: make([]int, poolSize), usage: make([]time.Duration, poolSize)}
	for i := range poolSize {
		u := newUpstream(seed*poolSize+uint64(i), poolSlots, shortWork, 0)
		u.clock = p.clock
		p.upstreams = append(p.upstreams, u)
	}
	first := p.upstreams[0]
	first.factor = func(now time.Duration) float64 {
		if now-start < coldTime {
			return coldFactor
		}
		return 1
	}
	first.answer = func(took time.Duration, measured bool) {
		if measured {
			p.ramp.Answered(p.now, took, p.median(), p.median(), poolSlots)
		}
	}
	p.ramp.Start(start, pace.Started)
	return p
}

// median returns an upstream's work, all of which are alike.
func (p *pool) median() time.Duration {
	return time.Duration(float64(shortWork) * meanFactor())
}

func (p *pool) outstanding(i int) int {
	return p.upstreams[i].busy + len(p.upstreams[i].waiting)
}

func (p *pool) report() {
	for i := range p.upstreams {
		p.reported[i] = p.outstanding(i)
	}
	p.after(reportAge, p.report)
}

// sample records queues while the first upstream is cold, and busy slots later.
func (p *pool) sample() {
	const every = 5 * time.Millisecond
	for i, u := range p.upstreams {
		if p.now-start < coldTime {
			p.longest[i] = max(p.longest[i], len(u.waiting))
		}
		if p.now-start >= usageBegin {
			p.usage[i] += every * time.Duration(u.busy) / poolSlots
		}
	}
	p.after(every, p.sample)
}

// choose returns the upstream with the least reported requests other than exclude.
func (p *pool) choose(exclude int) int {
	best, offset := -1, p.random.IntN(poolSize)
	for n := range poolSize {
		i := (n + offset) % poolSize
		if i != exclude && (best < 0 || p.reported[i] < p.reported[best]) {
			best = i
		}
	}
	p.reported[best]++
	return best
}

func (p *pool) arrive(rate float64) {
	p.after(time.Duration(p.random.ExpFloat64()*float64(time.Second)/rate), func() { p.arrive(rate) })
	i := p.choose(-1)
	if i == 0 && p.ramp.Full(p.now, p.outstanding(0)) {
		other := p.choose(0)
		if p.reported[other] <= poolSlots || p.outstanding(0) >= poolSlots {
			i = other
		} else {
			p.reported[other]--
		}
	}
	p.upstreams[i].deliver()
}

// TestRampOfColdUpstream guards against an upstream that is overloaded while it is cold,
// and against one that is left idle once it is not.
func TestRampOfColdUpstream(t *testing.T) {
	for seed := range uint64(20) {
		p := newPool(seed)
		capacity := poolSize * poolSlots / p.median().Seconds()
		p.after(0, p.report)
		p.after(0, p.sample)
		p.after(0, func() { p.arrive(0.85 * capacity) })
		p.runUntil(start + usageBegin + usageLength)
		others := 0
		for _, n := range p.longest[1:] {
			others = max(others, n)
		}
		must.LessEq(t, others, p.longest[0], must.Sprint("seed", seed))
		must.GreaterEq(t, usageLength/2, p.usage[0], must.Sprint("seed", seed))
	}
}
