package admit_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/admit"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const (
	serviceID = 1
	work      = 40 * time.Millisecond
)

// newOverloaded returns a Controller with an overloaded service of 30 slots, which serve
// 750 requests per second.
func newOverloaded(now time.Duration, classes int) *admit.Controller {
	c := admit.NewController()
	observe(c, now, classes, 3*work)
	return c
}

func observe(c *admit.Controller, now time.Duration, classes int, wait time.Duration) {
	c.Observe(now, serviceID, admit.Load{LeastWait: wait, MeanWait: wait, Work: work, Slots: 30, Balancers: 1, Classes: classes})
}

// fromHost returns a copy of the opening from the nth address of its prefix.
func fromHost(o *admit.Opening, n int) *admit.Opening {
	c := *o
	b := c.Caller.As4()
	b[3] = byte(n % 250)
	c.Caller = netip.AddrFrom4(b)
	return &c
}

// newOpening returns an opening of a route of the class, from the nth caller prefix.
func newOpening(class, prefix int, wait time.Duration) *admit.Opening {
	return &admit.Opening{
		Service:   serviceID,
		Route:     uint32(class + 1),
		Class:     class,
		Objective: 300 * time.Millisecond,
		Timeout:   1500 * time.Millisecond,
		Caller:    netip.AddrFrom4([4]byte{100, 1, byte(prefix), 1}),
		Wait:      wait,
		MeanWait:  wait,
		Work:      work,
	}
}

// TestDecide guards against refusals where nothing may be refused, and against openings
// that are admitted although more important ones fill the service.
func TestDecide(t *testing.T) {
	const long = 5 * work
	tests := map[string]struct {
		classes int
		load    time.Duration // mean wait of the service
		opening *admit.Opening
		// taken is true when the quota of the least important class has been used.
		taken bool
		want  admit.Reason
	}{
		"not overloaded":                   {2, 0, newOpening(1, 1, long), false, admit.Admitted},
		"one priority":                     {1, long, newOpening(0, 1, 2*time.Second), false, admit.Admitted},
		"after the timeout":                {2, 0, newOpening(0, 1, 1490*time.Millisecond), false, admit.ReasonTimeout},
		"most important":                   {2, long, newOpening(0, 1, long), true, admit.Admitted},
		"less important, short wait":       {2, long, newOpening(1, 1, work/2), true, admit.Admitted},
		"less important, long wait":        {2, long, newOpening(1, 1, long), true, admit.ReasonPriority},
		"least important within quota":     {2, long, newOpening(1, 1, long), false, admit.Admitted},
		"middle class has no quota":        {3, long, newOpening(1, 1, long), false, admit.ReasonPriority},
		"lower classes wait for less":      {3, long, newOpening(2, 1, work), true, admit.ReasonPriority},
		"class that the loads do not have": {2, long, newOpening(5, 1, long), false, admit.Admitted},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := admit.NewController()
			observe(c, time.Hour, tc.classes, tc.load)
			for n := range 200 {
				if tc.taken {
					c.Decide(time.Hour, newOpening(tc.classes-1, n, long))
				}
			}
			must.Eq(t, tc.want, c.Decide(time.Hour, tc.opening))
		})
	}
}

// TestLoadExpires guards against refusals because of a load that is no longer reported.
func TestLoadExpires(t *testing.T) {
	c := newOverloaded(time.Hour, 3)
	must.Eq(t, admit.ReasonPriority, c.Decide(time.Hour, newOpening(1, 1, 5*work)))
	must.Eq(t, admit.Admitted, c.Decide(time.Hour+time.Second, newOpening(1, 2, 5*work)))
}

// TestQuota checks that the least important class gets a tenth of the capacity, and no
// more, while more important ones fill the service.
func TestQuota(t *testing.T) {
	for _, requests := range []float64{1, 5} {
		c := admit.NewController()
		admitted := 0
		for n := range 10_000 {
			now := time.Hour + time.Duration(n)*time.Millisecond
			observe(c, now, 2, 3*work)
			o := fromHost(newOpening(1, n%5, 5*work), n/5)
			o.Requests = requests
			if c.Decide(now, o) == admit.Admitted {
				admitted++
			}
		}
		tenth := 750 / requests // openings in 10 s
		must.Between(t, 0.95*tenth, float64(admitted), 1.15*tenth, must.Sprintf("%g requests per flow", requests))
	}
}

// TestFairByPrefix guards against one caller prefix that takes what others ask for: it
// opens ten times as many flows as each of the others.
func TestFairByPrefix(t *testing.T) {
	c := admit.NewController()
	admitted := make(map[int]int)
	for n := range 13_000 {
		now := time.Hour + time.Duration(n)*time.Millisecond
		observe(c, now, 2, 3*work)
		prefix := max(0, n%13-9) // 0 opens ten of 13
		// The wait follows from what was admitted: the service takes 100 flows per second.
		excess := admitted[0] + admitted[1] + admitted[2] + admitted[3] - n/10
		wait := time.Duration(max(0, 20+excess)) * time.Millisecond
		if c.Decide(now, fromHost(newOpening(1, prefix, wait), n)) == admit.Admitted {
			admitted[prefix]++
		}
	}
	t.Logf("admitted by prefix: %v", admitted)
	for prefix := 1; prefix < 4; prefix++ {
		must.GreaterEq(t, 250, admitted[prefix], must.Sprint("of 1000 offered, with a fair share of 325"))
	}
}

// TestRetryBudget checks that callers that return after a refusal are admitted only as
// often as first attempts have funded, although they do not exceed their share.
func TestRetryBudget(t *testing.T) {
	const inBand = 65 * time.Millisecond // admitted within the share
	c := admit.NewController()
	now := time.Hour
	for n := range 1000 {
		now += 10 * time.Millisecond
		observe(c, now, 3, 3*work)
		must.Eq(t, admit.Admitted, c.Decide(now, fromHost(newOpening(1, 1, work), n)))
	}
	returns := 0
	for n := range 40 {
		must.Eq(t, admit.ReasonPriority, c.Decide(now, fromHost(newOpening(1, 1, 5*work), n)))
		switch c.Decide(now, fromHost(newOpening(1, 1, inBand), n)) {
		case admit.Admitted:
			returns++
		default:
			must.Eq(t, admit.ReasonRetry, c.Decide(now, fromHost(newOpening(1, 1, inBand), n)))
		}
	}
	must.Between(t, 1, returns, 14, must.Sprint("ten accumulate, and each of 40 first attempts pays for a tenth"))
}

// TestDecideInvariants guards against refusals of the most important class for another
// reason than its timeout or share, and against any refusal while the wait is short.
func TestDecideInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := admit.NewController()
		now := time.Hour
		classes := rapid.IntRange(1, 4).Draw(t, "classes")
		for range rapid.IntRange(1, 200).Draw(t, "openings") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * time.Millisecond
			observe(c, now, classes, time.Duration(rapid.IntRange(0, 400).Draw(t, "load"))*time.Millisecond)
			o := newOpening(rapid.IntRange(0, classes-1).Draw(t, "class"), rapid.IntRange(0, 5).Draw(t, "prefix"), time.Duration(rapid.IntRange(0, 2000).Draw(t, "wait"))*time.Millisecond)
			r := c.Decide(now, o)
			switch {
			case classes == 1 && r != admit.Admitted:
				t.Fatalf("refused with one priority: %s", r)
			case o.Class == 0 && r == admit.ReasonPriority:
				t.Fatal("the most important class was refused for a more important one")
			case o.Wait == 0 && r != admit.Admitted:
				t.Fatalf("refused without a wait: %s", r)
			}
		}
	})
}

// TestDecideDoesNotAllocate guards against garbage for each opening of a crowd.
func TestDecideDoesNotAllocate(t *testing.T) {
	c := newOverloaded(time.Hour, 2)
	o := newOpening(1, 1, 5*work)
	n := testing.AllocsPerRun(1000, func() { c.Decide(time.Hour, o) })
	must.Zero(t, n)
}

// TestRetain guards against state of services that no longer exist, and against the loss
// of state of those that do.
func TestRetain(t *testing.T) {
	c := newOverloaded(time.Hour, 3)
	must.Eq(t, admit.ReasonPriority, c.Decide(time.Hour, newOpening(1, 1, 5*work)))
	c.Retain(time.Hour, func(uint32) bool { return true })
	must.Eq(t, admit.ReasonPriority, c.Decide(time.Hour, newOpening(1, 2, 5*work)))
	must.SliceLen(t, 1, c.Status(time.Hour))
	c.Retain(time.Hour, func(uint32) bool { return false })
	must.SliceEmpty(t, c.Status(time.Hour))
	must.Eq(t, admit.Admitted, c.Decide(time.Hour, newOpening(1, 3, 5*work)))
}
