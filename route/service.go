package route

import (
	"encoding/binary"
	"math"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/forward"
	"github.com/gaissmai/bart"
)

// Service is what a view knows of one service. It is immutable.
type Service struct {
	id           bundle.ServiceID
	name         string
	config       bundle.Service
	rules        *bart.Table[bool]
	pool         []member // in the order of the bundle
	equalWeights bool     // whether all members weigh the same
	// fingerprint differs whenever the order of candidates may differ.
	fingerprint uint64
	// moved differs whenever other addresses have come from another service; 0 for none.
	moved uint64
}

// member is one upstream of a service's pool. What ranking reads stands together.
type member struct {
	seeds      [2]uint64 // follow from the identity of the upstream
	weight     float64   // above 0
	dataCentre int       // index in the view, or -1 when the bundle lacks it
	candidate  forward.Candidate
	upstream   bundle.Upstream
}

func newService(b *bundle.Service, dcs []bundle.DataCentre) *Service {
	s := &Service{id: b.ID(), name: b.Name, config: *b, rules: new(bart.Table[bool])}
	for _, r := range b.Rules {
		s.rules.Insert(r.Callers, r.Allow)
	}
	for _, p := range b.Places {
		dcIndex := slices.IndexFunc(dcs, func(d bundle.DataCentre) bool { return d.Name == p.DataCentre })
		for _, u := range p.Upstreams {
			s.pool = append(s.pool, newMember(s.id, u, dcIndex))
		}
	}
	s.equalWeights = haveEqualWeights(s.pool)
	s.fingerprint = fingerprintOf(s, dcs)
	s.moved = movedOf(s)
	return s
}

func haveEqualWeights(pool []member) bool {
	for i := range pool {
		if pool[i].weight != pool[0].weight {
			return false
		}
	}
	return true
}

func newMember(id bundle.ServiceID, u bundle.Upstream, dataCentre int) member {
	return member{
		upstream: u,
		candidate: forward.Candidate{
			Upstream: u.ID(),
			Service:  id,
			Sidecar:  u.Sidecar,
			Leaving:  u.Leaving,
		},
		dataCentre: dataCentre,
		weight:     float64(u.EffectiveWeight()),
		seeds:      [2]uint64{seedOf(u.ID(), 0), seedOf(u.ID(), 1)},
	}
}

func seedOf(id bundle.UpstreamID, n byte) uint64 {
	var b [5]byte
	binary.LittleEndian.PutUint32(b[:], uint32(id))
	b[4] = n
	return xxhash.Sum64(b[:])
}

// ID returns the identity of the service on the wire.
func (s *Service) ID() bundle.ServiceID {
	return s.id
}

// Name returns the name that the bundle gives to the service.
func (s *Service) Name() string {
	return s.name
}

// Config returns the service as the bundle has it.
func (s *Service) Config() bundle.Service {
	return s.config
}

// FlowSettings returns how flows of the service are kept.
func (s *Service) FlowSettings() flow.Settings {
	return flow.Settings{
		Idempotent: s.config.Idempotent,
		Repeat:     s.config.EffectiveRepeat(),
		Idle:       s.config.EffectiveIdle(),
	}
}

// Upstreams returns the service's upstreams, in the order of the bundle.
func (s *Service) Upstreams() []bundle.Upstream {
	out := make([]bundle.Upstream, len(s.pool))
	for i := range s.pool {
		out[i] = s.pool[i].upstream
	}
	return out
}

// Limit returns the bound on the service's new flows.
func (s *Service) Limit() bundle.Limit {
	return s.config.Limit
}

// Members returns the service's upstreams as candidates, in the order of the bundle.
func (s *Service) Members() []forward.Candidate {
	out := make([]forward.Candidate, len(s.pool))
	for i := range s.pool {
		out[i] = s.pool[i].candidate
	}
	return out
}

// rankedMember is a member with its place in the order: the lower one goes first.
type rankedMember struct {
	// sortKey has the rank of the member's data centre in its highest byte and
	// then the score; scores are positive, so their bits order as they do.
	sortKey uint64
	index   int
}

const (
	distanceShift = 56
	distanceBits  = 64 - distanceShift
	maxDistance   = 1<<distanceBits - 1
)

// sortKeyOf returns the place of a score in a data centre that is near-th from the caller.
func sortKeyOf(distance int, score float64) uint64 {
	return uint64(min(distance, maxDistance))<<distanceShift | math.Float64bits(score)>>distanceBits
}

// appendRanked appends the members by weighted rendezvous hashing, near data centres first.
func (s *Service) appendRanked(dst []forward.Candidate, hash uint64, distances []int) []forward.Candidate {
	var order [forward.MaxCandidates]rankedMember
	n := 0
	for i := range s.pool {
		m := &s.pool[i]
		distance := 0
		if distances != nil && m.dataCentre >= 0 {
			distance = distances[m.dataCentre]
		}
		n = insertRanked(&order, n, rankedMember{sortKey: sortKeyOf(distance, s.score(m, hash)), index: i})
	}
	n = min(n, forward.MaxCandidates-len(dst))
	for i := range order[:n] {
		dst = append(dst, s.pool[order[i].index].candidate)
	}
	return dst
}

// insertRanked puts r into the first n entries, which are in order, and returns
// how many there are then. The last one falls out when there is no room.
func insertRanked(order *[forward.MaxCandidates]rankedMember, n int, r rankedMember) int {
	at := n
	if at == len(order) {
		at--
		if r.sortKey >= order[at].sortKey {
			return n
		}
	}
	n = at + 1
	for at > 0 && r.sortKey < order[at-1].sortKey {
		order[at] = order[at-1]
		at--
	}
	order[at] = r
	return n
}

// score draws from hash a number that is exponentially distributed with the
// member's weight as rate. When all weigh the same, the uniform number behind
// it gives the same order.
func (s *Service) score(m *member, hash uint64) float64 {
	u := m.uniform(hash)
	if s.equalWeights {
		return 1 - u
	}
	return -math.Log(u) / m.weight
}

// uniform draws from hash a number between 0 and 1. The hash of a flow is
// uniform already, so folding one product with the seeds makes it independent
// of the numbers of the other members.
func (m *member) uniform(hash uint64) float64 {
	high, low := bits.Mul64(hash^m.seeds[0], m.seeds[1])
	return (float64((high^low)>>11) + 0.5) / (1 << 53)
}
