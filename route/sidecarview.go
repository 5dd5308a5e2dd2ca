package route

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/forward"
)

// SidecarView is the view of one bundle for the sidecar of one upstream. It is
// immutable, safe for concurrent use, and implements flow.View.
type SidecarView struct {
	view     *View
	self     flow.Self
	upstream bundle.Upstream // zero when the bundle does not list it
	service  *Service        // nil when the bundle does not list the upstream
}

// NewSidecarView returns the view for the sidecar of the upstream.
func NewSidecarView(v *View, self bundle.UpstreamID) *SidecarView {
	s := &SidecarView{view: v}
	if up, svc, ok := v.Upstream(self); ok {
		s.self = flow.Self{Listed: true, Service: svc.id, Leaving: up.Leaving}
		s.upstream = up
		s.service = svc
	}
	return s
}

// Version returns the sequence number of the bundle.
func (s *SidecarView) Version() uint64 {
	return s.view.version
}

// Self returns the entry of the sidecar's own upstream.
func (s *SidecarView) Self() flow.Self {
	return s.self
}

// Candidates appends the candidates for the key in order and returns the service
// that its address belongs to. For a key with an unknown address or one that the
// rules deny, it appends nothing and returns 0.
func (s *SidecarView) Candidates(dst []forward.Candidate, k flow.Key) (bundle.ServiceID, []forward.Candidate) {
	m, err := s.view.Classify(k)
	if err != nil {
		return 0, dst
	}
	return m.Service.id, s.view.Candidates(dst, m, k)
}

// Upstream returns the sidecar's own upstream, and false when the bundle does not list it.
func (s *SidecarView) Upstream() (bundle.Upstream, bool) {
	return s.upstream, s.self.Listed
}

// ServiceName returns the name of the upstream's service, or "" when the bundle
// does not list the upstream.
func (s *SidecarView) ServiceName() string {
	if s.service == nil {
		return ""
	}
	return s.service.name
}

// Objectives returns the objectives of the upstream's service. The caller must
// not modify the slice.
func (s *SidecarView) Objectives() []bundle.Objective {
	if s.service == nil {
		return nil
	}
	return s.service.config.Objectives
}

// UpstreamName returns the name of an upstream, or "" when the bundle does not
// list it.
func (s *SidecarView) UpstreamName(id bundle.UpstreamID) string {
	up, _, _ := s.view.Upstream(id)
	return up.Name
}

// Members returns the upstreams of the service, including leaving ones, and those
// of the services that it received an address from or passed one to. It returns
// nil for an unknown service.
func (s *SidecarView) Members(id bundle.ServiceID) []forward.Candidate {
	svc := s.view.Service(id)
	if svc == nil {
		return nil
	}
	members := svc.Members()
	for _, linked := range s.view.linked(svc) {
		members = append(members, linked.Members()...)
	}
	return members
}

// Peers returns all upstreams of the service of the sidecar's upstream, including
// leaving ones and the upstream itself.
func (s *SidecarView) Peers() []forward.Candidate {
	if s.service == nil {
		return nil
	}
	return s.service.Members()
}

// Fingerprint returns a hash that changes whenever the candidate order of the
// service may change, or 0 for an unknown service.
func (s *SidecarView) Fingerprint(id bundle.ServiceID) uint64 {
	svc := s.view.Service(id)
	if svc == nil {
		return 0
	}
	return svc.fingerprint
}

// Moved returns a hash that changes with the set of the service's addresses that
// belonged to another service before. It is 0 when there are none and for an
// unknown service.
func (s *SidecarView) Moved(id bundle.ServiceID) uint64 {
	svc := s.view.Service(id)
	if svc == nil {
		return 0
	}
	return svc.moved
}

// Settings returns the flow settings of the service, and false for an unknown service.
func (s *SidecarView) Settings(id bundle.ServiceID) (flow.Settings, bool) {
	svc := s.view.Service(id)
	if svc == nil {
		return flow.Settings{}, false
	}
	return svc.FlowSettings(), true
}

// fingerprintOf hashes everything that the order of a service's candidates depends on.
func fingerprintOf(s *Service, dcs []bundle.DataCentre) uint64 {
	h := xxhash.New()
	for i := range s.pool {
		m := &s.pool[i]
		writeUint(h, uint64(m.candidate.Upstream))
		writeUint(h, math.Float64bits(m.weight))
		writeUint(h, uint64(m.dataCentre))
		writeString(h, m.candidate.Sidecar.String())
		if m.candidate.Leaving {
			writeString(h, "leaving")
		}
	}
	for _, a := range s.config.Addresses {
		writeAddress(h, a)
	}
	for _, dc := range dcs {
		writeString(h, dc.Name)
		writeString(h, dc.Region)
		for _, p := range dc.Near {
			writeString(h, p)
		}
		for _, p := range dc.Callers {
			writeString(h, p.String())
		}
	}
	return h.Sum64()
}

// movedOf hashes the service's addresses that belonged to another service before.
func movedOf(s *Service) uint64 {
	h, found := xxhash.New(), false
	for _, a := range s.config.Addresses {
		if a.Former != "" {
			writeAddress(h, a)
			found = true
		}
	}
	if !found {
		return 0
	}
	return h.Sum64()
}

func writeAddress(h *xxhash.Digest, a bundle.Address) {
	writeString(h, a.IP.String())
	writeString(h, a.Protocol)
	writeUint(h, uint64(a.Port))
	writeString(h, a.Former)
}

func writeUint(h *xxhash.Digest, v uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], v)
	_, _ = h.Write(b[:])
}

// writeString writes s with a length prefix, so that different lists of strings
// have different encodings.
func writeString(h *xxhash.Digest, s string) {
	writeUint(h, uint64(len(s)))
	_, _ = h.WriteString(s)
}
