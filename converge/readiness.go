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

// readiness tracks what the process has found out since it started or woke.
type readiness struct {
	state    State
	isolated bool
	// synced is true when enough sources were asked.
	synced bool
	// round numbers the questions, so that a digest sent before a pause is no answer.
	round uint64
	// startedAt is when the process began to ask; zero before the first input.
	startedAt time.Time
	// platformAnsweredAt is when the platform last answered this process.
	platformAnsweredAt time.Time
	// reachableAt is when a peer or the platform was last in reach.
	reachableAt time.Time
}

// begin starts to ask.
func (q *readiness) begin(now time.Time) {
	q.synced = false
	q.round++
	q.startedAt = now
	if q.state == StateReady {
		q.state = StateResyncing
	}
}

// platformAnswered reports whether the platform answered since the process began to ask.
func (q *readiness) platformAnswered() bool {
	return !q.platformAnsweredAt.IsZero() && !q.platformAnsweredAt.Before(q.startedAt)
}

// hasEnoughReplies reports whether the answers suffice to act on the best version known.
// others is the number of other processes in the list.
func (q *readiness) hasEnoughReplies(now time.Time, cfg Config, replies, others int, hasList bool) bool {
	if !hasList && replies == 0 {
		return q.platformAnswered() && now.Sub(q.startedAt) >= cfg.ListTimeout
	}
	need := min(cfg.MinReplies, others)
	if need > 0 && replies >= need {
		return true
	}
	if need == 0 && q.platformAnswered() {
		return true
	}
	return now.Sub(q.startedAt) >= cfg.ReplyTimeout && (replies > 0 || q.platformAnswered())
}
