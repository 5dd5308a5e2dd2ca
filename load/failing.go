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
	defaultRun           = 3
	defaultHold          = 250 * time.Millisecond
	defaultMaxHold       = 30 * time.Second
	defaultForget        = time.Minute
	defaultRecovery      = time.Second
	defaultRecoveryFloor = 0.25
)

func (c FailureDetectorConfig) withDefaults() FailureDetectorConfig {
	if c.Threshold == 0 {
		c.Threshold = defaultRun
	}
	if c.InitialHold == 0 {
		c.InitialHold = defaultHold
	}
	if c.MaxHold == 0 {
		c.MaxHold = defaultMaxHold
	}
	if c.ResetAfter == 0 {
		c.ResetAfter = defaultForget
	}
	if c.Recovery == (Ramp{}) {
		c.Recovery = Ramp{Duration: defaultRecovery, Floor: defaultRecoveryFloor}
	}
	return c
}

// failing counts refusals and timeouts and holds the upstream back after a run of them.
type failing struct {
	cfg      FailureDetectorConfig
	run      int // refusals and timeouts since the last answer
	hold     time.Duration
	until    time.Time // end of the present or last hold; zero before the first
	lastGood time.Time
}

func newFailing(cfg FailureDetectorConfig) failing {
	return failing{cfg: cfg.withDefaults()}
}

func (f *failing) good(now time.Time) {
	f.run = 0
	f.lastGood = now
}

func (f *failing) refused(now time.Time) {
	f.bad(now, f.cfg.InitialHold)
}

func (f *failing) timedOut(now time.Time) {
	f.bad(now, f.nextHold(now))
}

func (f *failing) bad(now time.Time, hold time.Duration) {
	f.run++
	if f.run < f.cfg.Threshold || f.is(now) {
		return
	}
	f.hold = hold
	f.until = now.Add(hold)
	// One more failure after the hold is enough to begin the next.
	f.run = f.cfg.Threshold - 1
}

func (f *failing) nextHold(now time.Time) time.Duration {
	if f.until.IsZero() || now.Sub(f.until) > f.cfg.ResetAfter {
		return f.cfg.InitialHold
	}
	return min(2*f.hold, f.cfg.MaxHold)
}

func (f *failing) is(now time.Time) bool {
	return now.Before(f.until)
}

func (f *failing) share(now time.Time) float64 {
	if f.until.IsZero() {
		return 1
	}
	return f.cfg.Recovery.Share(now.Sub(f.until))
}
