package flow_test

import (
	"cmp"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/forward"
)

// A member is one upstream of a service in a plan.
type member struct {
	upstream bundle.UpstreamID
	leaving  bool
	weight   uint64
}

// An addressOwner is the service that has an address, and the one that had it before.
type addressOwner struct {
	service, former bundle.ServiceID
}

// A plan is a small bundle. It is immutable once published.
type plan struct {
	version   uint64
	settings  map[bundle.ServiceID]flow.Settings
	members   map[bundle.ServiceID][]member
	addresses map[netip.AddrPort]addressOwner
	// centres is the number of data centres. With more than one, upstreams in the
	// caller's data centre rank first.
	centres int
}

// with returns the next version of the plan with the change applied.
func (p *plan) with(change func(*plan)) *plan {
	n := &plan{
		version:   p.version + 1,
		settings:  maps.Clone(p.settings),
		members:   make(map[bundle.ServiceID][]member),
		addresses: maps.Clone(p.addresses),
		centres:   p.centres,
	}
	for s, ms := range p.members {
		n.members[s] = slices.Clone(ms)
	}
	change(n)
	return n
}

// set replaces or adds a member.
func (p *plan) set(s bundle.ServiceID, m member) {
	p.remove(s, m.upstream)
	p.members[s] = append(p.members[s], m)
	slices.SortFunc(p.members[s], func(a, b member) int { return cmp.Compare(a.upstream, b.upstream) })
}

func (p *plan) remove(s bundle.ServiceID, u bundle.UpstreamID) {
	p.members[s] = slices.DeleteFunc(p.members[s], func(m member) bool { return m.upstream == u })
}

func (p *plan) find(s bundle.ServiceID, u bundle.UpstreamID) (member, bool) {
	i := slices.IndexFunc(p.members[s], func(m member) bool { return m.upstream == u })
	if i < 0 {
		return member{}, false
	}
	return p.members[s][i], true
}

// lists reports whether any service lists the upstream.
func (p *plan) lists(u bundle.UpstreamID) bool {
	for s := range p.members {
		if _, ok := p.find(s, u); ok {
			return true
		}
	}
	return false
}

// bundle returns the plan as operators would publish it.
func (p *plan) bundle() *bundle.Bundle {
	const centre = "semarang"
	b := &bundle.Bundle{
		Sequence:    p.version,
		SignOff:     bundle.SignOff{Need: 1, Approvers: []bundle.Approver{{Name: "a", Key: base64.StdEncoding.EncodeToString(make([]byte, ed25519.PublicKeySize))}}},
		DataCentres: []bundle.DataCentre{{Name: centre}},
	}
	for _, id := range []bundle.ServiceID{fitting, report} {
		s := bundle.Service{Name: serviceName(id), Idempotent: p.settings[id].Idempotent, Repeat: testRepeat, Idle: testIdle}
		for _, a := range slices.SortedFunc(maps.Keys(p.addresses), netip.AddrPort.Compare) {
			if p.addresses[a].service == id {
				s.Addresses = append(s.Addresses, bundle.Address{IP: a.Addr(), Port: a.Port(), Protocol: "tcp", Former: serviceName(p.addresses[a].former)})
			}
		}
		place := bundle.Place{DataCentre: centre}
		for _, m := range p.members[id] {
			place.Upstreams = append(place.Upstreams, bundle.Upstream{Name: fmt.Sprint("upstream-", m.upstream), Sidecar: sidecarAddr(m.upstream), Leaving: m.leaving})
		}
		s.Places = []bundle.Place{place}
		b.Services = append(b.Services, s)
	}
	return b
}

// serviceName returns the name of a service in a bundle, or "" for ID 0.
func serviceName(id bundle.ServiceID) string {
	if id == 0 {
		return ""
	}
	return fmt.Sprint("service-", id)
}

// A view implements flow.View for one sidecar of a plan.
type view struct {
	*plan
	self bundle.UpstreamID
}

func (v view) Version() uint64 { return v.version }

func (v view) Self() flow.Self {
	var self flow.Self
	for _, s := range []bundle.ServiceID{fitting, report} {
		for _, m := range v.members[s] {
			if m.upstream != v.self || self.Listed && m.leaving {
				continue
			}
			self = flow.Self{Listed: true, Service: s, Leaving: m.leaving}
		}
	}
	return self
}

func (v view) Settings(s bundle.ServiceID) (flow.Settings, bool) {
	settings, ok := v.settings[s]
	return settings, ok
}

func (v view) Members(s bundle.ServiceID) []forward.Candidate {
	var cs []forward.Candidate
	for _, other := range []bundle.ServiceID{fitting, report} {
		for _, m := range v.members[other] {
			if other == s || v.linked() {
				cs = append(cs, candidate(other, m))
			}
		}
	}
	return cs
}

// linked reports whether an address moved between the services.
func (v view) linked() bool {
	for _, o := range v.addresses {
		if o.former != 0 {
			return true
		}
	}
	return false
}

func (v view) Fingerprint(s bundle.ServiceID) uint64 {
	var b []byte
	for _, m := range v.members[s] {
		b = binary.BigEndian.AppendUint32(b, uint32(m.upstream))
		b = binary.BigEndian.AppendUint64(b, m.weight)
		if m.leaving {
			b = append(b, 1)
		}
	}
	for _, a := range slices.SortedFunc(maps.Keys(v.addresses), netip.AddrPort.Compare) {
		o := v.addresses[a]
		if o.service == s || o.former == s {
			b = a.AppendTo(b)
			b = binary.BigEndian.AppendUint32(b, uint32(o.service))
			b = binary.BigEndian.AppendUint32(b, uint32(o.former))
		}
	}
	return xxhash.Sum64(b)
}

func (v view) Moved(s bundle.ServiceID) uint64 {
	var b []byte
	for _, a := range slices.SortedFunc(maps.Keys(v.addresses), netip.AddrPort.Compare) {
		if o := v.addresses[a]; o.service == s && o.former != 0 {
			b = a.AppendTo(b)
			b = binary.BigEndian.AppendUint32(b, uint32(o.former))
		}
	}
	if len(b) == 0 {
		return 0
	}
	return xxhash.Sum64(b)
}

func (v view) Candidates(dst []forward.Candidate, k flow.Key) (bundle.ServiceID, []forward.Candidate) {
	o, ok := v.addresses[k.Address()]
	if !ok {
		return 0, dst
	}
	dst = v.rank(dst, o.service, k)
	if o.former != 0 {
		n := len(dst)
		dst = v.rank(dst, o.former, k)
		for i := n; i < len(dst); i++ {
			dst[i].Leaving = true
		}
	}
	return o.service, dst
}

// rank appends the members of the service by rendezvous hashing.
func (v view) rank(dst []forward.Candidate, s bundle.ServiceID, k flow.Key) []forward.Candidate {
	var scores [forward.MaxCandidates]uint64
	n := len(dst)
	hash := k.Hash()
	for _, m := range v.members[s] {
		own := score(hash, m) >> 1
		if v.centres > 1 && v.near(m.upstream, k) {
			own |= 1 << 63
		}
		i := len(dst)
		dst = append(dst, forward.Candidate{})
		for ; i > n && scores[i-1] < own; i-- {
			dst[i], scores[i] = dst[i-1], scores[i-1]
		}
		dst[i], scores[i] = candidate(s, m), own
	}
	return dst
}

// near reports whether the upstream runs in the data centre of the key's caller.
func (p *plan) near(u bundle.UpstreamID, k flow.Key) bool {
	return int(u)%p.centres == int(k.Caller().Port())%p.centres
}

func score(hash uint64, m member) uint64 {
	var b [12]byte
	binary.BigEndian.PutUint64(b[:], hash)
	binary.BigEndian.PutUint32(b[8:], uint32(m.upstream))
	return xxhash.Sum64(b[:]) >> 12 * max(1, m.weight)
}

func candidate(s bundle.ServiceID, m member) forward.Candidate {
	return forward.Candidate{Upstream: m.upstream, Service: s, Leaving: m.leaving, Sidecar: sidecarAddr(m.upstream)}
}

// sidecarAddr returns the address of the sidecar of an upstream.
func sidecarAddr(u bundle.UpstreamID) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(u)}), 7000)
}

// The services of the tests: report is idempotent, fitting is not.
const (
	fitting bundle.ServiceID = 1
	report  bundle.ServiceID = 2
)

const (
	testIdle   = 40 * time.Second
	testRepeat = 3 * time.Second
)

// newPlan returns version 1 with n upstreams for fitting and m for report.
func newPlan(n, m int) *plan {
	p := &plan{
		version: 1,
		settings: map[bundle.ServiceID]flow.Settings{
			fitting: {Repeat: testRepeat, Idle: testIdle},
			report:  {Idempotent: true, Repeat: testRepeat, Idle: testIdle},
		},
		members:   map[bundle.ServiceID][]member{},
		addresses: map[netip.AddrPort]addressOwner{serviceAddr(fitting): {service: fitting}, serviceAddr(report): {service: report}},
	}
	for i := range n + m {
		s := fitting
		if i >= n {
			s = report
		}
		p.set(s, member{upstream: bundle.UpstreamID(i + 1), weight: 1})
	}
	return p
}

// serviceAddr returns the initial address of a service.
func serviceAddr(s bundle.ServiceID) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, 100, byte(s)}), 80)
}

// testKey returns the key of caller n's flow to a service.
func testKey(p flow.Protocol, n int, s bundle.ServiceID) flow.Key {
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(n >> 16)}), uint16(n))
	return flow.NewKey(p, caller, serviceAddr(s))
}
