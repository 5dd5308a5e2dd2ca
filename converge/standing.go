package converge

import "time"

// rejectedLimit bounds the versions that are remembered as invalid.
const rejectedLimit = 64

// standing holds the bundle in force and the one that is pending.
//
// Two valid contents of one number can exist only when approvers signed both.
// A version therefore stays pending for the settle time before it comes into
// force. Of two pending ones the lower hash is taken, and one that is in force
// anywhere goes before both. When a digest reaches every process within half
// of the settle time, no two processes put different contents in force.
type standing struct {
	inForce Version // its sequence never goes down
	pending Version // zero, or above inForce
	// settleAt is when pending comes into force; zero when pending is.
	settleAt time.Time
	// since is when the first version after inForce became pending.
	since time.Time
	// rejected are versions that failed the checks against inForce.
	rejected map[Version]struct{}
	// conflicts are versions that were reported as conflicting with inForce.
	conflicts map[Version]struct{}
}

func newStanding() standing {
	return standing{rejected: make(map[Version]struct{}), conflicts: make(map[Version]struct{})}
}

// wants reports whether v is worth a fetch. locked is true when v is in force elsewhere.
func (s *standing) wants(v Version, locked bool) bool {
	if v.Sequence <= s.inForce.Sequence || v == s.pending {
		return false
	}
	if _, ok := s.rejected[v]; ok {
		return false
	}
	if v.Sequence < s.pending.Sequence {
		return false
	}
	return locked || v.Compare(s.pending) > 0
}

// reject remembers that v failed the checks.
func (s *standing) reject(v Version) {
	if len(s.rejected) >= rejectedLimit {
		clear(s.rejected)
	}
	s.rejected[v] = struct{}{}
}

// hold makes a checked version pending. It reports whether it did.
func (s *standing) hold(now time.Time, v Version, cfg Config) bool {
	if !s.wants(v, false) {
		return false
	}
	if s.pending.IsZero() {
		s.since = now
	}
	s.pending = v
	s.settleAt = now.Add(cfg.SettleTime)
	if limit := s.since.Add(cfg.MaxSettleTime); s.settleAt.After(limit) {
		s.settleAt = limit
	}
	return true
}

// enforce puts v in force. It reports false when v is not above what is in force.
func (s *standing) enforce(v Version) bool {
	if v.Sequence <= s.inForce.Sequence {
		return false
	}
	s.inForce = v
	clear(s.rejected)
	clear(s.conflicts)
	s.pending = Version{} // a higher one is checked again against what is in force now
	s.settleAt = time.Time{}
	return true
}

// due returns the pending version when its settle time is over.
func (s *standing) due(now time.Time) (Version, bool) {
	if s.pending.IsZero() || now.Before(s.settleAt) {
		return Version{}, false
	}
	return s.pending, true
}

// conflict reports whether v is a new conflict with the version in force.
func (s *standing) conflict(v Version) bool {
	if s.inForce.IsZero() || !v.Conflicts(s.inForce) {
		return false
	}
	if _, ok := s.conflicts[v]; ok || len(s.conflicts) >= rejectedLimit {
		return false
	}
	s.conflicts[v] = struct{}{}
	return true
}

// resettle starts the settle time again.
func (s *standing) resettle(now time.Time, cfg Config) {
	if s.pending.IsZero() {
		return
	}
	s.since = now
	s.settleAt = now.Add(cfg.SettleTime)
}

// delay keeps a pending version from coming into force before the time.
func (s *standing) delay(until time.Time) {
	if s.pending.IsZero() || s.settleAt.After(until) {
		return
	}
	s.settleAt = until
}
