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
	silenceInterval = flow.SilenceTTL / 5
	// maxSilenceReports is the maximum number of silence reports sent in one interval.
	maxSilenceReports = 64
)

// silenceReports holds the state of the reports to balancers on silent sidecars of
// the service. Only the control loop uses it.
type silenceReports struct {
	lastDue    time.Time // when reports were last due
	lastTarget int       // index of the balancer that the last report was sent to
}

// reportSilence sends the silent sidecars of the service to the balancers that are
// assigned to this sidecar, so that each balancer receives the report from one
// sidecar of the service.
func (s *Sidecar) reportSilence(now time.Time) {
	if now.Sub(s.silence.lastDue) < silenceInterval {
		return
	}
	s.silence.lastDue = now
	silent := s.flows.SilentUpstreams(now)
	if len(silent) == 0 {
		return
	}
	targets := s.silenceTargets(silent)
	for range min(len(targets), maxSilenceReports) {
		s.silence.lastTarget = (s.silence.lastTarget + 1) % len(targets)
		s.send(forward.KindSilence, &flow.SilenceReport{Upstreams: silent}, targets[s.silence.lastTarget])
	}
}

// silenceTargets returns the addresses of the listed balancers for which this sidecar
// has the highest hash among those of the service that are not silent.
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

// silenceReporter returns the member that sends silence reports to a balancer.
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
