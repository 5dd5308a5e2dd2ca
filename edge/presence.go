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
	// returnWindow is for how long an upstream that ended is asked for with each tick;
	// after that, with each slowTicks-th.
	returnWindow = 2 * time.Second
	slowTicks    = 10
)

// checkUpstream asks whether the upstream runs when its reaction is overdue, or
// when it was gone the last time.
func (s *Sidecar) checkUpstream(now time.Duration) {
	if !s.decide.Gone() {
		s.goneSince = 0
		if s.decide.Doubts(now) {
			s.wakeCheck()
		}
		return
	}
	if s.goneSince == 0 {
		s.goneSince = now
	}
	s.goneTicks++
	if now-s.goneSince < returnWindow || s.goneTicks%slowTicks == 0 {
		s.wakeCheck()
	}
}

func (s *Sidecar) wakeCheck() {
	select {
	case s.checks <- struct{}{}:
	default:
	}
}

// watchUpstream answers whether the upstream runs by connecting to it. Its
// instance resets connections to a port on which nothing listens.
func (s *Sidecar) watchUpstream(ctx context.Context) {
	d := net.Dialer{Timeout: connectTimeout}
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.checks:
		}
		conn, err := d.DialContext(ctx, "tcp4", s.upstream.String())
		switch {
		case err == nil:
			conn.Close()
			s.decide.Connected()
		case errors.Is(err, syscall.ECONNREFUSED):
			s.upstreamEnded()
		}
	}
}

// upstreamEnded resets the flows that ended with the upstream, so that callers
// do not send requests on them which can only be lost.
func (s *Sidecar) upstreamEnded() {
	orphans, ended := s.decide.ConnectionRefused(s.cfg.Timer.Uptime())
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
