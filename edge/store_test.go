package edge_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/exchange"
	"github.com/corianderbay/corianderbay/registry"
)

const (
	watchWait     = time.Second
	watchPoll     = 10 * time.Millisecond
	silentTimeout = 1700 * time.Millisecond // of calls to a store that does not answer
	leaseLag      = 800 * time.Millisecond
	leaseCheck    = 100 * time.Millisecond
)

// entry is the entry of an upstream in the store.
type entry struct {
	upstream registry.Upstream
	revision uint64
	expires  time.Time
}

// storeFault is what a store does instead of answering.
type storeFault int

const (
	storeAnswers storeFault = iota
	storeFails
	storeSilent
)

// writeFault is what a store does with writes while it answers reads.
type writeFault int

const (
	writesAnswered writeFault = iota
	writesUnanswered
	writesLate // done up to maxLateness later, and not answered
)

// store is the store of the deployment in memory. Entries expire after three heartbeats.
type store struct {
	heartbeat time.Duration

	mu       sync.Mutex
	history  history
	writes   writeFault
	rand     *rand.Rand // draws how late writes are
	routes   registry.Routes
	revision uint64
	entries  map[string]entry
	removed  []registry.Change
	fault    storeFault
	keeps    bool                   // entries do not expire while the store is away
	rejects  map[registry.Host]bool // processes that get no answer
	revoked  map[string]bool        // entries that cannot be written
}

func newStore(seed uint64, heartbeat time.Duration) *store {
	return &store{
		heartbeat: heartbeat, entries: make(map[string]entry), history: newHistory(), rand: rand.New(rand.NewPCG(seed, 3)),
		rejects: make(map[registry.Host]bool), revoked: make(map[string]bool),
	}
}

// publish writes new routes as the given version.
func (s *store) publish(version uint64, list []registry.Route) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.routes = registry.Routes{Version: version, List: list, Services: map[string]registry.Service{
		serviceA: {Listens: true}, serviceB: {Listens: true},
	}}
	s.history.add(registry.Change{Revision: s.revision}, s.routes)
}

// write writes the entry of an upstream. It returns false when the store is away or does
// not answer.
func (s *store) write(u registry.Upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.writes {
	case writesLate:
		time.AfterFunc(time.Duration(s.rand.Int64N(int64(maxLateness))), func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.writeLocked(u)
		})
		return false
	case writesUnanswered:
		s.writeLocked(u)
		return false
	case writesAnswered:
	}
	return s.writeLocked(u)
}

func (s *store) writeLocked(u registry.Upstream) bool {
	if s.fault != storeAnswers || s.revoked[u.ID] {
		return false
	}
	e, listed := s.entries[u.ID]
	if !listed || e.upstream.Draining != u.Draining {
		s.revision++
		e.revision = s.revision
		s.history.add(registry.Change{Key: u.ID, Revision: s.revision, Upstream: &u}, s.routes)
	}
	e.upstream, e.expires = u, time.Now().Add(3*s.heartbeat+leaseLag)
	s.entries[u.ID] = e
	return true
}

// remove removes the entry of an upstream.
func (s *store) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(id)
}

func (s *store) removeLocked(id string) {
	if _, listed := s.entries[id]; !listed {
		return
	}
	delete(s.entries, id)
	s.revision++
	c := registry.Change{Key: id, Revision: s.revision}
	s.removed = append(s.removed, c)
	s.history.add(c, s.routes)
}

// revoke removes the entry of an upstream and keeps it from being written.
func (s *store) revoke(id string, revoked bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revoked[id] = revoked
	if revoked {
		s.removeLocked(id)
	}
}

// setFault makes the store fail or answer.
func (s *store) setFault(f storeFault, keeps bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.keeps = f, keeps
	if f == storeAnswers && keeps {
		for id, e := range s.entries {
			e.expires = time.Now().Add(3*s.heartbeat + leaseLag)
			s.entries[id] = e
		}
	}
}

// reject makes the store reject a process.
func (s *store) reject(h registry.Host, rejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejects[h] = rejected
}

// run removes expired entries until ctx is done.
func (s *store) run(ctx context.Context) {
	for sleep(ctx, leaseCheck) {
		s.mu.Lock()
		for id, e := range s.entries {
			if time.Now().After(e.expires) && (s.fault == storeAnswers || !s.keeps) {
				s.removeLocked(id)
			}
		}
		s.mu.Unlock()
	}
}

// awayError reports a store that does not answer.
type awayError struct{}

func (awayError) Error() string { return "store is unavailable" }

// client is the store as one process uses it. It implements exchange.Source.
type client struct {
	store *store
	host  registry.Host
	state *processState
}

// check returns an error, after a delay if the store is silent, unless it answers.
func (c client) check(ctx context.Context) error {
	c.state.gate()
	c.store.mu.Lock()
	fault := c.store.fault
	if c.store.rejects[c.host] || c.state.killed() {
		fault = storeFails
	}
	c.store.mu.Unlock()
	switch fault {
	case storeAnswers:
		return nil
	case storeFails:
		sleep(ctx, time.Millisecond)
	case storeSilent:
		sleep(ctx, silentTimeout)
	}
	return awayError{}
}

func (c client) Read(ctx context.Context) (registry.Update, error) {
	sleep(ctx, 2*time.Millisecond)
	if err := c.check(ctx); err != nil {
		return registry.Update{}, err
	}
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit := s.history.limit(c.host); limit < s.revision {
		return s.history.list(limit), nil
	}
	routes := s.routes
	u := registry.Update{Routes: &routes, State: registry.State{Revision: s.revision}, Whole: true}
	for id, e := range s.entries {
		content := e.upstream
		u.Changes = append(u.Changes, registry.Change{Key: id, Revision: e.revision, Upstream: &content})
	}
	sortChanges(u.Changes)
	return u, nil
}

func sortChanges(list []registry.Change) {
	slices.SortFunc(list, func(a, b registry.Change) int { return int(a.Revision) - int(b.Revision) })
}

func (c client) Watch(ctx context.Context, after registry.State) (registry.Update, error) {
	for range watchWait / watchPoll {
		if err := c.check(ctx); err != nil {
			return registry.Update{}, err
		}
		u, err := c.store.watch(c.host, after)
		if err != nil || u.State != after {
			return u, err
		}
		if !sleep(ctx, watchPoll) {
			return registry.Update{}, ctx.Err()
		}
	}
	return registry.Update{From: after, State: after}, nil
}

// watch returns the changes after a state as one process sees them.
func (s *store) watch(h registry.Host, after registry.State) (registry.Update, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit, err := s.history.watchLimit(h, after)
	if err != nil {
		return registry.Update{}, err
	}
	if limit < s.revision {
		return s.history.since(after, limit), nil
	}
	return s.since(after), nil
}

// since returns the changes after a state. The caller holds s.mu.
func (s *store) since(after registry.State) registry.Update {
	routes := s.routes
	u := registry.Update{Routes: &routes, From: after, State: registry.State{Revision: s.revision}}
	for id, e := range s.entries {
		if e.revision > after.Revision {
			content := e.upstream
			u.Changes = append(u.Changes, registry.Change{Key: id, Revision: e.revision, Upstream: &content})
		}
	}
	for _, c := range s.removed {
		if _, listed := s.entries[c.Key]; c.Revision > after.Revision && !listed {
			u.Changes = append(u.Changes, c)
		}
	}
	sortChanges(u.Changes)
	return u
}

var _ exchange.Source = client{}

// sleep waits for d. It returns false when ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
