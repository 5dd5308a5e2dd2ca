package flow_test

import (
	"net/netip"
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/forward"
)

// A balancer is a fake balancer.
type balancer struct {
	process
	w           *world
	id          node
	plan        *plan
	hints       *flow.Hints
	absentSince map[bundle.UpstreamID]time.Time
	stuck       bool // receives no newer bundle and no newer list
}

func (w *world) joinBalancer() {
	id := node(len(w.balancers) + 1)
	b := &balancer{w: w, id: id, plan: w.newest(id), absentSince: map[bundle.UpstreamID]time.Time{}}
	b.hints = flow.NewHints(flow.HintsConfig{Shards: 1, Size: 1000})
	w.balancers = append(w.balancers, b)
}

// addr returns the address at which the balancer receives hints.
func (b *balancer) addr() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(b.id >> 8), byte(b.id)}), 7000)
}

// receive forwards a caller's packet.
func (b *balancer) receive(p flow.Packet, bd body) {
	bd.flow.recordArrival(b.w.now)
	s, cs := view{plan: b.plan}.Candidates(nil, p.Key)
	if len(cs) == 0 {
		return
	}
	h := forward.Header{Service: s, Version: b.plan.version, Candidates: cs, Balancer: b.addr()}
	b.hints.SelectCandidate(b.w.now, &h, p, flow.Health{Suspect: b.suspect, TakeoverDue: b.takeoverDue})
	b.w.sendForward(b.id, h, p, bd)
}

func (b *balancer) suspect(u bundle.UpstreamID) bool {
	_, ok := b.absentSince[u]
	return ok
}

func (b *balancer) takeoverDue(u bundle.UpstreamID) bool {
	at, ok := b.absentSince[u]
	return ok && b.w.now.Sub(at) > 3*flow.FenceTimeout+testRepeat
}

// setAbsent sets the upstreams that are missing from the platform's list.
func (b *balancer) setAbsent(absent []bundle.UpstreamID) {
	for u := range b.absentSince {
		if !slices.Contains(absent, u) {
			delete(b.absentSince, u)
		}
	}
	for _, u := range absent {
		if _, ok := b.absentSince[u]; !ok {
			b.absentSince[u] = b.w.now
		}
	}
}

// resume ends a pause and drops the packets queued in the socket.
func (b *balancer) resume() {
	b.paused = false
	b.waiting = nil
}

// sendForward sends a packet to the sidecar at Header.Current.
func (w *world) sendForward(from node, h forward.Header, p flow.Packet, bd body) {
	to := hostNode + node(h.Candidates[h.Current].Sidecar.Addr().As4()[3])
	h.Candidates = slices.Clone(h.Candidates)
	w.send(from, to, func() {
		arrived := h
		arrived.Candidates = slices.Clone(h.Candidates)
		w.hosts[bundle.UpstreamID(to-hostNode)].receive(arrived, p, bd)
	})
}

// sendHint sends a hint to a balancer or a sidecar.
func (w *world) sendHint(from *host, hint flow.Hint) {
	const hintBytes = 64
	w.control += hintBytes
	ip := hint.To.Addr().As4()
	if ip[1] == 2 {
		b := w.balancers[int(ip[2])<<8+int(ip[3])-1]
		w.send(from.node(), b.id, func() { b.hints.Add(w.now, hint.Key.Hash(), from.id) })
		return
	}
	to := w.hosts[bundle.UpstreamID(ip[3])]
	if to == nil {
		return
	}
	w.send(from.node(), to.node(), func() { to.sidecar.OwnerFound(w.now, hint.Key, from.id) })
}
