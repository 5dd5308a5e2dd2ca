package capacity_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/capacity"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/forward"
	"github.com/corianderbay/corianderbay/load"
)

const (
	datagramHeaders = 28 // bytes of the IPv4 and UDP headers
	geneveHeader    = 8  // bytes, without options
	tick            = 100 * time.Millisecond
	controlSeconds  = 20
	balancers       = 540
)

// BenchmarkReportSize measures one report, by the size of the service: it names the peers that were heard.
func BenchmarkReportSize(b *testing.B) {
	reportSlope(b, serviceSizes(), "upstream", "B", once(func(upstreams int) float64 {
		p := newPath(b, capacity.Size{Services: 1, Upstreams: upstreams})
		due := p.Advance(flow.ReportInterval)
		must.NotNil(b, due.Report)
		return sizeOf(b, forward.KindReport, due.Report)
	}))
}

// BenchmarkReportBytes measures the reports that a sidecar sends its peers a second, by the size of the service.
func BenchmarkReportBytes(b *testing.B) {
	reportSlope(b, serviceSizes(), "upstream", "B/s", once(func(upstreams int) float64 {
		p := newPath(b, capacity.Size{Services: 1, Upstreams: upstreams})
		var sent float64
		for range controlSeconds {
			due := p.Advance(flow.ReportInterval)
			must.NotNil(b, due.Report)
			sent += sizeOf(b, forward.KindReport, due.Report) * float64(upstreams-1)
		}
		return sent / controlSeconds
	}))
}

// BenchmarkLoadBytes measures the reports of load that a sidecar sends its peers a second.
func BenchmarkLoadBytes(b *testing.B) {
	reportSlope(b, serviceSizes(), "upstream", "B/s", once(func(upstreams int) float64 {
		peers := load.NewPeers(load.PeersConfig{Service: 1, Upstream: 1})
		own := load.NewMonitor(load.MonitorConfig{Upstream: bundle.Upstream{Name: "a"}}, time.Unix(1, 0))
		own.SetConnections(3529)
		now := time.Unix(1, 0)
		var sent float64
		for range controlSeconds * time.Second / tick {
			now = now.Add(tick)
			if r, ok := peers.NextReport(own.View(now), now); ok {
				sent += sizeOf(b, forward.KindLoad, &r) * float64(upstreams-1)
			}
		}
		return sent / controlSeconds
	}))
}

// BenchmarkHintBytes measures what a sidecar sends balancers a second, by the new flows a second
// whose packets come over another sidecar, one of 540 balancers each.
func BenchmarkHintBytes(b *testing.B) {
	reportSlope(b, []int{1, 4, 8, 16}, "flow/s", "B/s", once(func(rate int) float64 {
		return hintBytes(b, rate)
	}))
}

// BenchmarkHintBytesBeyondBudget shows where the budget ends the growth.
func BenchmarkHintBytesBeyondBudget(b *testing.B) {
	reportSlope(b, []int{50, 100, 400, 1000}, "flow/s", "B/s", once(func(rate int) float64 {
		return hintBytes(b, rate)
	}))
}

func hintBytes(b *testing.B, rate int) float64 {
	p := newPath(b, capacity.Size{Services: 1, Upstreams: upstreamsPerService})
	callers := p.Callers(rate * controlSeconds)
	p.Open(callers)
	var sent float64
	for i, caller := range callers {
		p.Detour(caller, i*7%balancers)
		if (i+1)%rate == 0 {
			sent += hintsOfASecond(b, p)
		}
	}
	return sent / controlSeconds
}

// hintsOfASecond returns the bytes of the hints that the sidecar sends in the next second.
func hintsOfASecond(b *testing.B, p *capacity.Path) float64 {
	var sent float64
	for range time.Second / tick {
		byAddress := make(map[netip.AddrPort][]uint64)
		for _, h := range p.Advance(tick).Hints {
			byAddress[h.To] = append(byAddress[h.To], h.Key.Hash())
		}
		for _, hashes := range byAddress {
			sent += sizeOf(b, forward.KindHints, &flow.OwnerHints{Owner: 1, Hashes: hashes})
		}
	}
	return sent
}

// sizeOf returns the length of a control datagram on the wire, its headers included.
func sizeOf(t testing.TB, kind forward.Kind, m forward.Message) float64 {
	t.Helper()
	body, err := forward.EncodeMessage(m)
	must.NoError(t, err)
	s, err := forward.NewSealer(forward.SealerConfig{Key: make([]byte, forward.KeySize), Sender: 1})
	must.NoError(t, err)
	return float64(len(s.AppendMessage(nil, kind, body)) + datagramHeaders)
}
