package capacity_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/capacity"
	"github.com/corianderbay/corianderbay/flow"
)

// approvers returns a sign-off policy with one approver.
func approvers() bundle.SignOff {
	return bundle.SignOff{Need: 1, Approvers: []bundle.Approver{{Name: "a", Key: bundle.PublicKey(approverKey())}}}
}

func newPath(t testing.TB, size capacity.Size) *capacity.DataPath {
	t.Helper()
	p, err := capacity.NewDataPath(size.Bundle(1, approvers()))
	must.NoError(t, err)
	return p
}

func TestSizeBundleIsValid(t *testing.T) {
	for _, upstreams := range serviceSizes() {
		must.NoError(t, bundle.Check(capacity.Size{Services: 10, Upstreams: upstreams}.Bundle(1, approvers())))
	}
}

// TestDataPathDelivers checks that the packets that the benchmarks measure are
// delivered.
func TestDataPathDelivers(t *testing.T) {
	p := newPath(t, capacity.Size{Services: 3, Upstreams: 4})
	for _, i := range p.Callers(100) {
		opening, err := p.Opening(i)
		must.NoError(t, err)
		data, err := p.Data(i)
		must.NoError(t, err)
		must.NoError(t, p.OpenForwarded(i, opening, data))
		sealed, err := p.Forward(data)
		must.NoError(t, err)
		action, err := p.Deliver(sealed)
		must.NoError(t, err)
		must.Eq(t, flow.Action(flow.Deliver{}), action)
	}
	must.Eq(t, 100, p.Sidecar().Flows())
}

func TestOpenFlowsOwnsEveryFlow(t *testing.T) {
	p := newPath(t, capacity.Size{Services: 2, Upstreams: 7})
	callers := p.Callers(500)
	p.OpenFlows(callers)
	must.Eq(t, 500, p.Sidecar().Flows())
	must.Eq(t, flow.Action(flow.Deliver{}), p.DeliverRelayed(callers[3], 1))
	must.SliceNotEmpty(t, p.Advance(flow.ReportInterval).Hints)
}
