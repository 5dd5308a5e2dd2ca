package sidecar

import (
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/flow"
)

const (
	pendingShards  = 32
	maxPending     = 4096 // entries per shard
	answerDeadline = 10 * time.Second
)

// pending holds the openings and datagrams that the upstream has not answered.
// Those that exceed maxPending are not measured. It is safe for concurrent use.
type pending struct {
	shards [pendingShards]pendingShard
}

// pendingShard is one shard of pending, selected by the hash of the key.
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

// begin records a delivered packet and returns true. It returns false and records nothing
// if an earlier packet of the flow is still unanswered or the shard is full.
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

// end records an answer and returns its latency, or false when none was pending.
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

// expired holds the numbers of packets that were not answered within answerDeadline.
type expired struct {
	openings  int // of TCP; a healthy upstream answers each
	datagrams int // a UDP flow may be one-way, so these do not indicate a failing upstream
}

// expire removes the entries that have reached answerDeadline and returns their numbers.
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
