package load

import "time"

// GateConfig holds the parts of a Gate.
type GateConfig struct {
	// Policy decides. Nil selects AcceptOrPass.
	Policy Policy
	// Watch and Board are what the sidecar sees and hears; neither is nil.
	Watch *Watch
	Board *Board
}

// A Gate decides about the openings that reach one sidecar. It is safe for
// concurrent use.
type Gate struct {
	cfg GateConfig // fixed after NewGate
}

// NewGate returns a Gate.
func NewGate(cfg GateConfig) *Gate {
	if cfg.Policy == nil {
		cfg.Policy = AcceptOrPass{}
	}
	return &Gate{cfg: cfg}
}

// Decide says what to do with an opening at now.
func (g *Gate) Decide(o Opening, now time.Time) Decision {
	return Decide(g.cfg.Policy, o, g.cfg.Watch.View(now), g.cfg.Board)
}

// Due returns the report to send to the other sidecars when it is time, and
// drops theirs that are too old.
func (g *Gate) Due(now time.Time) (Report, bool) {
	g.cfg.Board.Expire(now)
	return g.cfg.Board.Due(g.cfg.Watch.View(now), now)
}
