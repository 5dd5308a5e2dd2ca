package standin_test

import (
	"context"
	"testing"

	"github.com/corianderbay/corianderbay/standin"
	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc"
)

// BenchmarkRelay measures the throughput of a UDP relay as the baseline for a balancer.
func BenchmarkRelay(b *testing.B) {
	p, err := standin.NewPacketGenerator(standin.PacketGeneratorConfig{Datagrams: [][]byte{make([]byte, 512)}})
	must.NoError(b, err)
	defer p.Close()
	r, err := standin.NewRelay(standin.RelayConfig{To: p.SinkAddr()})
	must.NoError(b, err)
	ctx, cancel := context.WithCancel(b.Context())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { _ = r.Run(ctx) })
	b.ReportAllocs()
	b.ResetTimer()
	received, took := p.Measure(ctx, r.Addr(), b.N)
	b.ReportMetric(float64(received)/took.Seconds(), "packets/s")
	b.ReportMetric(float64(b.N-received), "lost")
}
