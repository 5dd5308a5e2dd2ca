package capacity_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc"

	"github.com/corianderbay/corianderbay/balancer"
	"github.com/corianderbay/corianderbay/capacity"
	"github.com/corianderbay/corianderbay/configservice"
	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/forward"
	"github.com/corianderbay/corianderbay/instance"
	"github.com/corianderbay/corianderbay/peer"
	"github.com/corianderbay/corianderbay/standin"
	"github.com/corianderbay/corianderbay/timer"
)

const (
	idlePeriod   = 8 * time.Second // measured without a change
	pollInterval = 5 * time.Millisecond
)

// followCost is the cost of a number of processes that follow the platform.
type followCost struct {
	idleCallsPerSecond   float64 // to the platform, without a change
	callsPerChange       float64 // to the platform, until all processes have the new bundle
	idleCPUTimePerSecond float64 // nanoseconds, including the stand-in platform
	secondsToConverge    float64 // from publication until the last process has the new bundle
}

// BenchmarkPlatformFollowing measures the cost of following the platform, idle and
// during one change, by the number of processes.
func BenchmarkPlatformFollowing(b *testing.B) {
	sizes := []int{2, 4, 8, 16}
	results := make(map[int]followCost)
	for _, n := range sizes {
		results[n] = measureFollowing(b, n)
	}
	column := func(of func(followCost) float64) func(int) func() float64 {
		return measureOnce(func(n int) float64 { return of(results[n]) })
	}
	b.Run("quiet", func(b *testing.B) {
		reportSlope(b, sizes, "process", "calls/s", column(func(f followCost) float64 { return f.idleCallsPerSecond }))
	})
	b.Run("change", func(b *testing.B) {
		reportSlope(b, sizes, "process", "calls", column(func(f followCost) float64 { return f.callsPerChange }))
	})
	b.Run("time", func(b *testing.B) {
		reportSlope(b, sizes, "process", "ns/s", column(func(f followCost) float64 { return f.idleCPUTimePerSecond }))
	})
	b.Run("last", func(b *testing.B) {
		reportSlope(b, sizes, "process", "s", column(func(f followCost) float64 { return f.secondsToConverge }))
	})
}

// measureFollowing runs n balancers with a platform of their own.
func measureFollowing(b *testing.B, n int) followCost {
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
	credentials := newCredentials(b)
	var all []*instance.Balancer
	var list []configservice.Instance
	for i := range n {
		lb := newBalancer(b, fmt.Sprintf("entry-%d", i), server.URL, credentials)
		all = append(all, lb)
		list = append(list, listEntry(i, lb))
	}
	p.SetInstances(list)
	for _, lb := range all {
		wg.Go(func() { lb.Run(ctx) })
	}
	awaitVersion(b, all, 1)
	var f followCost
	calls := p.Counts().Calls
	f.idleCPUTimePerSecond = cpuTime(b, func() { sleep(b, idlePeriod) }) / idlePeriod.Seconds()
	f.idleCallsPerSecond = float64(p.Counts().Calls-calls) / idlePeriod.Seconds()
	calls = p.Counts().Calls
	begin := time.Now()
	publish(b, p, second)
	awaitVersion(b, all, 2)
	f.secondsToConverge = time.Since(begin).Seconds()
	f.callsPerChange = float64(p.Counts().Calls - calls)
	return f
}

// listEntry returns the entry of the balancer in the platform's instance list.
func listEntry(i int, lb *instance.Balancer) configservice.Instance {
	return configservice.Instance{
		Name:       fmt.Sprintf("entry-%d", i),
		Role:       configservice.RoleBalancer,
		DataCentre: "centre-0",
		Control:    lb.ControlAddress(),
		State:      configservice.StateLive,
	}
}

// newCredentials returns credentials that all processes of a benchmark share.
func newCredentials(b *testing.B) *peer.Credentials {
	clock := timer.New(timer.Config{})
	authority, issued := issue(b)
	c, err := peer.NewCredentials(authority.PEM(), issued, clock)
	must.NoError(b, err)
	return c
}

func issue(b *testing.B) (*peer.Authority, peer.KeyPair) {
	now := timer.New(timer.Config{}).Now()
	authority, err := peer.NewAuthority(now, time.Hour)
	must.NoError(b, err)
	issued, err := authority.Issue(peer.FleetName, now, time.Hour)
	must.NoError(b, err)
	return authority, issued
}

func newBalancer(b *testing.B, name, platformURL string, credentials *peer.Credentials) *instance.Balancer {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	lb, err := instance.NewBalancer(instance.BalancerConfig{
		Config: instance.Config{
			Name:        name,
			DataCentre:  "centre-0",
			Platform:    platformURL,
			Operator:    loopback,
			Control:     loopback,
			Credentials: credentials,
			Key:         make([]byte, forward.KeySize),
			Anchor:      approvers(),
			Log:         event.New(event.Config{}),
			Timer:       timer.New(timer.Config{PauseThreshold: time.Minute}),
		},
		Role: balancer.Config{Fabric: loopback, Forward: loopback, Gateway: loopback, Drain: time.Millisecond},
	})
	must.NoError(b, err)
	return lb
}

func awaitVersion(b *testing.B, all []*instance.Balancer, version uint64) {
	for _, lb := range all {
		for lb.Version() < version {
			sleep(b, pollInterval)
		}
	}
}

func sleep(b *testing.B, d time.Duration) {
	must.NoError(b, timer.New(timer.Config{}).Sleep(b.Context(), d))
}
