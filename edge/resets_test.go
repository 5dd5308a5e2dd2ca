package edge_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/corianderbay/corianderbay/steer"
)

// messageRefused is the log message of a process that resets a flow.
const messageRefused = "flow-refused"

// recordReset records a reset that a process sent to a caller on a flow that had opened, and
// whether the rule allows it. The caller holds world.mu and c.mu.
func (c *checker) recordReset(k steer.Key, f *flow, sender *machine) {
	now, allowed := time.Now(), "breaks the rule"
	switch {
	case f.closed:
		allowed = "the caller had ended the flow"
	case f.owner.state != upstreamRuns:
		allowed = "the upstream ended or is silent"
	case f.owner.flows[k] == nil:
		allowed = "the upstream does not hold the flow"
	default:
		for _, m := range []*machine{f.owner.machine, f.taker, sender} {
			if m != nil && !c.inTouch(m, now, false) {
				allowed = "the upstream runs, " + m.name + " was disrupted"
			}
		}
	}
	reason := ""
	for _, h := range f.trace {
		if strings.HasPrefix(h.what, messageRefused) {
			reason = strings.TrimPrefix(h.what, messageRefused)
		}
	}
	c.resets = append(c.resets, fmt.Sprintf("%.3f: flow %v of %s: reset by %s, reason%s: %s", c.since(now), k.Caller, f.owner.id, sender.name, reason, allowed))
}
