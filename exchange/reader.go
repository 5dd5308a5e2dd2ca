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
	// watchPause gathers changes that come together into one watch.
	watchPause = 250 * time.Millisecond
	// idleInterval is how often a process that does not read asks whether it should.
	idleInterval = 100 * time.Millisecond
	// minBackoff and maxBackoff are the pauses after failed calls; they double in between.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 1200 * time.Millisecond
	// maxTakeoverDelay is up to how much longer a process waits before it reads beside others.
	maxTakeoverDelay = time.Second
)

// reader follows the store for as long as this process should.
type reader struct {
	node     *Node
	backoff  time.Duration
	fullRead bool // the next call reads everything
	failing  bool // the last call failed
}

// followStore follows the store until ctx is done.
func (n *Node) followStore(ctx context.Context) {
	r := reader{node: n}
	for ctx.Err() == nil {
		pause := idleInterval
		if n.shouldRead() {
			pause = r.step(ctx)
		}
		_ = n.cfg.Timer.Sleep(ctx, pause) // ends early only when ctx is done, which the loop sees
	}
}

func (n *Node) shouldRead() bool {
	now := n.cfg.Timer.Uptime()
	takeoverDelay := time.Duration(n.cfg.Incarnation % uint64(maxTakeoverDelay))
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.ShouldRead(now, takeoverDelay)
}

// step makes one call and returns the pause after it.
func (r *reader) step(ctx context.Context) time.Duration {
	n := r.node
	u, err := r.call(ctx, n.Knowledge().State)
	if ctx.Err() != nil {
		return 0
	}
	if known := n.Knowledge().State.Era; err == nil && u.State.Era < known {
		err = &OldEraError{Current: known, Got: u.State.Era}
	}
	if err != nil {
		return r.handleFailure(err)
	}
	r.backoff = 0
	n.mu.Lock()
	n.members.StoreAnswered(n.cfg.Timer.Uptime())
	n.mu.Unlock()
	if r.failing {
		r.failing = false
		n.cfg.Log.Emit(event.StoreRegained)
	}
	res := n.apply(u, zap.String("source", "store"))
	r.fullRead = res.Gap
	if res.Routes || res.Upstreams {
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

// extendOutage notes that a call failed while no other process has an answer.
func (n *Node) extendOutage() {
	now := n.cfg.Timer.Uptime()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.members.StoreAge(now) >= membership.FreshStore {
		n.outage = n.outage.extend(now)
	}
}

// handleFailure returns the pause after a failed call.
func (r *reader) handleFailure(err error) time.Duration {
	n := r.node
	if history := (*HistoryError)(nil); errors.As(err, &history) {
		r.fullRead = true
		n.cfg.Log.Emit(event.HistoryLost, zap.Uint32("era", uint32(history.After.Era)), zap.Uint64("revision", history.After.Revision))
		return watchPause
	}
	n.extendOutage()
	if !r.failing {
		r.failing = true
		n.TriggerHeartbeat()
		n.cfg.Log.Emit(event.StoreLost, zap.Error(err))
	}
	r.backoff = min(max(minBackoff, 2*r.backoff), maxBackoff)
	return r.backoff
}
