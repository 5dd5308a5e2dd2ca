package route_test

import (
	"fmt"
	"math"
	"net/netip"
	"testing"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/forward"
	"github.com/corianderbay/corianderbay/route"
	"github.com/shoenig/test/must"
)

const upstreamsPerService = 7

// exampleBundle has two services, "fitting" and "report", over three data centres.
func exampleBundle() *bundle.Bundle {
	b := &bundle.Bundle{Sequence: 3}
	for i, name := range []string{"semarang", "solo", "tegal"} {
		b.DataCentres = append(b.DataCentres, bundle.DataCentre{
			Name:    name,
			Callers: []netip.Prefix{netip.MustParsePrefix(fmt.Sprintf("10.%d.0.0/16", i))},
		})
	}
	b.Services = append(b.Services, exampleService("fitting", 1), exampleService("report", 2))
	return b
}

func exampleService(name string, n byte) bundle.Service {
	s := bundle.Service{
		Name: name,
		Addresses: []bundle.Address{
			{IP: netip.AddrFrom4([4]byte{198, 51, 100, n}), Port: 7000, Protocol: "tcp"},
		},
		Rules: []bundle.Rule{
			{Callers: netip.MustParsePrefix("10.0.0.0/8"), Allow: true},
			{Callers: netip.MustParsePrefix("10.9.0.0/16"), Allow: false},
		},
		Places: []bundle.Place{{DataCentre: "semarang"}, {DataCentre: "solo"}, {DataCentre: "tegal"}},
	}
	for i := range upstreamsPerService {
		p := &s.Places[i%3]
		p.Upstreams = append(p.Upstreams, bundle.Upstream{
			Name:    fmt.Sprintf("%s-%d", name, i),
			Sidecar: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(n)*1000+uint16(i)),
		})
	}
	return s
}

func keyFrom(caller string, port int) flow.Key {
	return flow.NewKey(flow.TCP,
		netip.AddrPortFrom(netip.MustParseAddr(caller), uint16(port)),
		netip.MustParseAddrPort("198.51.100.1:7000"))
}

func TestClassify(t *testing.T) {
	v := route.NewView(exampleBundle())
	m, err := v.Classify(keyFrom("10.1.2.3", 1))
	must.NoError(t, err)
	must.Eq(t, "fitting", m.Service.Name())
	must.Eq(t, 1, m.DataCentre)

	_, err = v.Classify(keyFrom("10.9.2.3", 1))
	must.ErrorAs[*route.DeniedError](t, err, new(*route.DeniedError))
	_, err = v.Classify(keyFrom("192.0.2.1", 1))
	must.ErrorAs[*route.DeniedError](t, err, new(*route.DeniedError))
	other := flow.NewKey(flow.UDP, netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("198.51.100.1:7000"))
	_, err = v.Classify(other)
	must.ErrorAs[*route.UnknownAddressError](t, err, new(*route.UnknownAddressError))
}

func TestNearestDataCentreRanksFirst(t *testing.T) {
	v := route.NewView(exampleBundle())
	for port := range 100 {
		got := v.Rank(nil, keyFrom("10.1.0.1", port+1))
		must.Len(t, upstreamsPerService, got)
		near := map[bundle.UpstreamID]bool{
			bundle.UpstreamIDOf("fitting-1"): true,
			bundle.UpstreamIDOf("fitting-4"): true,
		}
		must.True(t, near[got[0].Upstream])
		must.True(t, near[got[1].Upstream])
	}
}

// TestRemovalKeepsCandidateOrder checks that a removed upstream leaves the order of the others as it was.
func TestRemovalKeepsCandidateOrder(t *testing.T) {
	before := route.NewView(exampleBundle())
	smaller := exampleBundle()
	place := &smaller.Services[0].Places[2]
	gone := place.Upstreams[0].ID()
	place.Upstreams = place.Upstreams[1:]
	after := route.NewView(smaller)
	for port := range 500 {
		key := keyFrom("10.2.0.1", port+1)
		var want []forward.Candidate
		for _, c := range before.Rank(nil, key) {
			if c.Upstream != gone {
				want = append(want, c)
			}
		}
		must.Eq(t, want, after.Rank(nil, key))
	}
}

func TestNewFlowsFollowWeights(t *testing.T) {
	b := exampleBundle()
	b.DataCentres = nil
	b.Services[0].Places[0].Upstreams[0].Weight = 300
	v := route.NewView(b)
	const flows = 90_000
	counts := make(map[bundle.UpstreamID]int)
	for i := range flows {
		counts[v.Rank(nil, keyFrom(fmt.Sprintf("10.0.%d.1", i/60_000), i%60_000+1))[0].Upstream]++
	}
	heavy := float64(counts[bundle.UpstreamIDOf("fitting-0")])
	want := flows * 3.0 / 9
	must.Less(t, 5*math.Sqrt(want), math.Abs(heavy-want))
}

func TestFormerServiceRanksLast(t *testing.T) {
	b := exampleBundle()
	b.Services[1].Addresses = append(b.Services[1].Addresses, bundle.Address{
		IP: netip.MustParseAddr("198.51.100.1"), Port: 7000, Protocol: "tcp", Former: "fitting",
	})
	b.Services[0].Addresses = nil
	v := route.NewView(b)
	got := v.Rank(nil, keyFrom("10.0.0.1", 5))
	must.Len(t, 2*upstreamsPerService, got)
	must.Eq(t, bundle.ServiceIDOf("report"), got[0].Service)
	must.False(t, got[0].Leaving)
	must.Eq(t, bundle.ServiceIDOf("fitting"), got[upstreamsPerService].Service)
	must.True(t, got[upstreamsPerService].Leaving)
}

func BenchmarkDecision(b *testing.B) {
	v := route.NewView(exampleBundle())
	dst := make([]forward.Candidate, 0, forward.MaxCandidates)
	key := keyFrom("10.1.0.1", 77)
	b.ReportAllocs()
	for b.Loop() {
		m, err := v.Classify(key)
		if err != nil {
			b.Fatal(err)
		}
		dst = v.Candidates(dst[:0], m, key)
	}
}

// TestSecondCandidateIsIndependentOfFirst checks that the flows of one first candidate
// are spread evenly over the others as second ones.
func TestSecondCandidateIsIndependentOfFirst(t *testing.T) {
	b := exampleBundle()
	b.DataCentres = nil
	v := route.NewView(b)
	const flows = 84_000
	pairs := make(map[[2]bundle.UpstreamID]int)
	for i := range flows {
		got := v.Rank(nil, keyFrom(fmt.Sprintf("10.0.%d.1", i/60_000), i%60_000+1))
		pairs[[2]bundle.UpstreamID{got[0].Upstream, got[1].Upstream}]++
	}
	must.MapLen(t, upstreamsPerService*(upstreamsPerService-1), pairs)
	want := float64(flows) / float64(len(pairs))
	for _, n := range pairs {
		must.Less(t, 5*math.Sqrt(want), math.Abs(float64(n)-want))
	}
}

// TestMembersIncludeServicesLinkedByAddress checks that sidecars of two
// services know of each other while an address that moved links them.
func TestMembersIncludeServicesLinkedByAddress(t *testing.T) {
	b := exampleBundle()
	b.Services[1].Addresses = append(b.Services[1].Addresses, bundle.Address{
		IP: netip.MustParseAddr("198.51.100.9"), Port: 7000, Protocol: "tcp", Former: "fitting",
	})
	v := route.NewView(b)
	for _, name := range []string{"fitting-0", "report-0"} {
		s := route.NewSidecarView(v, bundle.UpstreamIDOf(name))
		must.SliceLen(t, 2*upstreamsPerService, s.Members(s.Self().Service))
		must.SliceLen(t, upstreamsPerService, s.Peers())
	}
	apart := route.NewSidecarView(route.NewView(exampleBundle()), bundle.UpstreamIDOf("report-0"))
	must.SliceLen(t, upstreamsPerService, apart.Members(apart.Self().Service))
}

// TestMovedFollowsTransferredAddresses checks that Moved changes with the addresses
// that came from another service, and with nothing else.
func TestMovedFollowsTransferredAddresses(t *testing.T) {
	address := func(port uint16, former string) bundle.Address {
		return bundle.Address{IP: netip.MustParseAddr("198.51.100.1"), Port: port, Protocol: "tcp", Former: former}
	}
	moved := func(weight int, as ...bundle.Address) uint64 {
		b := &bundle.Bundle{Sequence: 1, Services: []bundle.Service{
			{Name: "fitting", Addresses: as, Places: []bundle.Place{{Upstreams: []bundle.Upstream{{Name: "a", Weight: weight}}}}},
			{Name: "report"},
		}}
		return route.NewSidecarView(route.NewView(b), bundle.UpstreamIDOf("a")).Moved(bundle.ServiceIDOf("fitting"))
	}
	must.Zero(t, moved(1, address(1, "")))
	must.Zero(t, moved(1, address(1, ""), address(2, "")))
	came := moved(1, address(1, "report"))
	must.NotEq(t, 0, came)
	must.Eq(t, came, moved(2, address(2, ""), address(1, "report")))
	must.NotEq(t, came, moved(1, address(1, "report"), address(2, "report")))
}
