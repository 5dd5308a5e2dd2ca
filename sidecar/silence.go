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
	// maxSilenceSent bounds the balancers that are told in one interval.
	maxSilenceSent = 64
)

// silence tells balancers which sidecars of the service are silent. It is used by the control loop alone.
type silence struct {
	last time.Time // when balancers were last told
	next int       // index of the balancer that is told next
}

// tellSilence tells each balancer of the platform's list that falls to this
// sidecar, so that each hears it from one sidecar of the service.
func (s *Sidecar) tellSilence(now time.Time) {
	if now.Sub(s.silence.last) < silenceInterval {
		return
	}
	s.silence.last = now
	silent := s.flows.SilentUpstreams(now)
	if len(silent) == 0 {
		return
	}
	told := s.balancersToTell(silent)
	for range min(len(told), maxSilenceSent) {
		s.silence.next = (s.silence.next + 1) % len(told)
		s.send(forward.KindSilence, &flow.SilenceReport{Upstreams: silent}, told[s.silence.next])
	}
}

// balancersToTell returns the balancers for which this sidecar has the highest
// hash among those of the service that are not silent.
func (s *Sidecar) balancersToTell(silent []bundle.UpstreamID) []netip.AddrPort {
	view, instances := s.view.Load(), s.listed.Load()
	if view == nil || instances == nil {
		return nil
	}
	quiet := make(map[bundle.UpstreamID]bool)
	for _, u := range silent {
		quiet[u] = true
	}
	members := view.Members(view.Self().Service)
	var told []netip.AddrPort
	for _, i := range *instances {
		if i.Role == configservice.RoleBalancer && i.Forward.IsValid() && speaker(members, quiet, i.Name) == s.self {
			told = append(told, i.Forward)
		}
	}
	return told
}

// speaker returns the member that tells a balancer.
func speaker(members []forward.Candidate, quiet map[bundle.UpstreamID]bool, balancer string) bundle.UpstreamID {
	var best bundle.UpstreamID
	highest := uint64(0)
	for _, c := range members {
		if quiet[c.Upstream] {
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
