package converge

import (
	"maps"
	"slices"
	"time"
)

// source is a peer or the platform with a version that can be fetched from it.
type source struct {
	peer    string
	version Version
	// inForce is true if the version is in force at the peer.
	inForce bool
	// local is true if the peer is in the same data centre.
	local bool
}

// preferredTo reports whether s is preferred to o: the higher sequence, then the
// version in force, then the higher version, then the local source.
func (s source) preferredTo(o source) bool {
	switch {
	case s.version.Sequence != o.version.Sequence:
		return s.version.Sequence > o.version.Sequence
	case s.inForce != o.inForce:
		return s.inForce
	case s.version != o.version:
		return s.version.Compare(o.version) > 0
	}
	return s.local && !o.local
}

// startBundleFetch starts to fetch the best wanted bundle that a peer or the
// platform holds, unless a fetch is pending.
func (m *Member) startBundleFetch(now time.Time) {
	if m.fetchPending(now, KindBundle, &m.bundleFetch) {
		return
	}
	var best source
	consider := func(s source) {
		if !m.bundles.wants(s.version, s.inForce) {
			return
		}
		if best.version.IsZero() || s.preferredTo(best) {
			best = s
		}
	}
	if now.Sub(m.bundleFetch.platformFailedAt) >= m.cfg.DigestInterval {
		consider(source{peer: FromPlatform, version: m.platformVersion})
	}
	for _, name := range m.fetchSources(now) {
		d := m.neighbours.links[name].digest
		local := m.isLocal(name)
		consider(source{peer: name, version: d.InForce, inForce: true, local: local})
		consider(source{peer: name, version: d.Pending, local: local})
	}
	m.startFetch(now, KindBundle, &m.bundleFetch, best)
}

// startListFetch starts to fetch the highest instance list that a peer holds,
// unless a fetch is pending.
func (m *Member) startListFetch(now time.Time) {
	if m.fetchPending(now, KindList, &m.listFetch) {
		return
	}
	best := source{version: m.list}
	for _, name := range m.fetchSources(now) {
		s := source{peer: name, version: m.neighbours.links[name].digest.List, local: m.isLocal(name)}
		if s.version.Compare(best.version) > 0 || (s.version == best.version && best.peer != "" && s.preferredTo(best)) {
			best = s
		}
	}
	if best.peer != "" {
		m.startFetch(now, KindList, &m.listFetch, best)
	}
}

// fetchPending reports whether a fetch is pending. It fails a fetch that has timed out.
func (m *Member) fetchPending(now time.Time, kind Kind, f *fetchState) bool {
	if f.version.IsZero() {
		return false
	}
	if now.Before(f.deadline) {
		return true
	}
	m.fetchFailed(now, FetchFailed{Peer: f.peer, Kind: kind, Version: f.version})
	return false
}

func (m *Member) startFetch(now time.Time, kind Kind, f *fetchState, s source) {
	if s.version.IsZero() {
		return
	}
	f.peer, f.version, f.deadline = s.peer, s.version, now.Add(m.cfg.FetchTimeout)
	m.emit(Fetch{Peer: s.peer, Kind: kind, Version: s.version})
}

// fetchSources returns the connected peers from which no fetch failed within the
// last digest interval, in random order.
func (m *Member) fetchSources(now time.Time) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(m.neighbours.links)) {
		l := m.neighbours.links[name]
		if l.connected && now.Sub(l.fetchFailedAt) >= m.cfg.DigestInterval {
			names = append(names, name)
		}
	}
	m.cfg.Rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

func (m *Member) isLocal(peer string) bool {
	return m.neighbours.peers[peer].DataCentre == m.cfg.DataCentre
}
