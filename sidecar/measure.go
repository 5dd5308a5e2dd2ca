package sidecar

import (
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/report"
	"github.com/corianderbay/corianderbay/route"
)

// Report returns what the reports of operators read.
func (s *Sidecar) Report() report.Snapshot {
	return s.recorder.Snapshot()
}

// delivered measures an opening or datagram that went to the upstream.
func (s *Sidecar) delivered(p flow.Packet, now time.Time) {
	if !p.Opening && p.Key.Protocol() != flow.UDP {
		return
	}
	if s.pending.begin(p.Key, now) {
		s.admission.watch.Started(now)
	}
}

// answered measures the upstream's first packet after an opening or datagram.
func (s *Sidecar) answered(p flow.Packet, now time.Time) {
	took, ok := s.pending.end(p.Key, now)
	if !ok {
		return
	}
	if p.Reset {
		s.admission.watch.Refused(now)
		s.record().Failed()
		return
	}
	s.admission.watch.Answered(now, took)
	s.record().Answered(took)
}

// recordRefusal counts a refusal, and a broken flow as such.
func (s *Sidecar) recordRefusal(r flow.Reason) {
	if r == flow.ReasonBroken {
		s.record().Broken()
		return
	}
	s.record().Refused(r.String())
}

// measure counts what was not answered in time and publishes the present load.
func (s *Sidecar) measure(now time.Time) {
	e := s.pending.expire(now)
	for range e.openings {
		s.admission.watch.TimedOut(now, answerDeadline)
		s.record().Failed()
	}
	for range e.datagrams {
		s.admission.watch.Cancelled(now, answerDeadline)
	}
	v := s.admission.view(now, s.flows.Flows())
	s.flows.Loaded(uint32(v.ReportedLoad()))
	s.record().SetUpstream(report.Upstream{
		Name:        s.cfg.Name,
		Slots:       v.Slots,
		Busy:        min(v.InUse, v.Slots),
		Queue:       v.Queue + max(0, v.InUse-v.Slots),
		Connections: v.Connections,
		Weight:      v.Weight,
		Leaving:     v.Leaving,
	})
}

// record returns the recorder of the service that the upstream serves.
func (s *Sidecar) record() *report.ServiceRecorder {
	name := ""
	if v := s.view.Load(); v != nil {
		name = v.ServiceName()
	}
	return s.recorder.Service(name)
}

// observe takes in what a bundle says of the upstream's load and objectives.
func (s *Sidecar) observe(view *route.SidecarView) {
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
