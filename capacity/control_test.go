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
	datagramHeaders = 28 // bytes, IPv4 and UDP
	geneveHeader    = 8  // bytes, without options
	tick            = 100 * time.Millisecond
	controlSeconds  = 20
	balancers       = 540
)

// BenchmarkReportSize measures the size of one report by the size of the service.
// A report lists the peers from which the sidecar receives reports.
func BenchmarkReportSize(b *testing.B) {
	reportSlope(b, serviceSizes(), "upstream", "B", measureOnce(func(upstreams int) float64 {
		p := newPath(b, capacity.Size{Services: 1, Upstreams: upstreams})
		due := p.Advance(flow.ReportInterval)
		must.NotNil(b, due.Report)
		return datagramSize(b, forward.KindReport, due.Report)
	}))
}

// BenchmarkReportBytes measures the bytes of the reports that a sidecar sends to
// its peers per second, by the size of the service.
func BenchmarkReportBytes(b *testing.B) {
	reportSlope(b, serviceSizes(), "upstream", "B/s", measureOnce(func(upstreams int) float64 {
		p := newPath(b, capacity.Size{Services: 1, Upstreams: upstreams})
		var sent float64
		for range controlSeconds {
			due := p.Advance(flow.ReportInterval)
			must.NotNil(b, due.Report)
			sent += datagramSize(b, forward.KindReport, due.Report) * float64(upstreams-1)
		}
		return sent / controlSeconds
	}))
}

// BenchmarkLoadBytes measures the bytes of the load reports that a sidecar sends
// to its peers per second, by the size of the service.
func BenchmarkLoadBytes(b *testing.B) {
	reportSlope(b, serviceSizes(), "upstream", "B/s", measureOnce(func(upstreams int) float64 {
		peers := load.NewPeers(load.PeersConfig{Service: 1, Upstream: 1})
		own := load.NewMonitor(load.MonitorConfig{Upstream: bundle.Upstream{Name: "a"}}, time.Unix(1, 0))
		own.SetConnections(3529)
		now := time.Unix(1, 0)
		var sent float64
		for range controlSeconds * time.Second / tick {
			now = now.Add(tick)
			if r, ok := peers.NextReport(own.View(now), now); ok {
				sent += datagramSize(b, forward.KindLoad, &r) * float64(upstreams-1)
			}
		}
		return sent / controlSeconds
	}))
}

// BenchmarkHintBytes measures the bytes of the hints that a sidecar sends to
// balancers per second, by the rate of new flows whose packets are relayed by
// another sidecar. The flows are spread over 540 balancers.
func BenchmarkHintBytes(b *testing.B) {
	reportSlope(b, []int{1, 4, 8, 16}, "flow/s", "B/s", measureOnce(func(rate int) float64 {
		return hintBytes(b, rate)
	}))
}

// BenchmarkHintBytesBeyondBudget is like BenchmarkHintBytes at rates for which the
// sidecar's byte budget for hints limits what it sends.
func BenchmarkHintBytesBeyondBudget(b *testing.B) {
	reportSlope(b, []int{50, 100, 400, 1000}, "flow/s", "B/s", measureOnce(func(rate int) float64 {
		return hintBytes(b, rate)
	}))
}

func hintBytes(b *testing.B, rate int) float64 {
	p := newPath(b, capacity.Size{Services: 1, Upstreams: upstreamsPerService})
	callers := p.Callers(rate * controlSeconds)
	p.OpenFlows(callers)
	var sent float64
	for i, caller := range callers {
		p.DeliverRelayed(caller, i*7%balancers)
		if (i+1)%rate == 0 {
			sent += hintBytesInSecond(b, p)
		}
	}
	return sent / controlSeconds
}

// hintBytesInSecond advances the path by one second and returns the bytes of the
// hints that the sidecar sends meanwhile.
func hintBytesInSecond(b *testing.B, p *capacity.DataPath) float64 {
	var sent float64
	for range time.Second / tick {
		byAddress := make(map[netip.AddrPort][]uint64)
		for _, h := range p.Advance(tick).Hints {
			byAddress[h.To] = append(byAddress[h.To], h.Key.Hash())
		}
		for _, hashes := range byAddress {
			sent += datagramSize(b, forward.KindHints, &flow.OwnerHints{Owner: 1, Hashes: hashes})
		}
	}
	return sent
}

// datagramSize returns the size of a control datagram in bytes, including its
// IPv4 and UDP headers.
func datagramSize(t testing.TB, kind forward.Kind, m forward.Message) float64 {
	t.Helper()
	body, err := forward.EncodeMessage(m)
	must.NoError(t, err)
	s, err := forward.NewSealer(forward.SealerConfig{Key: make([]byte, forward.KeySize), Sender: 1})
	must.NoError(t, err)
	return float64(len(s.AppendMessage(nil, kind, body)) + datagramHeaders)
}
