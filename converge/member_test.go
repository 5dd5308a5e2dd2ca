package converge_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/converge"
	"github.com/shoenig/test/must"
)

func version(sequence uint64, content byte) converge.Version {
	return converge.Version{Sequence: sequence, Hash: converge.Hash{content}}
}

// TestInForceElsewhereOverridesPending checks that a pending version gives way to
// a version with the same sequence and other content that is in force at a peer.
func TestInForceElsewhereOverridesPending(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	m := converge.New(converge.Config{
		Name: "a", DataCentre: "dc", Rand: rand.New(rand.NewPCG(1, 1)),
		Seeds: []converge.Peer{{Name: "b", DataCentre: "dc"}},
	})
	lower, higher := version(2, 1), version(2, 7)
	m.Update(now, converge.Connected{Peer: "b"})
	m.Update(now, converge.BundleChecked{Version: lower, Valid: true})
	must.Eq(t, lower, m.Status().Pending)

	out := m.Update(now, converge.DigestReceived{Peer: "b", Digest: converge.Digest{InForce: higher}})
	must.SliceContains(t, out, converge.Output(converge.Fetch{Peer: "b", Kind: converge.KindBundle, Version: higher}))
	out = m.Update(now, converge.BundleChecked{Peer: "b", Version: higher, Valid: true})
	must.SliceContains(t, out, converge.Output(converge.Activate{Version: higher}))
	must.Eq(t, higher, m.Status().InForce)

	out = m.Update(now, converge.BundleOffered{Version: lower})
	want := converge.Output(converge.Conflict{Have: higher, Got: lower})
	must.SliceContains(t, out, want)
}
