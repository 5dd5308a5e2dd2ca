package edge_test

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/corianderbay/corianderbay/platform"
	"github.com/corianderbay/corianderbay/platform/standin"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
)

const (
	requestSize = 300 // bytes
	answerSize  = 200 // bytes
	// requestDeadline is the time after which a caller gives up a request and its flow.
	requestDeadline = 8 * time.Second
	openTimeout     = 1400 * time.Millisecond
	firstPort       = 40000
	firstResend     = 200 * time.Millisecond
	maxResend       = 1600 * time.Millisecond
	// One of idlePauses pauses between two requests is longer, by up to maxIdle milliseconds.
	idlePauses = 8
	maxIdle    = 8000
)

// caller opens one flow after the other and sends requests on it.
type caller struct {
	w     *world
	host  registry.Host
	rand  *rand.Rand
	inbox chan []byte
	port  uint16
	// dataCentre is where its packets enter; guarded by world.mu.
	dataCentre int
}

// result is how a flow ended.
type result int

const (
	flowDone result = iota
	flowReset
	flowTimedOut
)

// run opens flows until ctx is done.
func (c *caller) run(ctx context.Context) {
	for sleep(ctx, time.Duration(c.rand.IntN(300))*time.Millisecond) {
		c.nextPort()
		c.w.routesMu.Lock()
		to := c.w.moving.address(c.rand)
		c.w.routesMu.Unlock()
		k := steer.Key{Caller: registry.Endpoint{Host: c.host, Port: c.port}, Address: to}
		p := steer.Packet{Source: k.Caller, Destination: to, Sequence: c.rand.Uint32()}
		if !c.open(ctx, &p) {
			continue
		}
		end := time.Now().Add(time.Duration(c.rand.Int64N(int64(c.w.flowTime))))
		c.w.count(c.use(ctx, &p, end))
		c.w.check.closed(c.w, k)
		p.Flags = steer.RST | steer.ACK
		c.send(&p, 0)
	}
}

// nextPort selects the port of the next flow.
func (c *caller) nextPort() {
	c.port++
	if c.w.ports > 0 {
		c.port = firstPort + (c.port-firstPort)%c.w.ports
	}
}

// send sends a packet through the balancer that the routers select now.
func (c *caller) send(p *steer.Packet, data int) {
	b := standin.Encode(*p, make([]byte, data))
	c.w.mu.Lock()
	to := c.w.pick(p.CallerKey(), c.dataCentre)
	if p.Opens() {
		c.w.moving.sent(p, c.w.machines[to[3]])
	}
	c.w.mu.Unlock()
	c.w.net.send(c.host.Port(packetPort), to.Port(packetPort), b)
}

// receive returns the next packet of the flow of p that is a reset or that match accepts, or
// false when none arrives in time.
func (c *caller) receive(ctx context.Context, p *steer.Packet, d time.Duration, match func(a *steer.Packet) bool) (steer.Packet, bool) {
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return steer.Packet{}, false
		case <-t.C:
			return steer.Packet{}, false
		case b := <-c.inbox:
			var a steer.Packet
			if (platform.Codec{}).Decode(b, &a) != nil || a.Destination != p.Source || a.Source != p.Destination {
				continue
			}
			if a.Flags.Has(steer.RST) || match(&a) {
				return a, true
			}
		}
	}
}

// open opens a flow, and returns false if it does not open.
func (c *caller) open(ctx context.Context, p *steer.Packet) bool {
	p.Flags = steer.SYN
	waits := []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, openTimeout - 600*time.Millisecond}
	for _, wait := range waits {
		c.send(p, 0)
		a, ok := c.receive(ctx, p, wait, func(a *steer.Packet) bool { return a.Flags.Has(steer.SYN | steer.ACK) })
		if !ok {
			continue
		}
		if !a.Flags.Has(steer.SYN | steer.ACK) {
			return false // reset
		}
		p.Flags, p.Sequence, p.Acknowledged = steer.ACK, p.Sequence+1, a.Sequence+1
		c.send(p, 0)
		return true
	}
	return false
}

// use sends requests until the flow ends.
func (c *caller) use(ctx context.Context, p *steer.Packet, end time.Time) result {
	for time.Now().Before(end) && ctx.Err() == nil {
		if r, last := c.request(ctx, p); last {
			return r
		}
		pause := 100 + time.Duration(c.rand.IntN(900))
		if c.rand.IntN(idlePauses) == 0 {
			pause += time.Duration(c.rand.IntN(maxIdle))
		}
		if _, ok := c.receive(ctx, p, pause*time.Millisecond, func(*steer.Packet) bool { return false }); ok {
			return flowReset
		}
	}
	return flowDone
}

// request sends a request until it is answered. last is true when the flow has ended.
func (c *caller) request(ctx context.Context, p *steer.Packet) (r result, last bool) {
	begin := time.Now()
	deadline := begin.Add(requestDeadline)
	for wait := firstResend; time.Now().Before(deadline); wait = min(2*wait, maxResend) {
		c.send(p, requestSize)
		a, ok := c.receive(ctx, p, wait, func(a *steer.Packet) bool { return a.Data > 0 && a.Acknowledged == p.Sequence+requestSize })
		switch {
		case ctx.Err() != nil:
			return flowDone, true
		case !ok:
		case a.Flags.Has(steer.RST):
			return flowReset, true
		default:
			c.w.answered(time.Since(begin))
			p.Sequence += requestSize
			p.Acknowledged = a.Sequence + answerSize
			if a.Flags.Has(steer.FIN) {
				return flowDone, true
			}
			c.send(p, 0)
			return flowDone, false
		}
	}
	return flowTimedOut, true
}
