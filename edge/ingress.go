package edge

import (
	"context"
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/metric"
	"github.com/corianderbay/corianderbay/rotation"
	"go.uber.org/zap"
)

const (
	// linkInterval is the interval at which the traffic of the link is measured.
	linkInterval = 100 * time.Millisecond
	// trafficTimeConstant is the time constant of the moving average of the traffic.
	trafficTimeConstant = time.Second
)

// ingress measures the traffic of a balancer's link and holds its part in the rotation of
// the routers. It is safe for concurrent use.
type ingress struct {
	link    int  // kbit/s; 0 when it is not known
	enabled bool // whether the balancer may stand by

	mu       sync.Mutex
	traffic  float64 // moving average in kbit/s, of the direction with more
	rotation rotation.Rotation
	last     traffic // totals at the last measurement
}

// traffic holds the totals of the bytes that a process received and sent.
type traffic struct {
	at             time.Duration // when they were read; 0 before the first
	received, sent uint64        // bytes
}

// report returns what heartbeats say of the link.
func (g *ingress) report(time.Duration) membership.Ingress {
	g.mu.Lock()
	defer g.mu.Unlock()
	return membership.Ingress{Link: g.link, Traffic: int(g.traffic), Standby: g.rotation.Standby()}
}

// standby reports whether the balancer keeps out of the rotation of the routers.
func (g *ingress) standby() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rotation.Standby()
}

// measure updates the traffic from the totals as of now.
func (g *ingress) measure(now traffic) {
	g.mu.Lock()
	defer g.mu.Unlock()
	passed := now.at - g.last.at
	if g.last.at != 0 && passed > 0 {
		kilobits := float64(max(now.received-g.last.received, now.sent-g.last.sent)) * 8 / 1000
		weight := min(1, float64(passed)/float64(trafficTimeConstant))
		g.traffic += weight * (kilobits/passed.Seconds() - g.traffic)
	}
	g.last = now
}

// update decides whether the balancer stands by, and reports whether that changed.
func (g *ingress) update(now time.Duration, self rotation.Peer, peers []rotation.Peer) (standby, changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed = g.rotation.Update(now, self, peers)
	return g.rotation.Standby(), changed
}

// write adds the metrics of the link to p.
func (g *ingress) write(p *metric.Page) {
	r := g.report(0)
	p.Value(defLink, float64(r.Link))
	p.Value(defTraffic, float64(r.Traffic))
	p.Value(defStandby, flag(r.Standby))
}

// watchLink measures the traffic of the link, and decides whether the balancer stands by,
// until ctx is done.
func (b *Balancer) watchLink(ctx context.Context) {
	sub := b.cfg.Timer.Every(linkInterval)
	defer sub.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sub.C:
		}
		now := b.cfg.Timer.Uptime()
		callers, peers := b.socket.Counts(), b.node.Traffic()
		b.ingress.measure(traffic{
			at:       now,
			received: callers.ReceivedBytes + peers.ReceivedBytes,
			sent:     callers.SentBytes + peers.SentBytes,
		})
		if b.ingress.enabled && b.ready.Load() {
			b.updateStandby(now)
		}
	}
}

// updateStandby decides whether the balancer stands by, and reports a change to the other
// balancers at once, so that none decides by an outdated state.
func (b *Balancer) updateStandby(now time.Duration) {
	self := rotation.Peer{Host: b.self, Ingress: b.ingress.report(now), Alive: true}
	peers := b.node.LocalBalancers()
	standby, changed := b.ingress.update(now, self, peers)
	if !changed {
		return
	}
	number := event.StandbyEnded
	if standby {
		number = event.StandbyBegan
	}
	b.cfg.Log.Emit(number,
		zap.Int("link", self.Ingress.Link),
		zap.Int("traffic", self.Ingress.Traffic),
		zap.Int("balancers", len(peers)))
	b.node.TriggerLocalHeartbeat()
}
