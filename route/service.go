package route

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/forward"
	"github.com/gaissmai/bart"
)

// Service is what a view knows of one service. It is immutable.
type Service struct {
	id     bundle.ServiceID
	name   string
	config bundle.Service
	rules  *bart.Table[bool]
	pool   []member // in the order of the bundle
}

// member is one upstream of a service's pool.
type member struct {
	upstream   bundle.Upstream
	candidate  forward.Candidate
	dataCentre int     // index in the view, or -1 when the bundle lacks it
	weight     float64 // above 0
}

func newService(b *bundle.Service, centres []string) *Service {
	s := &Service{id: b.ID(), name: b.Name, config: *b, rules: new(bart.Table[bool])}
	for _, r := range b.Rules {
		s.rules.Insert(r.Callers, r.Allow)
	}
	for _, p := range b.Places {
		dc := slices.Index(centres, p.DataCentre)
		for _, u := range p.Upstreams {
			s.pool = append(s.pool, newMember(s.id, u, dc))
		}
	}
	return s
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
	}
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

// Members returns the service's upstreams as candidates, in the order of the bundle.
func (s *Service) Members() []forward.Candidate {
	out := make([]forward.Candidate, len(s.pool))
	for i := range s.pool {
		out[i] = s.pool[i].candidate
	}
	return out
}

// ranked is a member with what it is ordered by.
type ranked struct {
	index int
	near  int     // the rank of its data centre for the caller
	score float64 // exponentially distributed with the member's weight as rate
}

func (r ranked) before(o ranked) bool {
	if r.near != o.near {
		return r.near < o.near
	}
	return r.score < o.score
}

// appendRanked appends the members by weighted rendezvous hashing, near data centres first.
func (s *Service) appendRanked(dst []forward.Candidate, hash uint64, near []int) []forward.Candidate {
	var order [forward.MaxCandidates]ranked
	n := 0
	for i := range s.pool {
		r := ranked{index: i, score: s.pool[i].score(hash)}
		if near != nil && s.pool[i].dataCentre >= 0 {
			r.near = near[s.pool[i].dataCentre]
		}
		n = insertRanked(&order, n, r)
	}
	room := forward.MaxCandidates - len(dst)
	for _, r := range order[:min(n, room)] {
		dst = append(dst, s.pool[r.index].candidate)
	}
	return dst
}

// insertRanked puts r into the first n entries, which are in order, and returns
// how many there are then. The last one falls out when there is no room.
func insertRanked(order *[forward.MaxCandidates]ranked, n int, r ranked) int {
	at := n
	for at > 0 && r.before(order[at-1]) {
		at--
	}
	if at == len(order) {
		return n
	}
	n = min(n+1, len(order))
	copy(order[at+1:n], order[at:n-1])
	order[at] = r
	return n
}

// score draws from hash a number that is exponentially distributed with the member's weight as rate.
func (m *member) score(hash uint64) float64 {
	var b [12]byte
	binary.LittleEndian.PutUint64(b[:], hash)
	binary.LittleEndian.PutUint32(b[8:], uint32(m.candidate.Upstream))
	u := (float64(xxhash.Sum64(b[:])>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / m.weight
}
