package sidecar_test

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/forward"
	"github.com/corianderbay/corianderbay/upstream"
	"github.com/shoenig/test/must"
)

// TestSidecarReportsToFormerPeer guards against sending no report to a sidecar that
// still has a bundle in which this upstream is in its service.
func TestSidecarReportsToFormerPeer(t *testing.T) {
	f := newFixture(t, upstream.ModeTunnel)
	peer := listen(t)
	const peerName = "fitting-2"
	peerUpstream := bundle.Upstream{Name: peerName, Sidecar: addressOf(peer)}
	next := bundleWith(f.sidecar.ForwardAddress())
	next.Sequence = 2
	moved := bundle.Service{Name: "report", Idempotent: true, Places: next.Services[0].Places}
	next.Services[0].Places = []bundle.Place{{DataCentre: "semarang", Upstreams: []bundle.Upstream{peerUpstream}}}
	next.Services = append(next.Services, moved)
	f.sidecar.Accept(next)

	body, err := forward.EncodeMessage(&flow.PeerReport{
		Upstream: bundle.UpstreamIDOf(peerName), Service: bundle.ServiceIDOf("fitting"), Incarnation: 1, Version: 1, Highest: 1, Oldest: 1,
	})
	must.NoError(t, err)
	opener, err := forward.NewOpener(forward.OpenerConfig{Key: bytes.Repeat([]byte{7}, forward.KeySize)})
	must.NoError(t, err)
	f.send(f.sealer.AppendMessage(nil, forward.KindReport, body))
	const maxWait = 30 * time.Second // reports are a second apart
	must.NoError(t, peer.SetReadDeadline(time.Now().Add(maxWait)))
	for {
		raw, _ := read(t, peer)
		d, err := opener.Open(raw)
		must.NoError(t, err)
		var r flow.PeerReport
		if d.Kind != forward.KindReport || forward.DecodeMessage(d.Body, &r) != nil || r.Service != bundle.ServiceIDOf("report") {
			continue
		}
		must.True(t, slices.Contains(r.LivePeers, bundle.UpstreamIDOf(peerName)))
		return
	}
}
