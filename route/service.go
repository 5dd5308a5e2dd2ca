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

// Service is the routing data of one service in a View. It is immutable.
type Service struct {
	id           bundle.ServiceID
	name         string
	config       bundle.Service
	rules        *bart.Table[bool] // caller prefix to whether its flows are allowed
	pool         []member          // in bundle order
	equalWeights bool              // whether all members have the same weight
	// fingerprint is a hash of everything that the order of candidates depends on.
	fingerprint uint64
	// moved is a hash of the addresses that belonged to another service before; 0 when there are none.
	moved uint64
}

// member is one upstream of a service's pool. The fields that ranking reads are
// adjacent.
type member struct {
	seeds      [2]uint64 // hashes of the upstream ID
	weight     float64   // above 0
	dataCentre int       // index in the view, or -1 when the bundle does not list it
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

// ID returns the identifier of the service on the wire.
func (s *Service) ID() bundle.ServiceID {
	return s.id
}

// Name returns the name of the service in the bundle.
func (s *Service) Name() string {
	return s.name
}

// Config returns the definition of the service in the bundle.
func (s *Service) Config() bundle.Service {
	return s.config
}

// FlowSettings returns the flow settings of the service.
func (s *Service) FlowSettings() flow.Settings {
	return flow.Settings{
		Idempotent: s.config.Idempotent,
		Repeat:     s.config.EffectiveRepeat(),
		Idle:       s.config.EffectiveIdle(),
	}
}

// Upstreams returns the service's upstreams in bundle order.
func (s *Service) Upstreams() []bundle.Upstream {
	out := make([]bundle.Upstream, len(s.pool))
	for i := range s.pool {
		out[i] = s.pool[i].upstream
	}
	return out
}

// Limit returns the rate limit for new flows of the service.
func (s *Service) Limit() bundle.Limit {
	return s.config.Limit
}

// Members returns the service's upstreams as candidates, in bundle order.
func (s *Service) Members() []forward.Candidate {
	out := make([]forward.Candidate, len(s.pool))
	for i := range s.pool {
		out[i] = s.pool[i].candidate
	}
	return out
}

// rankedMember is a member with its sort key.
type rankedMember struct {
	// sortKey holds the distance of the member's data centre in the highest byte and
	// the highest 56 bits of the score in the others. Lower keys rank first. Scores are
	// positive, so their bits compare as the scores do.
	sortKey uint64
	index   int
}

const (
	distanceShift = 56
	distanceBits  = 64 - distanceShift
	maxDistance   = 1<<distanceBits - 1
)

// sortKeyOf returns the sort key for a score in a data centre at the given distance.
func sortKeyOf(distance int, score float64) uint64 {
	return uint64(min(distance, maxDistance))<<distanceShift | math.Float64bits(score)>>distanceBits
}

// appendRanked appends the members in the order of weighted rendezvous hashing,
// nearest data centres first, until dst holds forward.MaxCandidates.
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

// insertRanked inserts r into the first n entries, which are sorted, and returns
// the new count. When the array is full, the last entry is dropped.
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

// score maps the hash to an exponentially distributed number whose rate is the
// member's weight. When all weights are equal, it skips the logarithm: the
// uniform number gives the same order.
func (s *Service) score(m *member, hash uint64) float64 {
	u := m.uniform(hash)
	if s.equalWeights {
		return 1 - u
	}
	return -math.Log(u) / m.weight
}

// uniform maps the hash to a number between 0 and 1. The hash of a flow is
// uniform already, so folding one product with the member's seeds makes the
// result independent of those of the other members.
func (m *member) uniform(hash uint64) float64 {
	high, low := bits.Mul64(hash^m.seeds[0], m.seeds[1])
	return (float64((high^low)>>11) + 0.5) / (1 << 53)
}
