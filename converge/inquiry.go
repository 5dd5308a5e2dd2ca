package converge

import "time"

// State says whether a process knows enough to act.
type State uint8

// The states of a process.
const (
	// StateStarting is the state of a process that has not yet found out what is in force.
	StateStarting State = iota
	// StateReady is the state of a process that acts on the bundle in force.
	StateReady
	// StateResyncing is the state of a process that was paused or cut off and asks
	// again. It serves the flows that it has and takes no new ones.
	StateResyncing
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case StateStarting:
		return "starting"
	case StateReady:
		return "ready"
	case StateResyncing:
		return "asking"
	}
	return "unknown"
}

// inquiry tracks what the process has found out since it started or woke.
type inquiry struct {
	state    State
	isolated bool
	// informed is true when enough sources were asked.
	informed bool
	// round numbers the questions, so that a digest sent before a pause is no answer.
	round uint64
	// since is when the process began to ask; zero before the first input.
	since time.Time
	// platformAt is when the platform last answered this process.
	platformAt time.Time
	// reachedAt is when a peer or the platform was last in reach.
	reachedAt time.Time
}

// begin starts to ask.
func (q *inquiry) begin(now time.Time) {
	q.informed = false
	q.round++
	q.since = now
	if q.state == StateReady {
		q.state = StateResyncing
	}
}

// platform reports whether the platform answered since the process began to ask.
func (q *inquiry) platform() bool {
	return !q.platformAt.IsZero() && !q.platformAt.Before(q.since)
}

// enough reports whether the answers suffice to act on the best version known.
// others is the number of other processes in the list.
func (q *inquiry) enough(now time.Time, cfg Config, answers, others int, listed bool) bool {
	if !listed && answers == 0 {
		return q.platform() && now.Sub(q.since) >= cfg.ListTimeout
	}
	need := min(cfg.MinReplies, others)
	if need > 0 && answers >= need {
		return true
	}
	if need == 0 && q.platform() {
		return true
	}
	return now.Sub(q.since) >= cfg.ReplyTimeout && (answers > 0 || q.platform())
}
