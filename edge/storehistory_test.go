package edge_test

import (
	"math"
	"time"

	"github.com/corianderbay/corianderbay/exchange"
	"github.com/corianderbay/corianderbay/registry"
)

// history is the changes of a store, from which it gives outdated answers. It is guarded by
// the mutex of the store.
type history struct {
	changes []storedChange
	// lags holds how far the answers to a process are behind.
	lags map[registry.Host]time.Duration
	// silentAfter is the revision after which watches return no change.
	silentAfter uint64
	// staleAfter is the revision that reads return at most.
	staleAfter uint64
	// compacted is the revision before which there are no changes to watch.
	compacted uint64
}

// storedChange is a change of one key, or of the routes when the key is empty.
type storedChange struct {
	registry.Change
	at     time.Time
	routes registry.Routes // after the change
}

func newHistory() history {
	return history{lags: make(map[registry.Host]time.Duration), silentAfter: math.MaxUint64, staleAfter: math.MaxUint64}
}

func (h *history) add(c registry.Change, routes registry.Routes) {
	h.changes = append(h.changes, storedChange{Change: c, at: time.Now(), routes: routes})
}

// limit returns the newest revision that answers to a process contain.
func (h *history) limit(host registry.Host) uint64 {
	limit := h.staleAfter
	if lag := h.lags[host]; lag > 0 {
		limit = min(limit, h.revisionAt(time.Now().Add(-lag)))
	}
	return limit
}

// watchLimit is limit for the changes after a state. It returns *exchange.HistoryError when
// they are not known any more.
func (h *history) watchLimit(host registry.Host, after registry.State) (uint64, error) {
	if after.Revision < h.compacted {
		return 0, &exchange.HistoryError{After: after}
	}
	return min(h.limit(host), h.silentAfter), nil
}

func (h *history) revisionAt(at time.Time) uint64 {
	revision := h.changes[0].Revision
	for _, c := range h.changes {
		if !c.at.After(at) {
			revision = c.Revision
		}
	}
	return revision
}

// list returns all routes and upstreams as of a revision.
func (h *history) list(revision uint64) registry.Update {
	u := h.since(registry.State{}, revision)
	u.From, u.Whole = registry.State{}, true
	present := u.Changes[:0]
	for _, c := range u.Changes {
		if c.Upstream != nil {
			present = append(present, c)
		}
	}
	u.Changes = present
	return u
}

// since returns the changes after a state up to a revision, the last one of each key.
func (h *history) since(after registry.State, revision uint64) registry.Update {
	if revision <= after.Revision {
		return registry.Update{From: after, State: after}
	}
	u := registry.Update{From: after, State: registry.State{Revision: revision}}
	last := make(map[string]registry.Change)
	for i := range h.changes {
		c := &h.changes[i]
		if c.Revision > revision {
			break
		}
		u.Routes = &c.routes
		if c.Key != "" && c.Revision > after.Revision {
			last[c.Key] = c.Change
		}
	}
	for _, c := range last {
		u.Changes = append(u.Changes, c)
	}
	sortChanges(u.Changes)
	return u
}
