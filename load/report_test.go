package load_test

import (
	"errors"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/load"
	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
)

// largestReport is the maximum size of an encoded report in bytes.
const largestReport = 64

func TestReportRoundTrip(t *testing.T) {
	v := busy(3, 0)
	v.Connections = 2345
	want := load.NewReport(bundle.ServiceIDOf("fitting"), bundle.UpstreamIDOf("mat-1"), 1_790_000_000_000, v)
	b, err := msgpack.Marshal(want)
	must.NoError(t, err)
	must.LessEq(t, largestReport, len(b))

	var got load.Report
	must.NoError(t, msgpack.Unmarshal(b, &got))
	must.Eq(t, want.View(), got.View())
	must.Eq(t, v, got.View())
}

func TestReportRejectsOutOfRangeField(t *testing.T) {
	r := load.NewReport(service, 2, 1, idle())
	r.Weight = 1001
	b, err := msgpack.Marshal(r)
	must.NoError(t, err)
	var got load.Report
	var want *load.ReportError
	must.True(t, errors.As(msgpack.Unmarshal(b, &got), &want))
	must.Eq(t, "weight", want.Field)
}

func TestPeersIgnoreIrrelevantReports(t *testing.T) {
	ps := load.NewPeers(load.PeersConfig{Service: service, Upstream: 1})
	must.True(t, ps.AddReport(load.NewReport(service, 2, 5, idle()), 40, start))
	must.False(t, ps.AddReport(load.NewReport(service, 2, 5, idle()), 40, start))
	must.False(t, ps.AddReport(load.NewReport(service, 1, 9, idle()), 40, start))
	must.False(t, ps.AddReport(load.NewReport(service+1, 3, 9, idle()), 40, start))
	must.Eq(t, uint64(160), ps.Bytes())
}

func TestPeersReportOncePerInterval(t *testing.T) {
	ps := load.NewPeers(load.PeersConfig{Service: service, Upstream: 1})
	first, ok := ps.NextReport(idle(), start)
	must.True(t, ok)
	_, ok = ps.NextReport(idle(), start.Add(500*time.Millisecond))
	must.False(t, ok)
	second, ok := ps.NextReport(idle(), start.Add(time.Second))
	must.True(t, ok)
	must.Greater(t, first.Sequence, second.Sequence)
}

// TestExpiredReportsAreIgnored checks that flows are passed to an upstream again
// after its reports expire, since its load is then unknown.
func TestExpiredReportsAreIgnored(t *testing.T) {
	peer := withConnections(2030)
	ps := peersWith(t, peer, peer, peer, peer, peer, peer)
	must.Eq(t, load.Accept, load.Decide(load.AcceptOrPass{}, openingAt(0), withConnections(2030), ps).Verdict)
	ps.Expire(start.Add(time.Minute))
	must.Eq(t, load.Pass, load.Decide(load.AcceptOrPass{}, openingAt(0), withConnections(2030), ps).Verdict)
}
