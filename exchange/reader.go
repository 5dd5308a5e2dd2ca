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
	// readPause gathers changes that come together into one watch.
	readPause = 250 * time.Millisecond
	// idlePause is how often a process that does not read asks whether it should.
	idlePause = 100 * time.Millisecond
	// firstBackoff and lastBackoff are the pauses after failed calls; they double in between.
	firstBackoff = 150 * time.Millisecond
	lastBackoff  = 1200 * time.Millisecond
	// maxPatience is up to how much longer a process waits before it reads beside others.
	maxPatience = time.Second
)

// reader follows the store for as long as this process should.
type reader struct {
	node    *Node
	backoff time.Duration
	whole   bool // the next call reads everything
	lost    bool // the last call failed
}

// read follows the store until ctx is done.
func (n *Node) read(ctx context.Context) {
	r := reader{node: n}
	for ctx.Err() == nil {
		pause := idlePause
		if n.shouldRead() {
			pause = r.step(ctx)
		}
		_ = n.cfg.Timer.Sleep(ctx, pause) // ends early only when ctx is done, which the loop sees
	}
}

func (n *Node) shouldRead() bool {
	now := n.cfg.Timer.Uptime()
	patience := time.Duration(n.cfg.Incarnation % uint64(maxPatience))
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.ShouldRead(now, patience)
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
		return r.failed(err)
	}
	r.backoff = 0
	n.mu.Lock()
	n.members.StoreAnswered(n.cfg.Timer.Uptime())
	n.mu.Unlock()
	if r.lost {
		r.lost = false
		n.cfg.Log.Emit(event.StoreRegained)
	}
	res := n.apply(u, zap.String("source", "store"))
	r.whole = res.Gap
	if res.Routes || res.Upstreams {
		n.TriggerHeartbeat()
	}
	return readPause
}

func (r *reader) call(ctx context.Context, after registry.State) (registry.Update, error) {
	if r.whole || after.IsZero() {
		begin := r.node.cfg.Timer.Uptime()
		u, err := r.node.cfg.Source.Read(ctx)
		r.node.storeCalls.Observe(r.node.cfg.Timer.Uptime() - begin)
		return u, err
	}
	return r.node.cfg.Source.Watch(ctx, after)
}

// noteTrouble notes that a call failed while no other process has an answer.
func (n *Node) noteTrouble() {
	now := n.cfg.Timer.Uptime()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.members.StoreAge(now) >= membership.FreshStore {
		n.outage = n.outage.with(now)
	}
}

// failed returns the pause after a failed call.
func (r *reader) failed(err error) time.Duration {
	n := r.node
	if history := (*HistoryError)(nil); errors.As(err, &history) {
		r.whole = true
		n.cfg.Log.Emit(event.HistoryLost, zap.Uint32("era", uint32(history.After.Era)), zap.Uint64("revision", history.After.Revision))
		return readPause
	}
	n.noteTrouble()
	if !r.lost {
		r.lost = true
		n.TriggerHeartbeat()
		n.cfg.Log.Emit(event.StoreLost, zap.Error(err))
	}
	r.backoff = min(max(firstBackoff, 2*r.backoff), lastBackoff)
	return r.backoff
}
