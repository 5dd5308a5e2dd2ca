package pace_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/corianderbay/corianderbay/pace"
)

const (
	// tick is the interval at which estimates are read, that of a sidecar.
	tick = 50 * time.Millisecond
	// workSpread is the spread of the logarithm of work times. Of longPerHundred in 100
	// requests the work is longFactor times as long.
	workSpread     = 0.5
	longPerHundred = 3
	longFactor     = 7
)

// route is a kind of requests.
type route struct {
	id   uint64
	work time.Duration // median, at speed 1
}

// upstream is a simulated upstream with slots and a FIFO queue. It sheds requests while
// its queue is full, and drives a Meter as a sidecar does.
type upstream struct {
	*clock
	random  *rand.Rand
	meter   *pace.Meter
	slots   int
	queue   int                                      // maximum length of waiting
	rate    func(now time.Duration) float64          // requests per second
	draw    func(now time.Duration, u float64) route // the route of a request
	factor  func(now time.Duration) float64          // on the work of requests that start
	check   func(now time.Duration, e pace.Estimate) // each tick; may be nil
	answer  func(took time.Duration, measured bool)  // each answer; may be nil
	busy    int
	waiting []job
	shed    uint64
	done    int
}

// clock runs entries in virtual time.
type clock struct {
	now    time.Duration
	events schedule
}

type job struct {
	route   route
	request pace.Request
}

type entry struct {
	at time.Duration
	do func()
}

type schedule []entry

func (s schedule) Len() int           { return len(s) }
func (s schedule) Less(i, j int) bool { return s[i].at < s[j].at }
func (s schedule) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)        { *s = append(*s, x.(entry)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// newUpstream returns an upstream with the given share of its capacity in use.
func newUpstream(seed uint64, slots int, work time.Duration, load float64) *upstream {
	u := &upstream{random: rand.New(rand.NewPCG(seed, 3)), meter: pace.NewMeter(), slots: slots, queue: 8, clock: &clock{now: start}}
	u.meter.SetSlots(slots)
	rate := load * float64(slots) / (float64(work) * meanFactor() / float64(time.Second))
	u.rate = func(time.Duration) float64 { return rate }
	u.draw = func(time.Duration, float64) route { return route{id: 1, work: work} }
	u.factor = func(time.Duration) float64 { return 1 }
	return u
}

// meanFactor is the ratio of the mean to the median work.
func meanFactor() float64 {
	return math.Exp(workSpread*workSpread/2) * (1 + longPerHundred*(longFactor-1)/100.0)
}

// run simulates the upstream for d.
func (u *upstream) run(d time.Duration) {
	end := u.now + d
	u.after(0, u.arrive)
	u.after(0, u.tick)
	u.runUntil(end)
}

func (c *clock) runUntil(end time.Duration) {
	for c.events[0].at < end {
		next := heap.Pop(&c.events).(entry)
		c.now = next.at
		next.do()
	}
}

func (c *clock) after(d time.Duration, do func()) {
	heap.Push(&c.events, entry{at: c.now + d, do: do})
}

func (u *upstream) tick() {
	e := u.meter.Estimate(u.now)
	if u.check != nil {
		u.check(u.now, e)
	}
	u.after(tick, u.tick)
}

func (u *upstream) arrive() {
	u.after(time.Duration(u.random.ExpFloat64()*float64(time.Second)/u.rate(u.now)), u.arrive)
	u.deliver()
}

// deliver delivers a request.
func (u *upstream) deliver() {
	j := job{route: u.draw(u.now, u.random.Float64())}
	j.request = u.meter.Begin(u.now, j.route.id)
	switch {
	case u.busy < u.slots:
		u.start(j)
	case len(u.waiting) < u.queue:
		u.waiting = append(u.waiting, j)
	default:
		u.shed++
		u.after(200*time.Microsecond, func() { u.meter.Answer(u.now, j.request) })
	}
}

func (u *upstream) start(j job) {
	u.busy++
	work := float64(j.route.work) * u.factor(u.now) * math.Exp(u.random.NormFloat64()*workSpread)
	if u.random.IntN(100) < longPerHundred {
		work *= longFactor
	}
	u.after(time.Duration(work), func() {
		u.busy--
		u.done++
		took, measured := u.meter.Answer(u.now, j.request)
		if u.answer != nil {
			u.answer(took, measured)
		}
		if len(u.waiting) > 0 {
			next := u.waiting[0]
			u.waiting = u.waiting[1:]
			u.start(next)
		}
	})
}
