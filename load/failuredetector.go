package load

import "time"

// FailureDetectorConfig sets when an upstream counts as failing and for how
// long new flows are kept away from it (the hold). The zero value selects the
// defaults.
type FailureDetectorConfig struct {
	// Threshold is the number of consecutive refusals and timeouts that start a
	// hold, at least 1. Zero selects 3.
	Threshold int
	// InitialHold is the length of the first hold. Zero selects 250 ms. A hold
	// after timeouts, where callers lose answers, is twice as long as the hold
	// before it. A hold after refusals, which cost only one hop, always has the
	// length InitialHold.
	InitialHold time.Duration
	// MaxHold is the maximum length of a hold. Zero selects 30 s.
	MaxHold time.Duration
	// ResetAfter is the time since the last hold after which the next one has
	// the length InitialHold again. Zero selects 60 s.
	ResetAfter time.Duration
	// Recovery is the ramp after each hold. The zero value selects a ramp of 1 s
	// that starts at 0.25.
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

// failureDetector reports an upstream as failing for a limited time after
// consecutive refusals and timeouts.
type failureDetector struct {
	cfg         FailureDetectorConfig
	consecutive int // refusals and timeouts since the last answer; Threshold-1 when a hold starts
	hold        time.Duration
	holdUntil   time.Time // end of the current or last hold; zero before the first
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
	// A single failure after the hold starts the next one.
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

// recoveryShare returns the share of new flows that the recovery ramp allows: 1
// before the first hold, and its initial share during a hold.
func (f *failureDetector) recoveryShare(now time.Time) float64 {
	if f.holdUntil.IsZero() {
		return 1
	}
	return f.cfg.Recovery.Share(now.Sub(f.holdUntil))
}
