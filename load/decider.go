package load

import "time"

// DeciderConfig holds the dependencies of a Decider.
type DeciderConfig struct {
	// Policy is the load-balancing policy. Nil selects AcceptOrPass.
	Policy Policy
	// Monitor measures the sidecar's own upstream and Peers stores the reports
	// of the other sidecars. Neither may be nil.
	Monitor *Monitor
	Peers   *Peers
}

// A Decider decides about the new flows that reach one sidecar. It is safe for
// concurrent use.
type Decider struct {
	cfg DeciderConfig // immutable after NewDecider
}

// NewDecider returns a Decider with the given dependencies.
func NewDecider(cfg DeciderConfig) *Decider {
	if cfg.Policy == nil {
		cfg.Policy = AcceptOrPass{}
	}
	return &Decider{cfg: cfg}
}

// Decide returns the decision about an opening at time now.
func (d *Decider) Decide(o Opening, now time.Time) Decision {
	return Decide(d.cfg.Policy, o, d.cfg.Monitor.View(now), d.cfg.Peers)
}

// Tick drops expired reports of the other sidecars. It returns the report to
// send to them, and false when none is due.
func (d *Decider) Tick(now time.Time) (Report, bool) {
	d.cfg.Peers.Expire(now)
	return d.cfg.Peers.NextReport(d.cfg.Monitor.View(now), now)
}
