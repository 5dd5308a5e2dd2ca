package capacity_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc"

	"github.com/corianderbay/corianderbay/balancer"
	"github.com/corianderbay/corianderbay/capacity"
	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/forward"
	"github.com/corianderbay/corianderbay/instance"
	"github.com/corianderbay/corianderbay/standin"
	"github.com/corianderbay/corianderbay/timer"
)

const (
	quietTime    = 8 * time.Second // without a change
	followPeriod = 5 * time.Millisecond
)

// following is what a number of processes cost that follow the platform.
type following struct {
	callsASecond  float64 // at the platform, without a change
	callsAChange  float64 // at the platform, until all have the new bundle
	timeASecond   float64 // processor time in nanoseconds, the stand-in's included
	secondsToLast float64 // from the publication until the last process has the new bundle
}

// BenchmarkFollowing measures idle processes and one change, by the number of processes.
func BenchmarkFollowing(b *testing.B) {
	sizes := []int{2, 4, 8, 16}
	results := make(map[int]following)
	for _, n := range sizes {
		results[n] = follow(b, n)
	}
	column := func(of func(following) float64) func(int) func() float64 {
		return once(func(n int) float64 { return of(results[n]) })
	}
	b.Run("quiet", func(b *testing.B) {
		reportSlope(b, sizes, "process", "calls/s", column(func(f following) float64 { return f.callsASecond }))
	})
	b.Run("change", func(b *testing.B) {
		reportSlope(b, sizes, "process", "calls", column(func(f following) float64 { return f.callsAChange }))
	})
	b.Run("time", func(b *testing.B) {
		reportSlope(b, sizes, "process", "ns/s", column(func(f following) float64 { return f.timeASecond }))
	})
	b.Run("last", func(b *testing.B) {
		reportSlope(b, sizes, "process", "s", column(func(f following) float64 { return f.secondsToLast }))
	})
}

// follow runs n balancers at a platform of their own.
func follow(b *testing.B, n int) following {
	p := standin.NewPlatform(standin.PlatformConfig{})
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	size := capacity.Size{Services: fleetSizes()[1], Upstreams: upstreamsPerService}
	first := sign(b, size.Bundle(1, approvers()), nil)
	second := sign(b, size.Bundle(2, approvers()), first)
	publish(b, p, first)
	ctx, stop := context.WithCancel(b.Context())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer stop()
	var all []*instance.Balancer
	for range n {
		lb := newBalancer(b, server.URL)
		all = append(all, lb)
		wg.Go(func() { lb.Run(ctx) })
	}
	awaitVersion(b, all, 1)
	var f following
	calls := p.Counts().Calls
	f.timeASecond = processorTime(b, func() { rest(b, quietTime) }) / quietTime.Seconds()
	f.callsASecond = float64(p.Counts().Calls-calls) / quietTime.Seconds()
	calls = p.Counts().Calls
	begin := time.Now()
	publish(b, p, second)
	awaitVersion(b, all, 2)
	f.secondsToLast = time.Since(begin).Seconds()
	f.callsAChange = float64(p.Counts().Calls - calls)
	return f
}

func newBalancer(b *testing.B, platformURL string) *instance.Balancer {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	lb, err := instance.NewBalancer(instance.BalancerConfig{
		Config: instance.Config{
			Name:       "entry",
			DataCentre: "centre-0",
			Platform:   platformURL,
			Operator:   loopback,
			Key:        make([]byte, forward.KeySize),
			Anchor:     approvers(),
			Log:        event.New(event.Config{}),
			Timer:      timer.New(timer.Config{PauseAfter: time.Minute}),
		},
		Role: balancer.Config{Fabric: loopback, Forward: loopback, Gateway: loopback, Drain: time.Millisecond},
	})
	must.NoError(b, err)
	return lb
}

func awaitVersion(b *testing.B, all []*instance.Balancer, version uint64) {
	for _, lb := range all {
		for lb.Version() < version {
			rest(b, followPeriod)
		}
	}
}

func rest(b *testing.B, d time.Duration) {
	must.NoError(b, timer.New(timer.Config{}).Sleep(b.Context(), d))
}
