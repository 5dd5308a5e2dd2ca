package sidecar

import (
	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/configservice"
)

// List takes in the platform's instance list.
func (s *Sidecar) List(instances []configservice.Instance) {
	s.listed.Store(&instances)
	s.compareList()
}

// compareList tells the decisions which other sidecars of the service are
// missing from the last list, and whether this one is to leave. A list without
// any sidecar says nothing.
func (s *Sidecar) compareList() {
	view, instances := s.view.Load(), s.listed.Load()
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
	var gone []bundle.UpstreamID
	for _, c := range view.Members(view.Self().Service) {
		if _, ok := listed[c.Upstream]; !ok && c.Upstream != s.self {
			gone = append(gone, c.Upstream)
		}
	}
	s.flows.InstancesListed(now, gone)
	s.flows.SetLeaving(now, listed[s.self] == configservice.StateLeaving)
}
