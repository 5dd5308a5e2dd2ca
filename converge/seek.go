package converge

import (
	"maps"
	"slices"
	"time"
)

// source is a place that a wanted version can be fetched from.
type source struct {
	peer    string
	version Version
	// locked is true when the version is in force there.
	locked bool
	// near is true for the same data centre.
	near bool
}

// better orders sources: the higher number, then what is in force, then the
// higher version of one number, then the nearer one.
func (s source) better(o source) bool {
	switch {
	case s.version.Sequence != o.version.Sequence:
		return s.version.Sequence > o.version.Sequence
	case s.locked != o.locked:
		return s.locked
	case s.version != o.version:
		return s.version.Compare(o.version) > 0
	}
	return s.near && !o.near
}

// seekBundle starts to fetch the best bundle that a peer or the platform has.
func (m *Member) seekBundle(now time.Time) {
	if m.busy(now, KindBundle, &m.bundle) {
		return
	}
	var best source
	consider := func(s source) {
		if !m.standing.wants(s.version, s.locked) {
			return
		}
		if best.version.IsZero() || s.better(best) {
			best = s
		}
	}
	if now.Sub(m.bundle.platformFailed) >= m.cfg.DigestInterval {
		consider(source{peer: FromPlatform, version: m.offered})
	}
	for _, name := range m.sources(now) {
		d := m.neighbours.links[name].digest
		near := m.near(name)
		consider(source{peer: name, version: d.InForce, locked: true, near: near})
		consider(source{peer: name, version: d.Pending, near: near})
	}
	m.fetch(now, KindBundle, &m.bundle, best)
}

// seekList starts to fetch the highest instance list that a peer has.
func (m *Member) seekList(now time.Time) {
	if m.busy(now, KindList, &m.lists) {
		return
	}
	best := source{version: m.list}
	for _, name := range m.sources(now) {
		s := source{peer: name, version: m.neighbours.links[name].digest.List, near: m.near(name)}
		if s.version.Compare(best.version) > 0 || (s.version == best.version && best.peer != "" && s.better(best)) {
			best = s
		}
	}
	if best.peer != "" {
		m.fetch(now, KindList, &m.lists, best)
	}
}

// busy reports whether a fetch is under way. One that takes too long counts as failed.
func (m *Member) busy(now time.Time, kind Kind, f *fetching) bool {
	if f.version.IsZero() {
		return false
	}
	if now.Before(f.until) {
		return true
	}
	m.fetchFailed(now, FetchFailed{Peer: f.peer, Kind: kind, Version: f.version})
	return false
}

func (m *Member) fetch(now time.Time, kind Kind, f *fetching, s source) {
	if s.version.IsZero() {
		return
	}
	f.peer, f.version, f.until = s.peer, s.version, now.Add(m.cfg.FetchTimeout)
	m.emit(Fetch{Peer: s.peer, Kind: kind, Version: s.version})
}

// sources returns the connected peers from which no fetch failed lately, in random order.
func (m *Member) sources(now time.Time) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(m.neighbours.links)) {
		l := m.neighbours.links[name]
		if l.up && now.Sub(l.failed) >= m.cfg.DigestInterval {
			names = append(names, name)
		}
	}
	m.cfg.Rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

func (m *Member) near(peer string) bool {
	return m.neighbours.peers[peer].DataCentre == m.cfg.DataCentre
}
