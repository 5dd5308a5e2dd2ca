package converge

import "time"

// State is the readiness of a process.
type State uint8

// The states of a process.
const (
	// StateStarting is the state of a process that has not determined yet which bundle is in force.
	StateStarting State = iota
	// StateReady is the state of a process that acts on the bundle in force.
	StateReady
	// StateResyncing is the state of a process that was paused or isolated and
	// determines again which bundle is in force. It serves its existing flows and
	// accepts no new ones.
	StateResyncing
)

// String returns the name of the state as it appears in logs and status reports.
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

// readiness tracks the synchronization rounds of a process. A round starts when
// the process starts, resumes after a pause or becomes isolated. It ends when
// hasEnoughReplies is true and no replying peer has a higher bundle in force.
type readiness struct {
	state    State
	isolated bool
	// synced is true when the current round has ended.
	synced bool
	// round is sent as Digest.Request, so that a reply to a digest from before a pause does not count.
	round uint64
	// startedAt is the start of the current round; zero before the first input.
	startedAt time.Time
	// platformAnsweredAt is when the platform last answered this process.
	platformAnsweredAt time.Time
	// reachableAt is when a peer or the platform was last reachable.
	reachableAt time.Time
}

// begin starts a synchronization round.
func (r *readiness) begin(now time.Time) {
	r.synced = false
	r.round++
	r.startedAt = now
	if r.state == StateReady {
		r.state = StateResyncing
	}
}

// platformAnswered reports whether the platform has answered in the current round.
func (r *readiness) platformAnswered() bool {
	return !r.platformAnsweredAt.IsZero() && !r.platformAnsweredAt.Before(r.startedAt)
}

// hasEnoughReplies reports whether the current round can end: with Config.MinReplies
// replies, or one from every peer if there are fewer peers. After
// Config.ReplyTimeout one reply or an answer of the platform suffices. Without
// peers an answer of the platform suffices; without an instance list and replies
// it does only after Config.ListTimeout. others is the number of known peers, and
// hasList whether an instance list was adopted.
func (r *readiness) hasEnoughReplies(now time.Time, cfg Config, replies, others int, hasList bool) bool {
	if !hasList && replies == 0 {
		return r.platformAnswered() && now.Sub(r.startedAt) >= cfg.ListTimeout
	}
	need := min(cfg.MinReplies, others)
	if need > 0 && replies >= need {
		return true
	}
	if need == 0 && r.platformAnswered() {
		return true
	}
	return now.Sub(r.startedAt) >= cfg.ReplyTimeout && (replies > 0 || r.platformAnswered())
}
