package exchange

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"go.uber.org/zap"
)

const (
	// watchPause is the pause after a successful call. Changes made within it arrive in one watch.
	watchPause = 250 * time.Millisecond
	// idleInterval is how often a process that does not read the store checks whether it should.
	idleInterval = 100 * time.Millisecond
	// minBackoff and maxBackoff bound the exponential backoff after failed calls.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 1200 * time.Millisecond
	// maxFailures is the number of calls in a row that fail before the list is read in place of
	// its changes, which may be too many for one response.
	maxFailures = 5
	// maxTakeoverDelay bounds the additional time, different for each process, that a
	// process waits before it also reads the store.
	maxTakeoverDelay = time.Second
)

// reader reads and watches the store on behalf of a node.
type reader struct {
	node     *Node
	backoff  time.Duration
	fullRead bool // the next call is a Read instead of a Watch
	failures int  // calls that failed since the last success
}

// followStore reads and watches the store whenever this process should, until ctx is done.
func (n *Node) followStore(ctx context.Context) {
	r := reader{node: n}
	for ctx.Err() == nil {
		pause := idleInterval
		if n.shouldRead() {
			pause = r.step(ctx)
		}
		_ = n.cfg.Timer.Sleep(ctx, pause) // fails only when ctx is done, which the loop checks
	}
}

func (n *Node) shouldRead() bool {
	takeoverDelay := time.Duration(n.cfg.Incarnation % uint64(maxTakeoverDelay))
	now := n.lock()
	defer n.mu.Unlock()
	return n.storeNeeded || n.members.ShouldRead(now, takeoverDelay)
}

// step makes one call to the store and returns the pause before the next one.
func (r *reader) step(ctx context.Context) time.Duration {
	n := r.node
	u, err := r.call(ctx, n.Versions().State)
	if ctx.Err() != nil {
		return 0
	}
	if current := n.Versions().State.Era; err == nil && u.State.Era < current {
		err = &OldEraError{Current: current, Got: u.State.Era}
	}
	if err != nil {
		return r.handleFailure(err)
	}
	r.backoff = 0
	now := n.lock()
	n.members.RecordStoreAnswer(now)
	n.mu.Unlock()
	if r.failures > 0 {
		r.failures = 0
		n.cfg.Log.Emit(event.StoreRegained)
	}
	res := n.apply(u, zap.String("source", "store"))
	r.fullRead = res.Gap
	if !res.Gap {
		now := n.lock()
		n.storeNeeded, n.lastRead = false, now
		n.mu.Unlock()
	}
	if res.Changed() {
		n.TriggerHeartbeat()
	}
	return watchPause
}

func (r *reader) call(ctx context.Context, after registry.State) (registry.Update, error) {
	if r.fullRead || after.IsZero() {
		begin := r.node.cfg.Timer.Uptime()
		u, err := r.node.cfg.Source.Read(ctx)
		r.node.storeCalls.Observe(r.node.cfg.Timer.Uptime() - begin)
		return u, err
	}
	return r.node.cfg.Source.Watch(ctx, after)
}

// extendOutage records a store outage if a call failed and no other process
// has had an answer within membership.MaxStoreAge.
func (n *Node) extendOutage() {
	now := n.lock()
	defer n.mu.Unlock()
	if n.members.StoreAge(now) >= membership.MaxStoreAge {
		n.outage = n.outage.extend(now)
	}
}

// handleFailure logs a failed call and returns the pause before the next one.
func (r *reader) handleFailure(err error) time.Duration {
	n := r.node
	if history := (*HistoryError)(nil); errors.As(err, &history) {
		r.fullRead = true
		n.cfg.Log.Emit(event.HistoryLost, zap.Uint32("era", uint32(history.After.Era)), zap.Uint64("revision", history.After.Revision))
		return watchPause
	}
	n.extendOutage()
	if r.failures++; r.failures == 1 {
		n.TriggerHeartbeat()
		n.cfg.Log.Emit(event.StoreLost, zap.Error(err))
	}
	r.fullRead = r.fullRead || r.failures >= maxFailures
	r.backoff = min(max(minBackoff, 2*r.backoff), maxBackoff)
	return r.backoff
}
