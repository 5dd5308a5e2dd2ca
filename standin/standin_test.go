package standin_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/standin"
	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc"
)

// startComponents runs the components in the background until the test ends.
func startComponents(t *testing.T, components ...interface{ Run(context.Context) error }) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	for _, p := range components {
		wg.Go(func() { _ = p.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}

// startPath starts a fabric and an upstream with a relay instead of balancer and sidecar.
func startPath(t *testing.T, fc standin.FabricConfig, uc standin.UpstreamConfig) (*standin.Fabric, *standin.Upstream) {
	t.Helper()
	f, err := standin.NewFabric(fc)
	must.NoError(t, err)
	u, err := standin.NewUpstream(uc)
	must.NoError(t, err)
	r, err := standin.NewRelay(standin.RelayConfig{To: u.TunnelAddr(), ReturnTo: f.AnswersAddr()})
	must.NoError(t, err)
	f.SetBalancers([]netip.AddrPort{r.Addr()})
	startComponents(t, f, u, r)
	return f, u
}

func targets() []standin.CallerTarget {
	return []standin.CallerTarget{
		{Address: netip.MustParseAddrPort("198.51.100.1:80"), Protocol: flow.TCP, Service: "report"},
		{Address: netip.MustParseAddrPort("198.51.100.1:81"), Protocol: flow.UDP, Service: "report"},
		{Address: netip.MustParseAddrPort("[2001:db8:1::1]:80"), Protocol: flow.TCP, Service: "report"},
		{Address: netip.MustParseAddrPort("[2001:db8:1::1]:81"), Protocol: flow.UDP, Service: "report"},
	}
}

func runCaller(t *testing.T, cfg standin.CallerConfig) standin.Result {
	t.Helper()
	c, err := standin.NewCaller(cfg)
	must.NoError(t, err)
	must.NoError(t, c.Run(t.Context()))
	r := c.Result()
	t.Logf("%+v", r)
	return r
}

func TestAllRequestsCompleted(t *testing.T) {
	tests := []struct {
		name   string
		faults standin.FabricFaults
		flows  int
		remote bool
	}{
		{"in process", standin.FabricFaults{}, 400, false},
		{"over UDP", standin.FabricFaults{}, 100, true},
		{"faults", standin.FabricFaults{Loss: 0.02, Duplicate: 0.02, Delay: time.Millisecond, Jitter: 3 * time.Millisecond}, 60, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			f, u := startPath(t, standin.FabricConfig{Seed: 1, Faults: tc.faults}, standin.UpstreamConfig{Name: "r1", Service: "report", Slots: 4})
			cfg := standin.CallerConfig{LocalFabric: f, Targets: targets(), Flows: tc.flows, Requests: 10, Parallel: 50, Seed: 1}
			if tc.remote {
				cfg.LocalFabric, cfg.Fabric = nil, f.CallersAddr()
			}
			r := runCaller(t, cfg)
			must.True(t, r.Clean())
			must.Eq(t, tc.flows*10, r.Completed)
			must.Eq(t, map[string]int{"r1": r.Completed}, r.Upstreams)
			audit := standin.NewAudit(u.Runs(), r.Records)
			must.Eq(t, standin.Audit{Runs: r.Completed}, audit)
			if tc.faults.Loss > 0 {
				must.Positive(t, f.Stats().Lost)
				must.Positive(t, f.Stats().Duplicated)
			}
		})
	}
}

func TestDatagramUpstream(t *testing.T) {
	u, err := standin.NewUpstream(standin.UpstreamConfig{Name: "f1", Service: "fitting"})
	must.NoError(t, err)
	startComponents(t, u)
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(u.DatagramAddr()))
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	b, err := standin.Request{Caller: 7, ID: 3, Size: 100}.Encode()
	must.NoError(t, err)
	_, err = conn.Write(b)
	must.NoError(t, err)
	answer := make([]byte, 2000)
	n, err := conn.Read(answer)
	must.NoError(t, err)
	a, err := standin.DecodeAnswer(answer[:n])
	must.NoError(t, err)
	must.Eq(t, 7, a.Caller)
	must.Eq(t, 3, a.ID)
	must.Eq(t, "f1", a.Upstream)
	must.SliceLen(t, 100, a.Body)
}
