package converge

import "time"

// maxRejected bounds the recorded versions that were rejected, and those reported as conflicts.
const maxRejected = 64

// bundleState holds the bundle in force and the pending one.
//
// Two valid bundles with the same sequence and different content can exist if
// approvers sign both. A version therefore stays pending for the settle time
// before it comes into force. Of two pending versions with the same sequence the
// one with the lower hash is kept, and a version that is in force at any process
// takes precedence over both. If a digest reaches every process within half of
// the settle time, no two processes put different content in force.
type bundleState struct {
	inForce Version // its sequence never decreases
	pending Version // zero, or above inForce
	// settleAt is when pending comes into force; zero if pending is zero.
	settleAt time.Time
	// pendingSince is when the first version after inForce became pending.
	pendingSince time.Time
	// rejected contains versions that failed verification against inForce.
	rejected map[Version]struct{}
	// reportedConflicts contains versions whose conflict with inForce was reported.
	reportedConflicts map[Version]struct{}
}

func newBundleState() bundleState {
	return bundleState{rejected: make(map[Version]struct{}), reportedConflicts: make(map[Version]struct{})}
}

// wants reports whether v should be fetched. inForceElsewhere is true if v is in
// force at another process.
func (s *bundleState) wants(v Version, inForceElsewhere bool) bool {
	if v.Sequence <= s.inForce.Sequence || v == s.pending {
		return false
	}
	if _, ok := s.rejected[v]; ok {
		return false
	}
	if v.Sequence < s.pending.Sequence {
		return false
	}
	return inForceElsewhere || v.Compare(s.pending) > 0
}

// reject records that v failed verification.
func (s *bundleState) reject(v Version) {
	if len(s.rejected) >= maxRejected {
		clear(s.rejected)
	}
	s.rejected[v] = struct{}{}
}

// setPending makes a verified version pending. It reports false if v is not wanted.
func (s *bundleState) setPending(now time.Time, v Version, cfg Config) bool {
	if !s.wants(v, false) {
		return false
	}
	if s.pending.IsZero() {
		s.pendingSince = now
	}
	s.pending = v
	s.settleAt = now.Add(cfg.SettleTime)
	if limit := s.pendingSince.Add(cfg.MaxSettleTime); s.settleAt.After(limit) {
		s.settleAt = limit
	}
	return true
}

// activate puts v in force. It reports false if the sequence of v is not above the one in force.
func (s *bundleState) activate(v Version) bool {
	if v.Sequence <= s.inForce.Sequence {
		return false
	}
	s.inForce = v
	clear(s.rejected)
	clear(s.reportedConflicts)
	s.pending = Version{} // a higher version must be verified again against the new one in force
	s.settleAt = time.Time{}
	return true
}

// settled returns the pending version if its settle time is over.
func (s *bundleState) settled(now time.Time) (Version, bool) {
	if s.pending.IsZero() || now.Before(s.settleAt) {
		return Version{}, false
	}
	return s.pending, true
}

// isNewConflict reports whether v conflicts with the version in force and records
// it, so that each conflict is reported once.
func (s *bundleState) isNewConflict(v Version) bool {
	if s.inForce.IsZero() || !v.Conflicts(s.inForce) {
		return false
	}
	if _, ok := s.reportedConflicts[v]; ok || len(s.reportedConflicts) >= maxRejected {
		return false
	}
	s.reportedConflicts[v] = struct{}{}
	return true
}

// restartSettleTime restarts the settle time of the pending version.
func (s *bundleState) restartSettleTime(now time.Time, cfg Config) {
	if s.pending.IsZero() {
		return
	}
	s.pendingSince = now
	s.settleAt = now.Add(cfg.SettleTime)
}

// postpone prevents the pending version from coming into force before until.
func (s *bundleState) postpone(until time.Time) {
	if s.pending.IsZero() || s.settleAt.After(until) {
		return
	}
	s.settleAt = until
}
