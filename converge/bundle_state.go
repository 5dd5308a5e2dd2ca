package converge

import "time"

// maxRejected bounds the versions that are remembered as invalid.
const maxRejected = 64

// bundleState holds the bundle in force and the one that is pending.
//
// Two valid contents of one number can exist only when approvers signed both.
// A version therefore stays pending for the settle time before it comes into
// force. Of two pending ones the lower hash is taken, and one that is in force
// anywhere goes before both. When a digest reaches every process within half
// of the settle time, no two processes put different contents in force.
type bundleState struct {
	inForce Version // its sequence never goes down
	pending Version // zero, or above inForce
	// settleAt is when pending comes into force; zero when pending is.
	settleAt time.Time
	// pendingSince is when the first version after inForce became pending.
	pendingSince time.Time
	// rejected are versions that failed the checks against inForce.
	rejected map[Version]struct{}
	// reportedConflicts are versions that were reported as conflicting with inForce.
	reportedConflicts map[Version]struct{}
}

func newBundleState() bundleState {
	return bundleState{rejected: make(map[Version]struct{}), reportedConflicts: make(map[Version]struct{})}
}

// wants reports whether v is worth a fetch. locked is true when v is in force elsewhere.
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

// reject remembers that v failed the checks.
func (s *bundleState) reject(v Version) {
	if len(s.rejected) >= maxRejected {
		clear(s.rejected)
	}
	s.rejected[v] = struct{}{}
}

// setPending makes a checked version pending. It reports whether it did.
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

// activate puts v in force. It reports false when v is not above what is in force.
func (s *bundleState) activate(v Version) bool {
	if v.Sequence <= s.inForce.Sequence {
		return false
	}
	s.inForce = v
	clear(s.rejected)
	clear(s.reportedConflicts)
	s.pending = Version{} // a higher one is checked again against what is in force now
	s.settleAt = time.Time{}
	return true
}

// settled returns the pending version when its settle time is over.
func (s *bundleState) settled(now time.Time) (Version, bool) {
	if s.pending.IsZero() || now.Before(s.settleAt) {
		return Version{}, false
	}
	return s.pending, true
}

// isNewConflict reports whether v is a new conflict with the version in force.
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

// restartSettleTime starts the settle time again.
func (s *bundleState) restartSettleTime(now time.Time, cfg Config) {
	if s.pending.IsZero() {
		return
	}
	s.pendingSince = now
	s.settleAt = now.Add(cfg.SettleTime)
}

// postpone keeps a pending version from coming into force before the time.
func (s *bundleState) postpone(until time.Time) {
	if s.pending.IsZero() || s.settleAt.After(until) {
		return
	}
	s.settleAt = until
}
