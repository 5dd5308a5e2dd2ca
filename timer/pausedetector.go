package timer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const checkInterval = 100 * time.Millisecond

// PauseDetector detects that the process was paused, from the gap between two of
// its checks. It is safe for concurrent use.
type PauseDetector struct {
	service   *Service
	lastCheck atomic.Int64  // uptime at the last check in nanoseconds; never decreases
	epoch     atomic.Uint64 // number of pauses detected

	mu             sync.Mutex
	resumeHandlers []func(gap time.Duration)
}

// NewPauseDetector returns a PauseDetector, which needs Run for its periodic checks.
func NewPauseDetector(s *Service) *PauseDetector {
	d := &PauseDetector{service: s}
	d.lastCheck.Store(int64(s.Uptime()))
	return d
}

// OnResume registers f to be called with the length of each pause once it is
// detected. f runs before any call of Epoch returns the new epoch, and must not
// call the PauseDetector, which holds its lock meanwhile.
func (d *PauseDetector) OnResume(f func(gap time.Duration)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.resumeHandlers = append(d.resumeHandlers, f)
}

// Run checks for pauses periodically until ctx is done.
func (d *PauseDetector) Run(ctx context.Context) {
	sub := d.service.Every(checkInterval)
	defer sub.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sub.C:
			d.service.updateSuspended()
			d.Epoch()
			d.lastCheck.Store(int64(d.service.Uptime()))
		}
	}
}

// Epoch returns the number of pauses detected so far, including one that this
// call detects. If the epoch changed since the previous packet was read, the
// packet just read may have waited through a pause.
func (d *PauseDetector) Epoch() uint64 {
	gap := d.sinceLastCheck()
	if gap < d.service.PauseThreshold() {
		return d.epoch.Load()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	gap = d.sinceLastCheck()
	if gap < d.service.PauseThreshold() {
		return d.epoch.Load()
	}
	for _, f := range d.resumeHandlers {
		f(gap)
	}
	d.lastCheck.Store(int64(d.service.Uptime()))
	return d.epoch.Add(1)
}

func (d *PauseDetector) sinceLastCheck() time.Duration {
	return d.service.Uptime() - time.Duration(d.lastCheck.Load())
}
