package edge

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/steer"
	"go.uber.org/zap"
)

const (
	// connectTimeout bounds the question whether the upstream runs, which goes to the same instance.
	connectTimeout = 200 * time.Millisecond
	// fastProbeWindow is for how long an upstream that ended is asked for with each tick;
	// after that, with each slowTicks-th.
	fastProbeWindow = 2 * time.Second
	slowProbeTicks  = 10
)

// scheduleProbe asks whether the upstream runs when its reaction is overdue, or
// when it was gone the last time.
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

// probeUpstream answers whether the upstream runs by connecting to it. Its
// instance resets connections to a port on which nothing listens.
func (s *Sidecar) probeUpstream(ctx context.Context) {
	d := net.Dialer{Timeout: connectTimeout}
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.probes:
		}
		conn, err := d.DialContext(ctx, "tcp4", s.upstream.String())
		switch {
		case err == nil:
			conn.Close()
			s.steering.Connected()
		case errors.Is(err, syscall.ECONNREFUSED):
			s.upstreamEnded()
		}
	}
}

// upstreamEnded resets the flows that ended with the upstream, so that callers
// do not send requests on them which can only be lost.
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
