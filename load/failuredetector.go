package load

import "time"

// FailureDetectorConfig sets when an upstream is held to be failing. The zero value
// selects the defaults.
type FailureDetectorConfig struct {
	// Threshold is how many refusals and timeouts in a row begin it, at least 1. Zero selects 3.
	Threshold int
	// InitialHold is how long the first time lasts. Zero selects 250 ms. Each further
	// one doubles it after timeouts, which cost callers their answers, and
	// repeats it after refusals, which cost them a hop.
	InitialHold time.Duration
	// MaxHold is the longest time. Zero selects 30 s.
	MaxHold time.Duration
	// ResetAfter is how long an upstream must serve before the next hold starts
	// from Hold again. Zero selects 60 s.
	ResetAfter time.Duration
	// Recovery is the ramp after each hold. Its zero value selects 1 s from 0.25.
	Recovery Ramp
}

const (
	defaultFailureThreshold = 3
	defaultInitialHold      = 250 * time.Millisecond
	defaultMaxHold          = 30 * time.Second
	defaultResetAfter       = time.Minute
	defaultRecoveryDuration = time.Second
	defaultRecoveryFloor    = 0.25
)

func (c FailureDetectorConfig) withDefaults() FailureDetectorConfig {
	if c.Threshold == 0 {
		c.Threshold = defaultFailureThreshold
	}
	if c.InitialHold == 0 {
		c.InitialHold = defaultInitialHold
	}
	if c.MaxHold == 0 {
		c.MaxHold = defaultMaxHold
	}
	if c.ResetAfter == 0 {
		c.ResetAfter = defaultResetAfter
	}
	if c.Recovery == (Ramp{}) {
		c.Recovery = Ramp{Duration: defaultRecoveryDuration, Floor: defaultRecoveryFloor}
	}
	return c
}

// failureDetector counts refusals and timeouts and holds the upstream back after a run of them.
type failureDetector struct {
	cfg         FailureDetectorConfig
	consecutive int // refusals and timeouts since the last answer
	hold        time.Duration
	holdUntil   time.Time // end of the present or last hold; zero before the first
	lastSuccess time.Time
}

func newFailureDetector(cfg FailureDetectorConfig) failureDetector {
	return failureDetector{cfg: cfg.withDefaults()}
}

func (f *failureDetector) recordSuccess(now time.Time) {
	f.consecutive = 0
	f.lastSuccess = now
}

func (f *failureDetector) recordRefusal(now time.Time) {
	f.recordFailure(now, f.cfg.InitialHold)
}

func (f *failureDetector) recordTimeout(now time.Time) {
	f.recordFailure(now, f.nextHold(now))
}

func (f *failureDetector) recordFailure(now time.Time, hold time.Duration) {
	f.consecutive++
	if f.consecutive < f.cfg.Threshold || f.active(now) {
		return
	}
	f.hold = hold
	f.holdUntil = now.Add(hold)
	// One more failure after the hold is enough to begin the next.
	f.consecutive = f.cfg.Threshold - 1
}

func (f *failureDetector) nextHold(now time.Time) time.Duration {
	if f.holdUntil.IsZero() || now.Sub(f.holdUntil) > f.cfg.ResetAfter {
		return f.cfg.InitialHold
	}
	return min(2*f.hold, f.cfg.MaxHold)
}

func (f *failureDetector) active(now time.Time) bool {
	return now.Before(f.holdUntil)
}

func (f *failureDetector) recoveryShare(now time.Time) float64 {
	if f.holdUntil.IsZero() {
		return 1
	}
	return f.cfg.Recovery.Share(now.Sub(f.holdUntil))
}
