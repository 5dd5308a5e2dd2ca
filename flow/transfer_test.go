package flow_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/flow"
)

// TestDuplicateUpstreamIsRejected checks that the bundles of these tests are subject
// to the same validation as those that operators publish.
func TestDuplicateUpstreamIsRejected(t *testing.T) {
	p := newPlan(3, 2)
	must.NoError(t, bundle.Check(p.bundle()))
	p = p.with(func(p *plan) { p.set(report, member{upstream: 2, weight: 1}) })
	err := bundle.Check(p.bundle())
	var faults *bundle.FaultsError
	must.True(t, errors.As(err, &faults), must.Sprint(err))
	var duplicate *bundle.DuplicateError
	must.True(t, errors.As(faults.Faults[0], &duplicate), must.Sprint(err))
}

// transferWorld returns a world with four upstreams for fitting, a datagram flow of
// fitting, and the upstream that owns the flow.
func transferWorld(t *testing.T, seed uint64) (*world, *callerFlow, bundle.UpstreamID) {
	t.Helper()
	w := newWorld(seed, 2, 4, 2)
	w.start()
	w.run(200 * time.Second)
	f := w.open(flow.UDP, fitting, nil)
	f.request()
	w.run(time.Second)
	owner := w.oracle.lastRuns[f].host
	must.NotNil(t, owner)
	return w, f, owner.id
}

// transferOthers moves all upstreams of a service except one to the other service
// while a flow stays in use.
func (w *world) transferOthers(t *testing.T, f *callerFlow, from bundle.ServiceID, stays bundle.UpstreamID) {
	t.Helper()
	for _, u := range w.active(from) {
		if u == stays {
			continue
		}
		must.True(t, w.transfer(from, 3-from, u))
		f.request()
		w.run(5 * time.Second)
		f.request()
	}
}

// keepUsing sends requests on a flow for longer than its idle time.
func (w *world) keepUsing(f *callerFlow) {
	for range 4 {
		w.run(12 * time.Second)
		f.request()
	}
	w.run(5 * time.Second)
}

// TestFlowKeepsOwnerWhileOthersMove checks that a flow keeps its owner when all other
// upstreams of the service move to the other service.
func TestFlowKeepsOwnerWhileOthersMove(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		w, f, owner := transferWorld(t, seed)
		w.transferOthers(t, f, fitting, owner)
		w.keepUsing(f)
		must.SliceEmpty(t, w.oracle.violations, must.Sprintf("seed %d", seed))
	}
}

// TestFlowKeepsOwnerWhileAddressAndUpstreamsMove checks that a flow keeps its owner
// when its address moves to the other service between the transfers of upstreams.
func TestFlowKeepsOwnerWhileAddressAndUpstreamsMove(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		w, f, owner := transferWorld(t, seed)
		w.moveAddress(fitting)
		f.request()
		w.run(5 * time.Second)
		w.transferOthers(t, f, fitting, owner)
		w.moveAddress(fitting)
		w.keepUsing(f)
		must.SliceEmpty(t, w.oracle.violations, must.Sprintf("seed %d", seed))
	}
}

// TestFlowKeepsOwnerWhileServicesExchangeUpstreams checks that a flow keeps its owner
// when upstreams move in both directions.
func TestFlowKeepsOwnerWhileServicesExchangeUpstreams(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		w, f, owner := transferWorld(t, seed)
		w.transferOthers(t, f, report, w.active(report)[0])
		w.transferOthers(t, f, fitting, owner)
		w.keepUsing(f)
		must.SliceEmpty(t, w.oracle.violations, must.Sprintf("seed %d", seed))
	}
}
