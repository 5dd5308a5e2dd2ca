package timer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	checkInterval = 100 * time.Millisecond
	// delayThreshold is the shortest gap between two checks that shows that the process stood still.
	delayThreshold = 250 * time.Millisecond
	// backlogTime is how long after it a process may read what arrived meanwhile.
	backlogTime = 50 * time.Millisecond
)

// PauseDetector detects that the process was paused, from the gap between two of
// its checks. It is safe for concurrent use.
type PauseDetector struct {
	service   *Service
	lastCheck atomic.Int64  // uptime at the last check in nanoseconds; never decreases
	epoch     atomic.Uint64 // number of pauses detected
	lastDelay atomic.Int64  // uptime in nanoseconds at the last check after delayThreshold; 0 if there was none

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
			if d.sinceLastCheck() >= delayThreshold {
				d.lastDelay.Store(int64(d.service.Uptime()))
			}
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
	d.lastDelay.Store(int64(d.service.Uptime()))
	d.lastCheck.Store(int64(d.service.Uptime()))
	return d.epoch.Add(1)
}

// Delayed reports whether a packet that was just read may have waited while the process stood
// still for delayThreshold or longer, which may be too short for a pause.
func (d *PauseDetector) Delayed() bool {
	if d.sinceLastCheck() >= delayThreshold {
		return true
	}
	at := time.Duration(d.lastDelay.Load())
	return at != 0 && d.service.Uptime()-at < backlogTime
}

func (d *PauseDetector) sinceLastCheck() time.Duration {
	return d.service.Uptime() - time.Duration(d.lastCheck.Load())
}
