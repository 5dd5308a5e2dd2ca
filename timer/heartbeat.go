package timer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const beatInterval = 100 * time.Millisecond

// PauseDetector notices when the process was paused and has woken. It is safe for concurrent use.
type PauseDetector struct {
	service *Service
	last    atomic.Int64  // nanoseconds of uptime at the last beat; it never goes back
	epoch   atomic.Uint64 // counts the pauses that were noticed

	mu     sync.Mutex
	onWake []func(gap time.Duration)
}

// NewPauseDetector returns a heartbeat. Run keeps it going.
func NewPauseDetector(s *Service) *PauseDetector {
	h := &PauseDetector{service: s}
	h.last.Store(int64(s.Uptime()))
	return h
}

// OnResume subscribes f to the end of each pause. It is called with the length
// of the pause before any caller of Epoch sees the new number, and must not
// call the heartbeat.
func (h *PauseDetector) OnResume(f func(gap time.Duration)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onWake = append(h.onWake, f)
}

// Run beats until ctx is done.
func (h *PauseDetector) Run(ctx context.Context) {
	sub := h.service.Every(beatInterval)
	defer sub.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sub.C:
			h.service.noteSuspension()
			h.Epoch()
			h.last.Store(int64(h.service.Uptime()))
		}
	}
}

// Epoch returns how many pauses the process has woken from. A packet that was
// read under another epoch may have waited through a pause.
func (h *PauseDetector) Epoch() uint64 {
	gap := h.sinceBeat()
	if gap < h.service.PauseThreshold() {
		return h.epoch.Load()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	gap = h.sinceBeat()
	if gap < h.service.PauseThreshold() {
		return h.epoch.Load()
	}
	for _, f := range h.onWake {
		f(gap)
	}
	h.last.Store(int64(h.service.Uptime()))
	return h.epoch.Add(1)
}

func (h *PauseDetector) sinceBeat() time.Duration {
	return h.service.Uptime() - time.Duration(h.last.Load())
}
