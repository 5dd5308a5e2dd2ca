package load

import "time"

// FailingConfig sets when an upstream is held to be failing. The zero value
// selects the defaults.
type FailingConfig struct {
	// Run is how many refusals and timeouts in a row begin it, at least 1. Zero selects 3.
	Run int
	// Hold is how long the first time lasts. Zero selects 250 ms. Each further
	// one doubles it after timeouts, which cost callers their answers, and
	// repeats it after refusals, which cost them a hop.
	Hold time.Duration
	// MaxHold is the longest time. Zero selects 30 s.
	MaxHold time.Duration
	// Forget is how long an upstream must serve before the next hold starts
	// from Hold again. Zero selects 60 s.
	Forget time.Duration
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

func (c FailingConfig) withDefaults() FailingConfig {
	if c.Run == 0 {
		c.Run = defaultRun
	}
	if c.Hold == 0 {
		c.Hold = defaultHold
	}
	if c.MaxHold == 0 {
		c.MaxHold = defaultMaxHold
	}
	if c.Forget == 0 {
		c.Forget = defaultForget
	}
	if c.Recovery == (Ramp{}) {
		c.Recovery = Ramp{Length: defaultRecovery, Floor: defaultRecoveryFloor}
	}
	return c
}

// failing counts refusals and timeouts and holds the upstream back after a run of them.
type failing struct {
	cfg      FailingConfig
	run      int // refusals and timeouts since the last answer
	hold     time.Duration
	until    time.Time // end of the present or last hold; zero before the first
	lastGood time.Time
}

func newFailing(cfg FailingConfig) failing {
	return failing{cfg: cfg.withDefaults()}
}

func (f *failing) good(now time.Time) {
	f.run = 0
	f.lastGood = now
}

func (f *failing) refused(now time.Time) {
	f.bad(now, f.cfg.Hold)
}

func (f *failing) timedOut(now time.Time) {
	f.bad(now, f.nextHold(now))
}

func (f *failing) bad(now time.Time, hold time.Duration) {
	f.run++
	if f.run < f.cfg.Run || f.is(now) {
		return
	}
	f.hold = hold
	f.until = now.Add(hold)
	// One more failure after the hold is enough to begin the next.
	f.run = f.cfg.Run - 1
}

func (f *failing) nextHold(now time.Time) time.Duration {
	if f.until.IsZero() || now.Sub(f.until) > f.cfg.Forget {
		return f.cfg.Hold
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
