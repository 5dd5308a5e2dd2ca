package sidecar

import (
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/flow"
)

const (
	pendingShards  = 32
	maxPending     = 4096 // of one shard
	answerDeadline = 10 * time.Second
)

// pending holds the openings and datagrams that the upstream has not answered.
// What finds no room is not measured. It is safe for concurrent use.
type pending struct {
	shards [pendingShards]pendingShard
}

// pendingShard is one part of pending.
type pendingShard struct {
	mu      sync.Mutex
	started map[flow.Key]time.Time // at most maxPending entries
}

func newPending() *pending {
	p := &pending{}
	for i := range p.shards {
		p.shards[i].started = make(map[flow.Key]time.Time)
	}
	return p
}

func (p *pending) shard(k flow.Key) *pendingShard {
	return &p.shards[k.Hash()%pendingShards]
}

// begin notes that a packet was delivered and reports whether it is the first since the last answer.
func (p *pending) begin(k flow.Key, now time.Time) bool {
	sh := p.shard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if _, ok := sh.started[k]; ok || len(sh.started) >= maxPending {
		return false
	}
	sh.started[k] = now
	return true
}

// end notes an answer and returns how long it took, and false when none was awaited.
func (p *pending) end(k flow.Key, now time.Time) (time.Duration, bool) {
	sh := p.shard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	since, ok := sh.started[k]
	if !ok {
		return 0, false
	}
	delete(sh.started, k)
	return max(0, now.Sub(since)), true
}

// expired is how many packets were not answered within the deadline.
type expired struct {
	openings  int // of TCP; an upstream that is well answers each
	datagrams int // a flow may be one-way, so these say nothing of the upstream
}

// expire forgets what has waited past the deadline and returns how many there were.
func (p *pending) expire(now time.Time) expired {
	var sum expired
	for i := range p.shards {
		e := p.shards[i].expire(now)
		sum.openings += e.openings
		sum.datagrams += e.datagrams
	}
	return sum
}

func (sh *pendingShard) expire(now time.Time) expired {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var e expired
	for k, since := range sh.started {
		if now.Sub(since) < answerDeadline {
			continue
		}
		delete(sh.started, k)
		if k.Protocol() == flow.TCP {
			e.openings++
		} else {
			e.datagrams++
		}
	}
	return e
}
