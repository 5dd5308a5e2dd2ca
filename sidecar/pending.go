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
	mu    sync.Mutex
	since map[flow.Key]time.Time // at most maxPending entries
}

func newPending() *pending {
	p := &pending{}
	for i := range p.shards {
		p.shards[i].since = make(map[flow.Key]time.Time)
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
	if _, ok := sh.since[k]; ok || len(sh.since) >= maxPending {
		return false
	}
	sh.since[k] = now
	return true
}

// end notes an answer and returns how long it took, and false when none was awaited.
func (p *pending) end(k flow.Key, now time.Time) (time.Duration, bool) {
	sh := p.shard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	since, ok := sh.since[k]
	if !ok {
		return 0, false
	}
	delete(sh.since, k)
	return max(0, now.Sub(since)), true
}

// expire forgets what has waited past the deadline and returns how many there were.
func (p *pending) expire(now time.Time) int {
	n := 0
	for i := range p.shards {
		n += p.shards[i].expire(now)
	}
	return n
}

func (sh *pendingShard) expire(now time.Time) int {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	n := 0
	for k, since := range sh.since {
		if now.Sub(since) >= answerDeadline {
			delete(sh.since, k)
			n++
		}
	}
	return n
}
