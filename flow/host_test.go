package flow_test

import (
	"fmt"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/forward"
)

// hostNode is the offset from an upstream's ID to its node.
const hostNode node = 1000

// A host is a fake upstream instance with its sidecar.
type host struct {
	process
	w       *world
	id      bundle.UpstreamID
	plan    *plan
	sidecar *flow.Sidecar
	// service is the service that the upstream process serves.
	service bundle.ServiceID
	// incarnation differs each time the upstream starts without state.
	incarnation uint64
	conns       map[flow.Key]*conn
	// udpRequests holds the requests that the upstream ran, by UDP flow.
	udpRequests map[flow.Key]map[int]bool
	// leavingSince is when the upstream was first notified that it is leaving; zero if it is not.
	leavingSince    time.Time
	runningRequests int  // number of requests in progress
	stuck           bool // takes no newer bundle
}

// A conn is a TCP connection at an upstream.
type conn struct {
	callerISN, upstreamISN uint32
	established            bool
	ran                    map[int]bool
	sent                   uint32 // bytes
}

// segment is the size in bytes of each request and of each part of an answer.
const segment = 100

func (w *world) startHost(u bundle.UpstreamID) *host {
	h := &host{w: w, id: u}
	h.restart()
	w.hosts[u] = h
	return h
}

func (h *host) node() node {
	return hostNode + node(h.id)
}

// restart restarts the sidecar and the upstream without state.
func (h *host) restart() {
	h.process = process{}
	h.plan = h.w.newest(h.node())
	cfg := h.w.config
	h.w.lastIncarnation++
	cfg.Upstream, cfg.Incarnation, cfg.Shards = h.id, h.w.lastIncarnation, 1
	h.sidecar = flow.NewSidecar(cfg, h.w.now)
	h.sidecar.Disable(h.w.without)
	h.leavingSince = time.Time{}
	h.clear()
	h.accept(h.plan)
}

// clear removes all state of the upstream.
func (h *host) clear() {
	h.w.lastIncarnation++
	h.incarnation = h.w.lastIncarnation
	h.conns = map[flow.Key]*conn{}
	h.udpRequests = map[flow.Key]map[int]bool{}
	h.runningRequests = 0
}

func (h *host) kill() {
	h.process = process{dead: true, deadAt: h.w.now}
	h.clear()
}

func (h *host) accept(p *plan) {
	h.plan = p
	h.w.log(func() string { return fmt.Sprintf("upstream %d accepts bundle %d", h.id, p.version) })
	v := view{plan: p, self: h.id}
	h.sidecar.BundleAccepted(h.w.now, v)
	h.service, _ = h.sidecar.Service()
	self := v.Self()
	leaving := !self.Listed || self.Leaving || self.Service != h.service
	switch {
	case !leaving:
		h.leavingSince = time.Time{}
	case h.leavingSince.IsZero():
		h.leavingSince = h.w.now
	}
}

func (h *host) drain() {
	h.sidecar.Drain(h.w.now)
	if h.leavingSince.IsZero() {
		h.leavingSince = h.w.now
	}
}

// resume ends a pause: it reports the gap to the sidecar, processes the packets
// queued in its sockets, and reports that the backlog is drained.
func (h *host) resume() {
	waiting := h.waiting
	h.paused, h.waiting = false, nil
	h.sidecar.Resumed(h.w.now, h.w.now.Sub(h.pausedAt))
	for _, f := range waiting {
		f()
	}
	h.sidecar.BacklogDrained()
}

func (h *host) tick() {
	if !h.running() {
		return
	}
	if n := h.w.newest(h.node()); !h.stuck && h.w.adopts(h.plan, n) {
		h.accept(n)
	}
	if !h.w.platformDown && h.w.chance(0.1) == 1 {
		h.sidecar.InstancesListed(h.w.now, h.w.listedAbsent(h.node()))
	}
	due := h.sidecar.Tick(h.w.now)
	if due.Switched {
		h.service, _ = h.sidecar.Service()
		h.clear()
		h.leavingSince = time.Time{}
	}
	for _, hint := range due.Hints {
		h.w.sendHint(h, hint)
	}
	if due.Report != nil {
		h.report(*due.Report, due.OneSided)
	}
}

func (h *host) report(r flow.PeerReport, oneSided []forward.Candidate) {
	const reportBytes = 100
	for _, c := range append((view{plan: h.plan, self: h.id}).Members(h.service), oneSided...) {
		peer := h.w.hosts[c.Upstream]
		if peer == h || peer == nil {
			continue
		}
		h.w.control += reportBytes
		h.w.send(h.node(), peer.node(), func() { peer.sidecar.PeerReported(h.w.now, r) })
	}
}

// receive decides on a forwarded packet and carries out the action.
func (h *host) receive(hd forward.Header, p flow.Packet, bd body) {
	before := hd
	action := h.sidecar.Packet(h.w.now, &hd, p)
	h.log(before, hd, p, bd, action)
	switch a := action.(type) {
	case flow.Deliver:
		h.w.oracle.visited(p.Key, int(hd.Hops))
		h.deliver(p, bd)
	case flow.Forward:
		h.w.sendForward(h.node(), hd, p, bd)
	case flow.Refuse:
		h.w.oracle.refused(h, bd, a)
		h.w.sendToCaller(h, p, body{id: bd.id, refuse: &a, flow: bd.flow})
	case flow.Drop:
	}
}

// log adds a decision to the trace.
func (h *host) log(before, after forward.Header, p flow.Packet, bd body, a flow.Action) {
	h.w.log(func() string {
		return fmt.Sprintf("upstream %d: %v request %d opening %v ack %v %s -> %T%+v %s",
			h.id, p.Key, bd.id, p.Opening, p.Acknowledged, headerText(before), a, a, headerText(after))
	})
}

func headerText(h forward.Header) string {
	return fmt.Sprintf("v%d phase %d at %d passed %b uncertain %v", h.Version, h.Phase, h.Current, h.Passed, h.Uncertain)
}

// deliver passes a packet to the upstream.
func (h *host) deliver(p flow.Packet, bd body) {
	h.w.oracle.delivered(h, p, bd)
	if p.Key.Protocol() == flow.UDP {
		h.datagram(p, bd)
		return
	}
	c := h.conns[p.Key]
	if p.Opening {
		h.open(c, p, bd)
		return
	}
	if c == nil || p.Sequence-c.callerISN-1 > 1<<20 || p.Acknowledged-c.upstreamISN-1 > 1<<20 {
		h.answer(p, body{flow: bd.flow, reset: true})
		return
	}
	c.established = true
	if bd.close {
		delete(h.conns, p.Key)
		return
	}
	if bd.id != 0 {
		h.run(p, bd, c.ran)
	}
}

// open answers a SYN as a TCP stack does. A SYN of another incarnation replaces the
// connection only if it is the caller's current one, as a challenge ACK would show.
func (h *host) open(c *conn, p flow.Packet, bd body) {
	if c != nil && c.callerISN != p.Sequence && h.w.current[p.Key].isn != p.Sequence {
		return
	}
	if c == nil || c.callerISN != p.Sequence {
		h.w.oracle.opened(h, bd)
		c = &conn{callerISN: p.Sequence, upstreamISN: h.w.upstreamISN(), ran: map[int]bool{}}
		h.conns[p.Key] = c
	}
	h.answer(p, body{flow: bd.flow, synAck: true})
}

func (h *host) datagram(p flow.Packet, bd body) {
	ran := h.udpRequests[p.Key]
	if ran == nil {
		h.w.oracle.opened(h, bd)
		ran = map[int]bool{}
		h.udpRequests[p.Key] = ran
	}
	h.run(p, bd, ran)
}

// run runs a request unless the upstream's state shows that it ran, and answers in two parts.
func (h *host) run(p flow.Packet, bd body, ran map[int]bool) {
	if !ran[bd.id] {
		ran[bd.id] = true
		h.w.oracle.ran(h, bd)
	}
	h.runningRequests++
	incarnation := h.incarnation
	work := time.Duration(h.w.rng.Int64N(int64(300 * time.Millisecond)))
	at := h.w.now.Add(work)
	h.w.schedule(at, func() {
		if h.incarnation != incarnation || h.dead {
			return
		}
		h.runningRequests--
		h.answer(p, body{flow: bd.flow, id: bd.id, part: 1})
		h.answer(p, body{flow: bd.flow, id: bd.id, part: 2})
	})
}

// answer sends a packet of the upstream through the sidecar to the caller.
func (h *host) answer(p flow.Packet, bd body) {
	a := flow.Packet{Key: p.Key, Size: segment}
	if c := h.conns[p.Key]; c != nil {
		a.HasAck = true
		a.Acknowledged = p.Sequence + 1
		a.Sequence = c.upstreamISN + 1 + c.sent
		if bd.synAck {
			a.Opening = true
			a.Acknowledged, a.Sequence = c.callerISN+1, c.upstreamISN
		} else {
			c.sent += segment
		}
	}
	if !h.running() {
		return
	}
	if _, ok := h.sidecar.Answer(h.w.now, a).(flow.Deliver); ok {
		h.w.sendToCaller(h, a, bd)
	}
}
