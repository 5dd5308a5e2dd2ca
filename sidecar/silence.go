package sidecar

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/configservice"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/forward"
)

const (
	silenceInterval = flow.SilenceLife / 5
	// maxSilenceReports bounds the balancers that are told in one interval.
	maxSilenceReports = 64
)

// silenceReports tells balancers which sidecars of the service are silent. It is used by the control loop alone.
type silenceReports struct {
	last time.Time // when balancers were last told
	next int       // index of the balancer that is told next
}

// reportSilence tells each balancer of the platform's list that falls to this
// sidecar, so that each hears it from one sidecar of the service.
func (s *Sidecar) reportSilence(now time.Time) {
	if now.Sub(s.silence.last) < silenceInterval {
		return
	}
	s.silence.last = now
	silent := s.flows.Silent(now)
	if len(silent) == 0 {
		return
	}
	targets := s.silenceTargets(silent)
	for range min(len(targets), maxSilenceReports) {
		s.silence.next = (s.silence.next + 1) % len(targets)
		s.send(forward.KindSilence, &flow.Silence{Upstreams: silent}, targets[s.silence.next])
	}
}

// silenceTargets returns the balancers for which this sidecar has the highest
// hash among those of the service that are not silent.
func (s *Sidecar) silenceTargets(silent []bundle.UpstreamID) []netip.AddrPort {
	view, instances := s.view.Load(), s.instances.Load()
	if view == nil || instances == nil {
		return nil
	}
	isSilent := make(map[bundle.UpstreamID]bool)
	for _, u := range silent {
		isSilent[u] = true
	}
	members := view.Members(view.Self().Service)
	var targets []netip.AddrPort
	for _, i := range *instances {
		if i.Role == configservice.RoleBalancer && i.Forward.IsValid() && silenceReporter(members, isSilent, i.Name) == s.self {
			targets = append(targets, i.Forward)
		}
	}
	return targets
}

// silenceReporter returns the member that tells a balancer.
func silenceReporter(members []forward.Candidate, isSilent map[bundle.UpstreamID]bool, balancer string) bundle.UpstreamID {
	var best bundle.UpstreamID
	highest := uint64(0)
	for _, c := range members {
		if isSilent[c.Upstream] {
			continue
		}
		h := xxhash.New()
		var b [4]byte
		binary.LittleEndian.PutUint32(b[:], uint32(c.Upstream))
		_, _ = h.Write(b[:])
		_, _ = h.WriteString(balancer)
		if sum := h.Sum64(); sum >= highest {
			highest = sum
			best = c.Upstream
		}
	}
	return best
}
