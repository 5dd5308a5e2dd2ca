package flow_test

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/flow"
)

// A body holds the content of a fake packet besides the fields of flow.Packet.
type body struct {
	flow   *callerFlow
	id     int // request ID; 0 is none
	part   int // part number of an answer
	close  bool
	reset  bool
	synAck bool
	refuse *flow.Refuse
}

// A callerFlow is one incarnation of a 5-tuple at its caller.
type callerFlow struct {
	w       *world
	key     flow.Key
	service bundle.ServiceID // service of the address when the flow was opened
	isn     uint32

	upstreamISN uint32
	established bool
	openedAt    time.Time
	closed      bool
	broken      bool
	sent        uint32 // number of requests
	received    uint32 // number of answer parts
	requests    []*request
	lastSent    time.Time
	lastArrived time.Time // when a balancer last received a packet of the flow; zero until the first
	// idle is true once no balancer has received a packet of the flow for the idle
	// time, for example because all are paused. Upstreams may then have removed the
	// flow although its caller kept sending.
	idle bool
}

// A request is one request of a caller.
type request struct {
	id       int
	sequence uint32
	first    time.Time
	last     time.Time
	parts    map[int]bool
	done     bool // completely answered, refused or cancelled
	refused  bool
}

// open opens a flow. If reuse is not nil, the new flow reuses its 5-tuple.
func (w *world) open(p flow.Protocol, s bundle.ServiceID, reuse *callerFlow) *callerFlow {
	w.nextPort++
	f := &callerFlow{w: w, key: testKey(p, w.nextPort, s), service: s, isn: w.rng.Uint32(), openedAt: w.now}
	if reuse != nil {
		f.key = reuse.key
		reuse.closed = true
	}
	w.flows = append(w.flows, f)
	w.current[f.key] = f
	if p == flow.UDP {
		f.established = true
		return f
	}
	f.sendSYN()
	return f
}

// send sends a packet through a random running balancer.
func (f *callerFlow) send(p flow.Packet, bd body) {
	p.Key, bd.flow = f.key, f
	f.lastSent = f.w.now
	var running []*balancer
	for _, b := range f.w.balancers {
		if !b.dead {
			running = append(running, b)
		}
	}
	if len(running) == 0 {
		return
	}
	b := running[f.w.rng.IntN(len(running))]
	f.w.send(fabric, b.id, func() { b.receive(p, bd) })
}

// recordArrival records that a balancer received a packet of the flow.
func (f *callerFlow) recordArrival(now time.Time) {
	gap := now.Sub(f.lastArrived)
	if !f.lastArrived.IsZero() && gap >= testIdle {
		f.idle = true
		f.w.log(func() string { return fmt.Sprintf("%v was idle for %v", f.key, gap) })
	}
	f.lastArrived = now
}

func (f *callerFlow) sendSYN() {
	f.send(flow.Packet{Opening: true, Sequence: f.isn}, body{})
}

// request sends a new request.
func (f *callerFlow) request() *request {
	f.w.nextID++
	r := &request{id: f.w.nextID, sequence: f.isn + 1 + f.sent*segment, first: f.w.now, parts: map[int]bool{}}
	f.sent++
	f.requests = append(f.requests, r)
	f.transmit(r)
	return r
}

func (f *callerFlow) transmit(r *request) {
	r.last = f.w.now
	f.send(flow.Packet{Sequence: r.sequence, Acknowledged: f.upstreamISN + 1 + f.received*segment, HasAck: f.key.Protocol() == flow.TCP}, body{id: r.id})
}

func (f *callerFlow) close() {
	f.closed = true
	if f.key.Protocol() == flow.TCP && f.established {
		f.send(flow.Packet{Sequence: f.isn + 1 + f.sent*segment, Acknowledged: f.upstreamISN + 1 + f.received*segment, HasAck: true, Closing: true}, body{close: true})
	}
}

const (
	retransmitAfter = 700 * time.Millisecond
	connectTimeout  = 8 * time.Second
	keepAlive       = 2 * time.Second
)

// tick retransmits unanswered requests: datagrams for as long as callers may
// retransmit them, segments until the flow is closed.
func (f *callerFlow) tick() {
	if f.closed || f.broken {
		return
	}
	if !f.established {
		f.connect()
		return
	}
	if f.key.Protocol() == flow.TCP && f.w.now.Sub(f.lastSent) > keepAlive {
		f.send(flow.Packet{Sequence: f.isn + 1 + f.sent*segment, Acknowledged: f.upstreamISN + 1 + f.received*segment, HasAck: true}, body{})
	}
	for _, r := range f.requests {
		if r.done || f.w.now.Sub(r.last) < retransmitAfter {
			continue
		}
		if f.key.Protocol() == flow.UDP && f.w.now.Sub(r.first) >= testRepeat {
			r.done = true
			continue
		}
		f.transmit(r)
	}
}

func (f *callerFlow) connect() {
	if f.w.now.Sub(f.openedAt) > connectTimeout {
		f.closed = true
		return
	}
	if f.w.now.Sub(f.lastSent) >= retransmitAfter {
		f.sendSYN()
	}
}

// schedule calls fn at the given time, regardless of the state of processes.
func (w *world) schedule(at time.Time, fn func()) {
	w.sent++
	heap.Push(&w.queue, message{at: at, sequence: w.sent, from: fabric, to: fabric, arrive: fn})
}

// sendToCaller sends an answer or a refusal to the caller.
func (w *world) sendToCaller(h *host, p flow.Packet, bd body) {
	w.send(h.node(), fabric, func() { bd.flow.receive(p, bd) })
}

// receive processes an answer as a TCP stack or a UDP caller does. Sequence and
// acknowledgement numbers identify answers to another incarnation of the 5-tuple.
func (f *callerFlow) receive(p flow.Packet, bd body) {
	if f.closed || f.broken {
		return
	}
	switch {
	case bd.refuse != nil:
		f.receiveRefusal(p, bd)
	case bd.reset:
		f.recordBroken("reset by the upstream")
	case bd.synAck:
		f.receiveSynAck(p)
	default:
		f.receiveAnswer(p, bd)
	}
}

func (f *callerFlow) receiveRefusal(p flow.Packet, bd body) {
	if f.key.Protocol() == flow.TCP {
		switch {
		case p.Opening && !f.established:
			f.closed = true
		case !p.Opening && f.established:
			f.recordBroken(bd.refuse.Reason.String())
		}
		return
	}
	for _, r := range f.requests {
		if r.id == bd.id && !r.done {
			r.done, r.refused = true, true
		}
	}
}

func (f *callerFlow) receiveSynAck(p flow.Packet) {
	if f.established || p.Acknowledged != f.isn+1 {
		return
	}
	f.established = true
	f.upstreamISN = p.Sequence
	f.request()
}

func (f *callerFlow) receiveAnswer(p flow.Packet, bd body) {
	if f.key.Protocol() == flow.TCP && p.Sequence-f.upstreamISN-1 > 1<<20 {
		return
	}
	for _, r := range f.requests {
		if r.id != bd.id {
			continue
		}
		r.parts[bd.part] = true
		if len(r.parts) == 2 && !r.done {
			r.done = true
			f.received += 2
		}
		return
	}
	f.w.oracle.fail("an answer to request %d reached a caller that did not send it", bd.id)
}

// recordBroken records that an established flow broke.
func (f *callerFlow) recordBroken(why string) {
	f.broken = true
	f.w.oracle.broken(f, why)
}
