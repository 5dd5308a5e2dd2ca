package edge

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/steer"
	"go.uber.org/zap"
)

const (
	// connectTimeout bounds a probe of the upstream, which runs on the same instance.
	connectTimeout = 200 * time.Millisecond
	// stopConnectTimeout bounds the last probe of a sidecar that stops. A connection is
	// refused at once when no process listens.
	stopConnectTimeout = 50 * time.Millisecond
	// fastProbeWindow is the time for which an upstream that ended is probed on each
	// tick. After that it is probed on every slowProbeTicks-th tick.
	fastProbeWindow = 2 * time.Second
	slowProbeTicks  = 10
)

// scheduleProbe requests a probe of the upstream if a reaction of the upstream is
// overdue, or if the upstream was down at the last probe.
func (s *Sidecar) scheduleProbe(now time.Duration) {
	if !s.steering.UpstreamDown() {
		s.downSince = 0
		if s.steering.ShouldProbe(now) {
			s.requestProbe()
		}
		return
	}
	if s.downSince == 0 {
		s.downSince = now
	}
	s.downTicks++
	if now-s.downSince < fastProbeWindow || s.downTicks%slowProbeTicks == 0 {
		s.requestProbe()
	}
}

func (s *Sidecar) requestProbe() {
	select {
	case s.probes <- struct{}{}:
	default:
	}
}

// probeUpstream checks on request, until ctx is done, whether the upstream runs by
// connecting to it. The kernel refuses connections to a port on which no process listens.
func (s *Sidecar) probeUpstream(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.probes:
		}
		conn, err := s.cfg.Network.Dial(ctx, s.upstream, connectTimeout)
		switch {
		case err == nil:
			conn.Close()
			s.steering.Connected()
		case errors.Is(err, syscall.ECONNREFUSED):
			s.upstreamEnded()
		}
	}
}

// probeAtStop checks whether the upstream has ended, which the last heartbeat reports.
func (s *Sidecar) probeAtStop(ctx context.Context) {
	conn, err := s.cfg.Network.Dial(ctx, s.upstream, stopConnectTimeout)
	switch {
	case err == nil:
		conn.Close()
		s.steering.Connected()
	case errors.Is(err, syscall.ECONNREFUSED):
		s.steering.RefusedAtStop()
	}
}

// upstreamEnded resets the flows that ended with the upstream, so that callers do not
// send further requests on them, which would be lost.
func (s *Sidecar) upstreamEnded() {
	orphans, ended := s.steering.ConnectionRefused(s.cfg.Timer.Uptime())
	if !ended {
		return
	}
	s.cfg.Log.Emit(event.UpstreamEnded, zap.Int("flows", len(orphans)))
	s.node.TriggerHeartbeat()
	var out []byte
	for i := range orphans {
		out = s.refuse(&orphans[i], steer.ReasonForgotten, out)
	}
}
