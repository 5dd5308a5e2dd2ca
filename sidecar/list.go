package sidecar

import (
	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/configservice"
)

// List replaces the platform's instance list. It must not be called concurrently with Accept.
func (s *Sidecar) List(instances []configservice.Instance) {
	s.instances.Store(&instances)
	s.applyInstances()
}

// applyInstances passes to s.flows which other sidecars of the service are missing
// from the latest list, and whether this one is leaving. A list without any sidecar
// is taken as incomplete and ignored.
func (s *Sidecar) applyInstances() {
	view, instances := s.view.Load(), s.instances.Load()
	if view == nil || instances == nil {
		return
	}
	listed := make(map[bundle.UpstreamID]configservice.State)
	for _, i := range *instances {
		if i.Role == configservice.RoleSidecar {
			listed[bundle.UpstreamIDOf(i.Name)] = i.State
		}
	}
	if len(listed) == 0 {
		return
	}
	now := s.cfg.Timer.Now()
	var missing []bundle.UpstreamID
	for _, c := range view.Members(view.Self().Service) {
		if _, ok := listed[c.Upstream]; !ok && c.Upstream != s.self {
			missing = append(missing, c.Upstream)
		}
	}
	s.flows.InstancesListed(now, missing)
	s.flows.SetLeaving(now, listed[s.self] == configservice.StateLeaving)
}
