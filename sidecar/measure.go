package sidecar

import (
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/report"
	"github.com/corianderbay/corianderbay/route"
)

// Report returns the data for the reports of operators.
func (s *Sidecar) Report() report.Snapshot {
	return s.recorder.Snapshot()
}

// recordDelivery starts the measurement of an opening or datagram that was delivered
// to the upstream.
func (s *Sidecar) recordDelivery(p flow.Packet, now time.Time) {
	if !p.Opening && p.Key.Protocol() != flow.UDP {
		return
	}
	if s.pending.begin(p.Key, now) {
		s.admission.monitor.Started(now)
	}
}

// recordAnswer ends the measurement of an opening or datagram at the upstream's first
// packet after it.
func (s *Sidecar) recordAnswer(p flow.Packet, now time.Time) {
	latency, ok := s.pending.end(p.Key, now)
	if !ok {
		return
	}
	if p.Reset {
		s.admission.monitor.Refused(now)
		s.serviceRecorder().Failed()
		return
	}
	s.admission.monitor.Answered(now, latency)
	s.serviceRecorder().Answered(latency)
}

// recordRefusal counts a refusal, or a broken flow.
func (s *Sidecar) recordRefusal(r flow.Reason) {
	if r == flow.ReasonBroken {
		s.serviceRecorder().Broken()
		return
	}
	s.serviceRecorder().Refused(r.String())
}

// updateLoad counts the openings and datagrams that were not answered in time, and
// publishes the current load.
func (s *Sidecar) updateLoad(now time.Time) {
	e := s.pending.expire(now)
	for range e.openings {
		s.admission.monitor.TimedOut(now, answerDeadline)
		s.serviceRecorder().Failed()
	}
	for range e.datagrams {
		s.admission.monitor.Cancelled(now, answerDeadline)
	}
	v := s.admission.view(now, s.flows.Flows())
	s.flows.SetLoad(uint32(v.ReportedLoad()))
	s.serviceRecorder().SetUpstream(report.Upstream{
		Name:        s.cfg.Name,
		Slots:       v.Slots,
		Busy:        min(v.InUse, v.Slots),
		Queue:       v.Queue + max(0, v.InUse-v.Slots),
		Connections: v.Connections,
		Weight:      v.Weight,
		Leaving:     v.Leaving,
	})
}

// serviceRecorder returns the recorder of the service that the upstream serves.
func (s *Sidecar) serviceRecorder() *report.ServiceRecorder {
	name := ""
	if v := s.view.Load(); v != nil {
		name = v.ServiceName()
	}
	return s.recorder.Service(name)
}

// applyBundle applies the upstream's capacity and objectives as of a bundle.
func (s *Sidecar) applyBundle(view *route.SidecarView) {
	up, ok := view.Upstream()
	if !ok {
		return
	}
	s.admission.update(up, view.Self().Service)
	s.recorder.Service(view.ServiceName()).SetObjectives(objectivesOf(view.Objectives()))
}

func objectivesOf(list []bundle.Objective) []report.Objective {
	out := make([]report.Objective, len(list))
	for i, o := range list {
		out[i] = report.NewObjective(o)
	}
	return out
}
