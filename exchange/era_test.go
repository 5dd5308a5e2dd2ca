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

// restore lets the store come back from a copy.
func (m *memoryStore) restore(era registry.Era, backup registry.Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	backup.State.Era = era
	m.content = backup
}

// current returns what the store holds.
func (m *memoryStore) current() registry.Update {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.content
}

// edit writes the entry of the upstream on a host again.
func (m *memoryStore) edit(version uint64, h registry.Host, apply func(*registry.Upstream)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	changes := append([]registry.Change(nil), m.content.Changes...)
	m.content.State.Revision = version
	for i, c := range changes {
		if c.Key != h.String() {
			continue
		}
		u := *c.Upstream
		apply(&u)
		changes[i] = registry.Change{Key: c.Key, Revision: version, Upstream: &u}
	}
	m.content.Changes = changes
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
		t.Run(fmt.Sprintf("routes lost %v", lost), func(t *testing.T) { startAfterRestore(t, lost) })
	}
}

func startAfterRestore(t *testing.T, routesLost bool) {
	store := &memoryStore{}
	draining, added := hostOf(20), hostOf(21)
	store.set(10, draining)
	survivor := start(t, 1, membership.Balancer, store, 0)
	await(t, "the list is read", func() bool { _, known := survivor.standing(draining); return known })
	backup := store.current()
	store.set(14, draining, added)
	store.edit(15, draining, func(u *registry.Upstream) { u.Draining, u.Sequence = true, 7 })
	await(t, "the drain is known", func() bool { s, _ := survivor.standing(draining); return s == registry.Leaving })
	await(t, "flows may be reset", survivor.settled)

	if !routesLost {
		backup.Routes = store.current().Routes
	}
	store.restore(1, backup)
	await(t, "the era is known", func() bool { return survivor.node.Knowledge().State == registry.State{Era: 1, Revision: 10} })
	must.False(t, survivor.settled())
	must.Eq(t, 2, survivor.node.Status().Doubtful)
	started := start(t, 2, membership.Balancer, store, 0)
	await(t, "the one that started knows of the drain", func() bool { s, known := started.standing(draining); return known && s == registry.Leaving })
	must.Eq(t, uint64(14), started.node.Knowledge().Version)
	for _, p := range []*process{survivor, started} {
		await(t, "the upstream that does not write again is given up", func() bool { s, known := p.standing(added); return known && s == registry.Removed })
		s, _ := p.standing(draining)
		must.Eq(t, registry.Leaving, s)
	}
	store.edit(11, draining, func(u *registry.Upstream) { u.Draining, u.Sequence, u.Born = false, 1, 9 })
	await(t, "another incarnation takes flows", func() bool { s, _ := started.standing(draining); return s == registry.Available })
}

// storeWithoutHistory is a store that has no history, and counts calls.
type storeWithoutHistory struct {
	memoryStore

	count sync.Mutex
	reads int
}

func (f *storeWithoutHistory) Read(ctx context.Context) (registry.Update, error) {
	f.count.Lock()
	f.reads++
	f.count.Unlock()
	return f.memoryStore.Read(ctx)
}

func (f *storeWithoutHistory) Watch(_ context.Context, after registry.State) (registry.Update, error) {
	return registry.Update{}, &exchange.HistoryError{After: after}
}

// TestLostHistoryLimitsStoreReads has a store that never knows the history.
func TestLostHistoryLimitsStoreReads(t *testing.T) {
	store := &storeWithoutHistory{}
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
	store := &memoryStore{}
	store.set(10, hostOf(20))
	now := store.current()
	old := store.current()
	store.restore(2, now)
	p := start(t, 1, membership.Balancer, store, 0)
	await(t, "the list is read", func() bool { return p.node.Knowledge().State.Era == 2 })
	old.State = registry.State{Era: 1, Revision: 90}
	old.Changes = nil
	store.mu.Lock()
	store.content = old
	store.mu.Unlock()
	time.Sleep(time.Second)
	must.Eq(t, registry.State{Era: 2, Revision: 10}, p.node.Knowledge().State)
	must.Greater(t, 500*time.Millisecond, p.node.Status().StoreAge, must.Sprint("such an answer is no sign of the store"))
	s, known := p.standing(hostOf(20))
	must.True(t, known)
	must.Eq(t, registry.Available, s)
}

// refusingStore is the store to a process that it serves no more.
type refusingStore struct{}

func (refusingStore) Read(context.Context) (registry.Update, error) {
	return registry.Update{}, downError{}
}

func (refusingStore) Watch(context.Context, registry.State) (registry.Update, error) {
	return registry.Update{}, downError{}
}

// TestBalancerReceivesEraFromSidecar begins an era while the store turns balancers away:
// the sidecar reads it, and the balancer learns of it from there, with what it
// knew itself kept.
func TestBalancerReceivesEraFromSidecar(t *testing.T) {
	store := &memoryStore{}
	draining := hostOf(20)
	store.set(10, draining)
	backup := store.current()
	store.edit(15, draining, func(u *registry.Upstream) { u.Draining, u.Sequence = true, 7 })
	sidecar := start(t, 30, membership.Sidecar, store, 0)
	balancer := start(t, 1, membership.Balancer, refusingStore{}, 0)
	await(t, "the balancer knows of the drain", func() bool { s, _ := balancer.standing(draining); return s == registry.Leaving })
	store.restore(1, backup)
	await(t, "the sidecar knows the era", func() bool { return sidecar.node.Knowledge().State.Era == 1 })
	await(t, "the balancer knows the era", func() bool { return balancer.node.Knowledge().State.Era == 1 })
	s, known := balancer.standing(draining)
	must.True(t, known)
	must.Eq(t, registry.Leaving, s)
}
