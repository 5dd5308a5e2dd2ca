package steer

import (
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

// One balancer's routes decide on all openings that its callers send, so that these never see
// an older version after a newer one. A sidecar that has other routes, older or newer, offers
// an opening only to upstreams of the service that the balancer selected. When it has had newer
// routes for long, it refuses what these do not allow.

// decides reports whether the fleet has the routes by which the balancer placed an opening.
func (f *Fleet) decides(h *Header) bool {
	return f.Snapshot.Version()&maxVersion == h.Version
}

// sameRegion reports whether two data centres are in the same region. Without regions, routes
// have no homes, and all data centres count as one.
func (f *Fleet) sameRegion(a, b string) bool {
	x, known := f.Regions[a]
	return a == b || len(f.Regions) == 0 || known && x == f.Regions[b]
}

// openingChooser returns the chooser of upstreams for an opening that is passed on. With other
// routes than the balancer's, the flow stays in the region, which these permit.
func (s *Sidecar) openingChooser(now time.Duration, f *Fleet, h *Header, p *Packet) chooser {
	c := s.chooser(now, f, p)
	if !f.decides(h) {
		c.route, c.regionOf = nil, s.cfg.DataCentre
	}
	return c
}

// superseded reports whether the balancer that placed an opening has had outdated routes for
// longer than MaxOutdated, and the newer ones do not allow the flow here.
func (s *Sidecar) superseded(now time.Duration, h *Header, p *Packet) bool {
	f := s.fleet.Load()
	if f == nil || s.cfg.MaxOutdated == 0 || f.decides(h) || f.Snapshot.Version() < h.Version {
		return false
	}
	if !s.adoptions.superseded(h.Version, now-s.cfg.MaxOutdated) {
		return false
	}
	return !f.allows(p.Destination, s.cfg.Service, s.cfg.DataCentre)
}

// allows reports whether the routes allow flows to an address at the upstreams of a service in
// a data centre.
func (f *Fleet) allows(address registry.Endpoint, service, dataCentre string) bool {
	route := f.Snapshot.Route(address)
	return route != nil && route.Allows(service) && f.permits(route, dataCentre)
}

// adoptions records when versions of the routes were adopted. It is safe for concurrent use.
type adoptions struct {
	mu   sync.Mutex
	list []adoption // in ascending order; at most maxAdoptions
}

// adoption is the adoption of one version.
type adoption struct {
	version uint64
	at      time.Duration
}

// maxAdoptions bounds the versions that are remembered; the oldest are forgotten first.
const maxAdoptions = 64

// record records that a version was adopted, unless it is the last one.
func (a *adoptions) record(version uint64, at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := len(a.list)
	if version == 0 || n > 0 && a.list[n-1].version >= version {
		return
	}
	if n == maxAdoptions {
		a.list = a.list[1:]
	}
	a.list = append(a.list, adoption{version: version, at: at})
}

// superseded reports whether a newer version had been adopted by a time.
func (a *adoptions) superseded(version uint64, at time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, n := range a.list {
		if n.version > version {
			return n.at <= at
		}
	}
	return false
}
