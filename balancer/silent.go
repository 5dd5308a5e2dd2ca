package balancer

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/flow"
)

const maxSilent = 4096 // upstreams in a silent

// silent holds the upstreams whose sidecars are silent according to reports of other
// sidecars. It is safe for concurrent use; readers take no lock.
type silent struct {
	mu    sync.Mutex // serializes update
	until atomic.Pointer[map[bundle.UpstreamID]time.Time]
}

// update adds the upstreams of a silence message for flow.SilenceTTL and removes
// expired entries. Upstreams beyond maxSilent are ignored.
func (s *silent) update(m flow.SilenceReport, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make(map[bundle.UpstreamID]time.Time)
	if old := s.until.Load(); old != nil {
		maps.Copy(next, *old)
	}
	maps.DeleteFunc(next, func(_ bundle.UpstreamID, until time.Time) bool { return now.After(until) })
	for _, u := range m.Upstreams {
		if len(next) < maxSilent {
			next[u] = now.Add(flow.SilenceTTL)
		}
	}
	s.until.Store(&next)
}

// includes reports whether the upstream's sidecar is reported to be silent.
func (s *silent) includes(u bundle.UpstreamID, now time.Time) bool {
	until := s.until.Load()
	if until == nil {
		return false
	}
	at, ok := (*until)[u]
	return ok && now.Before(at)
}
