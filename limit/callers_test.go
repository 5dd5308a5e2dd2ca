package limit_test

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/limit"
	"github.com/shoenig/test/must"
)

const fitting bundle.ServiceID = 9

// fleet is a number of balancers over which the fabric sprays at random.
type fleet struct {
	balancers []*limit.FlowLimiter
	rnd       *rand.Rand
}

func newFleet(t *testing.T, n int, cfg limit.FlowLimiterConfig) fleet {
	f := fleet{rnd: source()}
	for range n {
		c, err := limit.NewFlowLimiter(cfg)
		must.NoError(t, err)
		c.SetBalancers(n)
		f.balancers = append(f.balancers, c)
	}
	return f
}

// offer sends perSecond openings of each caller for length and returns how
// many of each were admitted.
func (f fleet) offer(l bundle.Limit, length time.Duration, perSecond map[string]float64) map[string]int {
	admitted := make(map[string]int)
	const step = 10 * time.Millisecond
	for now := time.Duration(0); now < length; now += step {
		for _, caller := range callersInOrder(perSecond) {
			for range f.arrivals(perSecond[caller] * step.Seconds()) {
				c := f.balancers[f.rnd.IntN(len(f.balancers))]
				if _, ok := c.Admit(fitting, l, netip.MustParseAddr(caller), start.Add(now), f.rnd); ok {
					admitted[caller]++
				}
			}
		}
	}
	return admitted
}

// arrivals draws how many openings arrive in a step with a mean of at most a few.
func (f fleet) arrivals(mean float64) int {
	n := 0
	for sum := f.rnd.ExpFloat64(); sum < mean; sum += f.rnd.ExpFloat64() {
		n++
	}
	return n
}

func callersInOrder(perSecond map[string]float64) []string {
	order := []string{"10.0.1.1", "10.0.2.1", "10.0.3.1"}
	return order[:len(perSecond)]
}

// TestPrefixLimitAcrossBalancers states the error of limits without shared
// state, at 4 balancers over 60 s: at 80% of the limit at most 3% are refused;
// at five times the limit, at most 15% above it get through.
func TestPrefixLimitAcrossBalancers(t *testing.T) {
	const rate = 100.0
	const length = time.Minute
	l := bundle.Limit{Prefix: rate}

	below := newFleet(t, 4, limit.FlowLimiterConfig{}).offer(l, length, map[string]float64{"10.0.1.1": 0.8 * rate})
	offered := 0.8 * rate * length.Seconds()
	must.Greater(t, 0.97*offered, float64(below["10.0.1.1"]))

	above := newFleet(t, 4, limit.FlowLimiterConfig{}).offer(l, length, map[string]float64{"10.0.1.1": 5 * rate})
	share := float64(above["10.0.1.1"]) / (rate * length.Seconds())
	t.Logf("admitted below the limit: %d, above the limit: %.3f of it", below["10.0.1.1"], share)
	must.Between(t, 0.95, share, 1.15)
}

// TestServiceLimitIsSharedFairly has one prefix open ten times as much as the
// two others, which stay below their share and are served.
func TestServiceLimitIsSharedFairly(t *testing.T) {
	l := bundle.Limit{Rate: 300}
	const length = time.Minute
	got := newFleet(t, 4, limit.FlowLimiterConfig{}).offer(l, length, map[string]float64{
		"10.0.1.1": 800, "10.0.2.1": 80, "10.0.3.1": 80,
	})
	t.Logf("admitted: %v", got)
	must.Greater(t, int(0.95*80*length.Seconds()), got["10.0.2.1"])
	must.Greater(t, int(0.95*80*length.Seconds()), got["10.0.3.1"])
	sum := got["10.0.1.1"] + got["10.0.2.1"] + got["10.0.3.1"]
	must.Between(t, int(0.95*300*60), sum, int(1.15*300*60))
}

// TestFloodOfPrefixesIsBounded checks memory, and that a flood does not renew
// the bucket of an active prefix.
func TestFloodOfPrefixesIsBounded(t *testing.T) {
	c, err := limit.NewFlowLimiter(limit.FlowLimiterConfig{MaxPrefixes: 160, Shards: 16})
	must.NoError(t, err)
	rnd := source()
	l := bundle.Limit{Prefix: 1}
	for i := range 10_000 {
		caller := netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 1})
		c.Admit(fitting, l, caller, start, rnd)
	}
	must.LessEq(t, 160, c.PrefixCount())
	r, ok := c.Admit(fitting, l, netip.AddrFrom4([4]byte{10, 0, 0, 1}), start, rnd)
	must.False(t, ok)
	must.Eq(t, limit.ReasonPrefix, r.Reason)
	must.Greater(t, 0, r.RetryAfter)
}

func TestFlowLimiterWithoutLimitAndWithBadConfig(t *testing.T) {
	c, err := limit.NewFlowLimiter(limit.FlowLimiterConfig{})
	must.NoError(t, err)
	_, ok := c.Admit(fitting, bundle.Limit{}, netip.MustParseAddr("10.0.0.1"), start, source())
	must.True(t, ok)
	_, err = limit.NewFlowLimiter(limit.FlowLimiterConfig{Shards: 3})
	var bad *limit.ConfigError
	must.True(t, errors.As(err, &bad))
}

func BenchmarkAdmit(b *testing.B) {
	c, err := limit.NewFlowLimiter(limit.FlowLimiterConfig{})
	must.NoError(b, err)
	l := bundle.Limit{Rate: 1e6, Prefix: 1e6}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		rnd := source()
		for i := uint32(0); pb.Next(); i++ {
			caller := netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 1})
			c.Admit(fitting, l, caller, start.Add(time.Duration(i)*time.Microsecond), rnd)
		}
	})
}
