package steer

import (
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

type sidecarShard struct {
	mu sync.Mutex
	// flows gets entries for unknown flows and openings that were passed on only while it
	// has fewer than maxShardFlows entries. Live flows are bounded by maxShardFlows for
	// all shards together.
	flows map[Key]*localFlow
	// spare holds the entries of removed flows for reuse.
	spare []*localFlow
}

// put sets the entry of a flow.
func (sh *sidecarShard) put(k Key, l localFlow) {
	*sh.entry(k) = l
}

// entry returns the entry of a flow. It adds an empty one if there is none.
func (sh *sidecarShard) entry(k Key) *localFlow {
	e := sh.flows[k]
	if e == nil {
		e = sh.unused()
		sh.flows[k] = e
	}
	return e
}

// unused returns an empty entry that is not in the table.
func (sh *sidecarShard) unused() *localFlow {
	last := len(sh.spare) - 1
	if last < 0 {
		return new(localFlow)
	}
	e := sh.spare[last]
	sh.spare = sh.spare[:last]
	*e = localFlow{}
	return e
}

// OpenFlows returns the flows that the upstream holds and whose last packet came from a
// balancer that match selects.
func (s *Sidecar) OpenFlows(match func(balancer registry.Host) bool) []Key {
	var keys []Key
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		for k, l := range sh.flows {
			if l.stage == stageOpen && match(l.balancer) {
				keys = append(keys, k)
			}
		}
		sh.mu.Unlock()
	}
	return keys
}

// Holds reports whether the upstream holds a flow for certain.
func (s *Sidecar) Holds(k Key) bool {
	sh := s.shard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	l := sh.flows[k]
	return l != nil && l.stage == stageOpen
}

// Expire removes flows that ended or are too old, marks those that the upstream may have
// dropped since they are idle, and allows a silent upstream to be tried again.
func (s *Sidecar) Expire(now time.Duration) {
	s.liveness.allowRetry(now)
	idleTimeout := s.cfg.MaxFlow
	if f := s.fleet.Load(); f != nil && f.Snapshot.Idle() > 0 {
		idleTimeout = min(idleTimeout, f.Snapshot.Idle())
	}
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		for k, l := range sh.flows {
			switch {
			case l.expired(now, s.cfg.MaxFlow):
				s.remove(sh, k, l)
			case l.doubtful(now, idleTimeout):
				s.markUncertain(l)
			}
		}
		sh.mu.Unlock()
	}
}

// complete reports whether the table has every flow that the upstream may hold: all openings
// of these passed this process. Then the table says that the upstream does not hold a flow,
// and a searched packet need not be offered to it.
func (s *Sidecar) complete(now time.Duration) bool {
	return !s.incomplete.Load() && (s.cfg.FirstStart || now-s.cfg.Started >= s.cfg.MaxFlow)
}

// markOpen records that the upstream holds the flow, and sends a notice.
func (s *Sidecar) markOpen(k Key, l *localFlow) {
	if !l.live() {
		s.flows.Add(1)
	}
	l.stage = stageOpen
	s.queueNotice(Notice{Key: k, Balancer: l.balancer, All: true})
}

// markClosed records that the flow has ended.
func (s *Sidecar) markClosed(l *localFlow) {
	s.release(l)
	l.stage = stageClosed
}

// markUncertain records that the upstream may hold the flow. Its next packet is offered.
func (s *Sidecar) markUncertain(l *localFlow) {
	s.release(l)
	l.stage = stageUncertain
}

// release subtracts the flow from the counters.
func (s *Sidecar) release(l *localFlow) {
	if l.live() {
		s.flows.Add(-1)
	}
	if l.requestPending {
		l.requestPending = false
		s.active.Add(-1)
		s.pacing.giveUp(l)
	}
}

// remove removes the entry l of a flow. It may be reused for the next new flow.
func (s *Sidecar) remove(sh *sidecarShard, k Key, l *localFlow) {
	s.release(l)
	delete(sh.flows, k)
	sh.spare = append(sh.spare, l)
}

func (s *Sidecar) shard(k Key) *sidecarShard {
	return &s.shards[(k.Caller.Port^uint16(k.Caller.Host[3]))%shardCount]
}
