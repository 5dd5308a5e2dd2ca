package standin_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/fabric"
	"github.com/corianderbay/corianderbay/standin"
	"github.com/corianderbay/corianderbay/timer"
	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc"
)

// filterBalancer is a balancer that forwards the packets of callers for which
// accept returns true. accept receives the frame and its index.
type filterBalancer struct {
	t       *testing.T
	conn    *net.UDPConn
	relay   netip.AddrPort
	answers netip.AddrPort
	accept  func(g *filterBalancer, f fabric.Frame, n int) bool
}

// Run implements the interface of startComponents.
func (g *filterBalancer) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		d := fabric.NewDecoder(fabric.DecoderConfig{})
		b := make([]byte, 65535)
		for n := 0; ; n++ {
			size, err := g.conn.Read(b)
			if err != nil {
				return
			}
			f, err := d.Decode(b[:size])
			if err == nil && g.accept(g, f, n) {
				_, _ = g.conn.WriteToUDPAddrPort(b[:size], g.relay)
			}
		}
	})
	<-ctx.Done()
	return g.conn.Close()
}

func (g *filterBalancer) refuse(f fabric.Frame, r fabric.Refusal) {
	ip, err := fabric.Refuse(f.IP)
	must.NoError(g.t, err)
	b, err := fabric.Append(nil, f.VNI, ip, &r)
	must.NoError(g.t, err)
	_, _ = g.conn.WriteToUDPAddrPort(b, g.answers)
}

// filteredPath is like startPath, with a filterBalancer between the fabric and the
// relay.
func filteredPath(t *testing.T, uc standin.UpstreamConfig, accept func(*filterBalancer, fabric.Frame, int) bool) (*standin.Fabric, *standin.Upstream) {
	t.Helper()
	f, u := startPath(t, standin.FabricConfig{}, uc)
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	must.NoError(t, err)
	g := &filterBalancer{t: t, conn: conn, relay: f.Balancers()[0], answers: f.AnswersAddr(), accept: accept}
	f.SetBalancers([]netip.AddrPort{conn.LocalAddr().(*net.UDPAddr).AddrPort()})
	startComponents(t, g)
	return f, u
}

func TestCallerRetriesAfterRefusal(t *testing.T) {
	notRun := fabric.Refusal{Reason: fabric.ReasonLimited, NotRun: true, RetryAfter: time.Millisecond}
	for _, target := range targets() {
		f, u := filteredPath(t, standin.UpstreamConfig{Name: "r1", Service: "report"}, func(g *filterBalancer, f fabric.Frame, n int) bool {
			if n < 2 {
				g.refuse(f, notRun)
			}
			return n >= 2
		})
		r := runCaller(t, standin.CallerConfig{LocalFabric: f, Targets: []standin.CallerTarget{target}, Requests: 3})
		must.True(t, r.Clean())
		must.Eq(t, 3, r.Completed)
		must.Eq(t, map[string]int{"limited": 2}, r.Refusals)
		must.Eq(t, standin.Audit{Runs: 3}, standin.NewAudit(u.Runs(), r.Records))
	}
}

func TestCallerRetriesUnclaimedRefusalOnlyIfIdempotent(t *testing.T) {
	target := targets()[1]
	for _, idempotent := range []bool{false, true} {
		target.Idempotent = idempotent
		f, u := filteredPath(t, standin.UpstreamConfig{Service: "report"}, func(g *filterBalancer, f fabric.Frame, n int) bool {
			if n == 0 {
				g.refuse(f, fabric.Refusal{Reason: fabric.ReasonUnavailable})
			}
			return n > 0
		})
		r := runCaller(t, standin.CallerConfig{LocalFabric: f, Targets: []standin.CallerTarget{target}})
		must.Eq(t, idempotent, r.Clean())
		must.Eq(t, idempotent, r.Refused == 0)
		must.Eq(t, r.Completed, len(u.Runs()))
	}
}

func TestAuditCountsFalseRefusalsAndDoubleRuns(t *testing.T) {
	for _, repeats := range []bool{false, true} {
		f, u := filteredPath(t, standin.UpstreamConfig{Service: "report", RunDuplicates: repeats}, func(g *filterBalancer, f fabric.Frame, n int) bool {
			if n == 0 {
				g.refuse(f, fabric.Refusal{Reason: fabric.ReasonOverloaded, NotRun: true, RetryAfter: 50 * time.Millisecond})
			}
			return true
		})
		r := runCaller(t, standin.CallerConfig{LocalFabric: f, Targets: targets()[1:2]})
		must.Eq(t, 1, r.Completed)
		must.SliceLen(t, 1, r.Records)
		// The answer to the first attempt may arrive before the second attempt runs.
		wantRuns := 1
		if repeats {
			wantRuns = 2
		}
		clock := timer.New(timer.Config{})
		for len(u.Runs()) < wantRuns {
			must.NoError(t, clock.Sleep(t.Context(), time.Millisecond))
		}
		audit := standin.NewAudit(u.Runs(), r.Records)
		must.Eq(t, 1, audit.FalseRefusals)
		must.Eq(t, repeats, audit.DoubleRuns == 1)
		must.False(t, audit.Clean())
	}
}

func TestCallerCountsBrokenFlow(t *testing.T) {
	f, _ := filteredPath(t, standin.UpstreamConfig{Service: "report"}, func(g *filterBalancer, f fabric.Frame, n int) bool {
		if len(f.Payload) > 0 {
			g.refuse(f, fabric.Refusal{Reason: fabric.ReasonLeaving})
			return false
		}
		return true
	})
	r := runCaller(t, standin.CallerConfig{LocalFabric: f, Targets: targets()[:1], Requests: 3})
	must.Eq(t, 1, r.Broken)
	must.Eq(t, 1, r.Failed)
	must.Eq(t, 1, r.Requests)
	must.Eq(t, map[string]int{"leaving": 1}, r.Refusals)
	must.False(t, r.Clean())
}

func TestCallerCountsMisroutedAnswer(t *testing.T) {
	f, _ := startPath(t, standin.FabricConfig{}, standin.UpstreamConfig{Service: "fitting"})
	r := runCaller(t, standin.CallerConfig{LocalFabric: f, Targets: targets()[:2], Flows: 2, Timeout: 300 * time.Millisecond})
	must.Positive(t, r.Misrouted)
	must.Eq(t, 2, r.Lost)
	must.False(t, r.Clean())
}

func TestCallerStopsAfterDuration(t *testing.T) {
	f, _ := startPath(t, standin.FabricConfig{}, standin.UpstreamConfig{ServiceTime: time.Minute})
	r := runCaller(t, standin.CallerConfig{LocalFabric: f, Targets: targets(), Flows: 4, Duration: 200 * time.Millisecond, Timeout: time.Minute})
	must.Eq(t, 4, r.Stopped)
}

func TestCheckReportsEachField(t *testing.T) {
	err := standin.CallerConfig{Flows: -1, Attempts: 2000}.Check()
	must.ErrorContains(t, err, "fabric is")
	must.ErrorContains(t, err, "target is empty")
	must.ErrorContains(t, err, "flows is -1, must be from 1 to 1e+06")
	must.ErrorContains(t, err, "attempts is 2000")
	var one *standin.ValueError
	must.ErrorAs[*standin.ValueError](t, err, &one)
	must.ErrorContains(t, standin.UpstreamConfig{Tunnel: netip.MustParseAddrPort("192.0.2.1:1")}.Check(), "tunnel")
	must.ErrorContains(t, standin.FabricConfig{Faults: standin.FabricFaults{Loss: 2}}.Check(), "loss")
}
