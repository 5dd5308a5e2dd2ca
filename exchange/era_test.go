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

// restore replaces the content of the store by a backup and begins an era.
func (m *memoryStore) restore(era registry.Era, backup registry.Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	backup.State.Era = era
	m.content = backup
}

// current returns the content of the store.
func (m *memoryStore) current() registry.Update {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.content
}

// edit applies a change to the entry of the upstream on a host.
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

// status returns the status of the upstream on a host; known is false when the
// process has no entry for it.
func (p *process) status(h registry.Host) (s registry.Status, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fleet == nil {
		return 0, false
	}
	m, known := p.fleet.Snapshot.Member(registry.HashService(service), h)
	return m.Status, known
}

// settled reports whether the list of a process is complete enough to reset flows.
func (p *process) settled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fleet != nil && p.fleet.Settled
}

// TestStartAfterStoreRestoreMergesPeerState restores the store from a backup in which
// one upstream is not draining yet and another one is missing. A process that starts
// then reads only the backup, and must merge the later state from its peer.
func TestStartAfterStoreRestoreMergesPeerState(t *testing.T) {
	for _, lost := range []bool{true, false} {
		t.Run(fmt.Sprintf("routes lost %v", lost), func(t *testing.T) { startAfterRestore(t, lost) })
	}
}

func startAfterRestore(t *testing.T, routesLost bool) {
	store := &memoryStore{}
	draining, added := hostOf(20), hostOf(21)
	store.set(10, draining)
	running := start(t, 1, membership.Balancer, store, 0)
	await(t, "the list is read", func() bool { _, known := running.status(draining); return known })
	backup := store.current()
	store.set(14, draining, added)
	store.edit(15, draining, func(u *registry.Upstream) { u.Draining, u.Sequence = true, 7 })
	await(t, "the drain is received", func() bool { s, _ := running.status(draining); return s == registry.Leaving })
	await(t, "flows may be reset", running.settled)

	if !routesLost {
		backup.Routes = store.current().Routes
	}
	store.restore(1, backup)
	await(t, "the era is received", func() bool { return running.node.Versions().State == registry.State{Era: 1, Revision: 10} })
	must.False(t, running.settled())
	must.Eq(t, 2, running.node.Status().Doubtful)
	started := start(t, 2, membership.Balancer, store, 0)
	await(t, "the started process has received the drain", func() bool { s, known := started.status(draining); return known && s == registry.Leaving })
	must.Eq(t, uint64(14), started.node.Versions().Version)
	for _, p := range []*process{running, started} {
		await(t, "the upstream that does not register again is removed", func() bool { s, known := p.status(added); return known && s == registry.Removed })
		s, _ := p.status(draining)
		must.Eq(t, registry.Leaving, s)
	}
	store.edit(11, draining, func(u *registry.Upstream) { u.Draining, u.Sequence, u.StartedAt = false, 1, 9 })
	await(t, "the next incarnation accepts flows", func() bool { s, _ := started.status(draining); return s == registry.Available })
}

// storeWithoutHistory is a store that keeps no history and counts reads.
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

// TestLostHistoryLimitsStoreReads checks that a store without history, which needs a
// full read after each watch, does not receive reads in a tight loop.
func TestLostHistoryLimitsStoreReads(t *testing.T) {
	store := &storeWithoutHistory{}
	store.set(10, hostOf(20))
	start(t, 1, membership.Balancer, store, 0)
	// A watch and the read after it are each followed by a pause of 250 ms.
	const span, pause = 2 * time.Second, 500 * time.Millisecond
	time.Sleep(span)
	store.count.Lock()
	defer store.count.Unlock()
	must.Positive(t, store.reads)
	must.LessEq(t, 1+int(span/pause), store.reads)
}

// TestUpdateOfOldEraIsDropped reads from a store that returns an earlier era after a
// later one, as a lagging replica does.
func TestUpdateOfOldEraIsDropped(t *testing.T) {
	store := &memoryStore{}
	store.set(10, hostOf(20))
	now := store.current()
	old := store.current()
	store.restore(2, now)
	p := start(t, 1, membership.Balancer, store, 0)
	await(t, "the list is read", func() bool { return p.node.Versions().State.Era == 2 })
	old.State = registry.State{Era: 1, Revision: 90}
	old.Changes = nil
	store.mu.Lock()
	store.content = old
	store.mu.Unlock()
	time.Sleep(time.Second)
	must.Eq(t, registry.State{Era: 2, Revision: 10}, p.node.Versions().State)
	must.Greater(t, 500*time.Millisecond, p.node.Status().StoreAge, must.Sprint("an update of an old era must not count as an answer of the store"))
	s, known := p.status(hostOf(20))
	must.True(t, known)
	must.Eq(t, registry.Available, s)
}

// refusingStore is a store that fails every call.
type refusingStore struct{}

func (refusingStore) Read(context.Context) (registry.Update, error) {
	return registry.Update{}, downError{}
}

func (refusingStore) Watch(context.Context, registry.State) (registry.Update, error) {
	return registry.Update{}, downError{}
}

// TestBalancerReceivesEraFromSidecar begins an era while the store refuses balancers.
// The sidecar reads the store, and the balancer receives the era from the sidecar and
// keeps its own later state.
func TestBalancerReceivesEraFromSidecar(t *testing.T) {
	store := &memoryStore{}
	draining := hostOf(20)
	store.set(10, draining)
	backup := store.current()
	store.edit(15, draining, func(u *registry.Upstream) { u.Draining, u.Sequence = true, 7 })
	sidecar := start(t, 30, membership.Sidecar, store, 0)
	balancer := start(t, 1, membership.Balancer, refusingStore{}, 0)
	await(t, "the balancer has received the drain", func() bool { s, _ := balancer.status(draining); return s == registry.Leaving })
	store.restore(1, backup)
	await(t, "the sidecar has read the era", func() bool { return sidecar.node.Versions().State.Era == 1 })
	await(t, "the balancer has received the era", func() bool { return balancer.node.Versions().State.Era == 1 })
	s, known := balancer.status(draining)
	must.True(t, known)
	must.Eq(t, registry.Leaving, s)
}
