package sidecar

import (
	"context"
	"net/netip"
	"time"

	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/forward"
	"github.com/corianderbay/corianderbay/load"
)

const tickInterval = 100 * time.Millisecond

// control runs periodic work until ctx is done: it sends due hints and reports, and
// expires pending requests.
func (s *Sidecar) control(ctx context.Context) {
	sub := s.cfg.Timer.Every(tickInterval)
	defer sub.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sub.C:
			s.tick(s.cfg.Timer.Now())
		}
	}
}

func (s *Sidecar) tick(now time.Time) {
	if at := s.resumeTime.Load(); at != 0 && now.UnixNano()-at > int64(tickInterval) {
		s.resumeTime.Store(0)
		// Each worker discards the backlog of its socket before it handles another datagram.
		s.flows.BacklogDrained()
	}
	due := s.flows.Tick(now)
	s.sendHints(due.Hints)
	if due.Report != nil {
		s.sendReport(due.Report)
		s.sendTo(due.OneSided, forward.KindReport, due.Report)
	}
	s.reportSilence(now)
	s.updateLoad(now)
	if r, ok := s.admission.dueReport(now, s.flows.Flows()); ok {
		s.sendLoad(&r)
	}
}

// sendHints sends the hints, in as few datagrams per address as possible.
func (s *Sidecar) sendHints(hints []flow.Hint) {
	open := make(map[netip.AddrPort]*flow.OwnerHints)
	for _, h := range hints {
		m := open[h.To]
		if m == nil {
			m = &flow.OwnerHints{Owner: s.self}
			open[h.To] = m
		}
		if h.ToBalancer {
			m.Hashes = append(m.Hashes, h.Key.Hash())
		} else {
			m.Flows = append(m.Flows, h.Key)
		}
		if len(m.Hashes)+len(m.Flows) == flow.MaxHints {
			s.send(forward.KindHints, m, h.To)
			delete(open, h.To)
		}
	}
	for to, m := range open {
		s.send(forward.KindHints, m, to)
	}
}

// sendReport sends the report to each other sidecar of the service, and of the services
// that it received an address from or passed one to.
func (s *Sidecar) sendReport(r *flow.PeerReport) {
	view := s.view.Load()
	if view == nil {
		return
	}
	s.sendTo(view.Members(r.Service), forward.KindReport, r)
}

// sendLoad sends the load report to each other sidecar of the service.
func (s *Sidecar) sendLoad(r *load.Report) {
	view := s.view.Load()
	if view == nil {
		return
	}
	s.sendTo(view.Peers(), forward.KindLoad, r)
}

// sendTo sends a message to each of the members except this sidecar.
func (s *Sidecar) sendTo(members []forward.Candidate, kind forward.Kind, m forward.Message) {
	for _, c := range members {
		if c.Upstream != s.self {
			s.send(kind, m, c.Sidecar)
		}
	}
}

// send sends one control datagram and counts its bytes.
func (s *Sidecar) send(kind forward.Kind, m forward.Message, to netip.AddrPort) {
	body, err := forward.EncodeMessage(m)
	if err != nil {
		s.counters.countDrop(dropMalformed)
		return
	}
	b := s.sealer.AppendMessage(nil, kind, body)
	s.counters.control.Add(uint64(len(b)))
	s.forward.Send(b, to)
}

// receiveHints applies hints on the owners of flows that this sidecar searched for.
func (s *Sidecar) receiveHints(body []byte) {
	var m flow.OwnerHints
	if err := forward.DecodeMessage(body, &m); err != nil {
		s.counters.countDrop(dropMalformed)
		return
	}
	now := s.cfg.Timer.Now()
	for _, k := range m.Flows {
		s.flows.OwnerFound(now, k, m.Owner)
	}
}

// receiveReport applies the report of another sidecar.
func (s *Sidecar) receiveReport(body []byte) {
	var r flow.PeerReport
	if err := forward.DecodeMessage(body, &r); err != nil {
		s.counters.countDrop(dropMalformed)
		return
	}
	s.flows.PeerReported(s.cfg.Timer.Now(), r)
}

// receiveLoad applies the load report of another sidecar.
func (s *Sidecar) receiveLoad(body []byte) {
	var r load.Report
	if err := forward.DecodeMessage(body, &r); err != nil {
		s.counters.countDrop(dropMalformed)
		return
	}
	s.admission.addReport(r, len(body), s.cfg.Timer.Now())
}
