package timer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const checkInterval = 100 * time.Millisecond

// PauseDetector notices when the process was paused and has woken. It is safe for concurrent use.
type PauseDetector struct {
	service   *Service
	lastCheck atomic.Int64  // nanoseconds of uptime at the last beat; it never goes back
	epoch     atomic.Uint64 // counts the pauses that were noticed

	mu             sync.Mutex
	resumeHandlers []func(gap time.Duration)
}

// NewPauseDetector returns a heartbeat. Run keeps it going.
func NewPauseDetector(s *Service) *PauseDetector {
	d := &PauseDetector{service: s}
	d.lastCheck.Store(int64(s.Uptime()))
	return d
}

// OnResume subscribes f to the end of each pause. It is called with the length
// of the pause before any caller of Epoch sees the new number, and must not
// call the heartbeat.
func (d *PauseDetector) OnResume(f func(gap time.Duration)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.resumeHandlers = append(d.resumeHandlers, f)
}

// Run beats until ctx is done.
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

// Epoch returns how many pauses the process has woken from. A packet that was
// read under another epoch may have waited through a pause.
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
