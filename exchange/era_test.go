package exchange_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/exchange"
	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/shoenig/test/must"
)

// rewind lets the store come back from a copy.
func (m *memory) rewind(era registry.Era, copied registry.Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	copied.State.Era = era
	m.now = copied
}

// present returns what the store holds.
func (m *memory) present() registry.Update {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// change writes the entry of the upstream on a host again.
func (m *memory) change(version uint64, h registry.Host, edit func(*registry.Upstream)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	changes := append([]registry.Change(nil), m.now.Changes...)
	m.now.State.Revision = version
	for i, c := range changes {
		if c.Key != h.String() {
			continue
		}
		u := *c.Upstream
		edit(&u)
		changes[i] = registry.Change{Key: c.Key, Revision: version, Upstream: &u}
	}
	m.now.Changes = changes
}

// standing returns how far a process uses the upstream on a host; known is false when it has none.
func (p *process) standing(h registry.Host) (s registry.Standing, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fleet == nil {
		return 0, false
	}
	m, known := p.fleet.Snapshot.Member(registry.HashService(service), h)
	return m.Standing, known
}

// settled reports whether a process may reset flows on the strength of its list.
func (p *process) settled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fleet != nil && p.fleet.Settled
}

// TestStartAfterStoreRestoreMergesPeerState lets the store come back from a copy in
// which an upstream does not drain yet and another one is missing, and then
// starts a process that has read only that.
func TestStartAfterStoreRestoreMergesPeerState(t *testing.T) {
	for _, lost := range []bool{true, false} {
		t.Run(fmt.Sprintf("routes lost %v", lost), func(t *testing.T) { startAfterRewind(t, lost) })
	}
}

func startAfterRewind(t *testing.T, routesLost bool) {
	store := &memory{}
	drains, young := hostOf(20), hostOf(21)
	store.set(10, drains)
	survivor := start(t, 1, membership.Balancer, store, 0)
	await(t, "the list is read", func() bool { _, known := survivor.standing(drains); return known })
	copied := store.present()
	store.set(14, drains, young)
	store.change(15, drains, func(u *registry.Upstream) { u.Draining, u.Sequence = true, 7 })
	await(t, "the drain is known", func() bool { s, _ := survivor.standing(drains); return s == registry.Leaving })
	await(t, "flows may be reset", survivor.settled)

	if !routesLost {
		copied.Routes = store.present().Routes
	}
	store.rewind(1, copied)
	await(t, "the era is known", func() bool { return survivor.node.Knowledge().State == registry.State{Era: 1, Revision: 10} })
	must.False(t, survivor.settled())
	must.Eq(t, 2, survivor.node.Status().Doubtful)
	started := start(t, 2, membership.Balancer, store, 0)
	await(t, "the one that started knows of the drain", func() bool { s, known := started.standing(drains); return known && s == registry.Leaving })
	must.Eq(t, uint64(14), started.node.Knowledge().Version)
	for _, p := range []*process{survivor, started} {
		await(t, "the upstream that does not write again is given up", func() bool { s, known := p.standing(young); return known && s == registry.Removed })
		s, _ := p.standing(drains)
		must.Eq(t, registry.Leaving, s)
	}
	store.change(11, drains, func(u *registry.Upstream) { u.Draining, u.Sequence, u.Born = false, 1, 9 })
	await(t, "another incarnation takes flows", func() bool { s, _ := started.standing(drains); return s == registry.Available })
}

// forgetful is a store that has no history, and counts calls.
type forgetful struct {
	memory

	count sync.Mutex
	reads int
}

func (f *forgetful) Read(ctx context.Context) (registry.Update, error) {
	f.count.Lock()
	f.reads++
	f.count.Unlock()
	return f.memory.Read(ctx)
}

func (f *forgetful) Watch(_ context.Context, after registry.State) (registry.Update, error) {
	return registry.Update{}, &exchange.HistoryError{After: after}
}

// TestLostHistoryLimitsStoreReads has a store that never knows the history.
func TestLostHistoryLimitsStoreReads(t *testing.T) {
	store := &forgetful{}
	store.set(10, hostOf(20))
	start(t, 1, membership.Balancer, store, 0)
	// A watch and the read after it each wait for a quarter of a second.
	const span, pause = 2 * time.Second, 500 * time.Millisecond
	time.Sleep(span)
	store.count.Lock()
	defer store.count.Unlock()
	must.Positive(t, store.reads)
	must.LessEq(t, 1+int(span/pause), store.reads)
}

// TestUpdateOfOldEraIsDropped reads from a store that falls back to an era that is over.
func TestUpdateOfOldEraIsDropped(t *testing.T) {
	store := &memory{}
	store.set(10, hostOf(20))
	now := store.present()
	old := store.present()
	store.rewind(2, now)
	p := start(t, 1, membership.Balancer, store, 0)
	await(t, "the list is read", func() bool { return p.node.Knowledge().State.Era == 2 })
	old.State = registry.State{Era: 1, Revision: 90}
	old.Changes = nil
	store.mu.Lock()
	store.now = old
	store.mu.Unlock()
	time.Sleep(time.Second)
	must.Eq(t, registry.State{Era: 2, Revision: 10}, p.node.Knowledge().State)
	must.Greater(t, 500*time.Millisecond, p.node.Status().StoreAge, must.Sprint("such an answer is no sign of the store"))
	s, known := p.standing(hostOf(20))
	must.True(t, known)
	must.Eq(t, registry.Available, s)
}

// turnedAway is the store to a process that it serves no more.
type turnedAway struct{}

func (turnedAway) Read(context.Context) (registry.Update, error) {
	return registry.Update{}, downError{}
}

func (turnedAway) Watch(context.Context, registry.State) (registry.Update, error) {
	return registry.Update{}, downError{}
}

// TestBalancerReceivesEraFromSidecar begins an era while the store turns balancers away:
// the sidecar reads it, and the balancer learns of it from there, with what it
// knew itself kept.
func TestBalancerReceivesEraFromSidecar(t *testing.T) {
	store := &memory{}
	drains := hostOf(20)
	store.set(10, drains)
	copied := store.present()
	store.change(15, drains, func(u *registry.Upstream) { u.Draining, u.Sequence = true, 7 })
	sidecar := start(t, 30, membership.Sidecar, store, 0)
	balancer := start(t, 1, membership.Balancer, turnedAway{}, 0)
	await(t, "the balancer knows of the drain", func() bool { s, _ := balancer.standing(drains); return s == registry.Leaving })
	store.rewind(1, copied)
	await(t, "the sidecar knows the era", func() bool { return sidecar.node.Knowledge().State.Era == 1 })
	await(t, "the balancer knows the era", func() bool { return balancer.node.Knowledge().State.Era == 1 })
	s, known := balancer.standing(drains)
	must.True(t, known)
	must.Eq(t, registry.Leaving, s)
}
