package load

import "time"

// DeciderConfig holds the parts of a Decider.
type DeciderConfig struct {
	// Policy decides. Nil selects AcceptOrPass.
	Policy Policy
	// Monitor and Peers are what the sidecar sees and hears; neither is nil.
	Monitor *Monitor
	Peers   *Peers
}

// A Decider decides about the openings that reach one sidecar. It is safe for
// concurrent use.
type Decider struct {
	cfg DeciderConfig // fixed after NewDecider
}

// NewDecider returns a Decider.
func NewDecider(cfg DeciderConfig) *Decider {
	if cfg.Policy == nil {
		cfg.Policy = AcceptOrPass{}
	}
	return &Decider{cfg: cfg}
}

// Decide says what to do with an opening at now.
func (d *Decider) Decide(o Opening, now time.Time) Decision {
	return Decide(d.cfg.Policy, o, d.cfg.Monitor.View(now), d.cfg.Peers)
}

// Tick returns the report to send to the other sidecars when it is time, and
// drops theirs that are too old.
func (d *Decider) Tick(now time.Time) (Report, bool) {
	d.cfg.Peers.Expire(now)
	return d.cfg.Peers.NextReport(d.cfg.Monitor.View(now), now)
}
