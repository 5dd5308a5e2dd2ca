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
	offFlags    = 18
	bitReturned = 16
	restoreTime = 1900 * time.Millisecond // longest delay of the write that restores an entry
	offChecksum = 19
)

// upstreamState is whether an upstream runs.
type upstreamState int

const (
	upstreamRuns upstreamState = iota
	upstreamFrozen
	upstreamUnreachable // its host also drops attempts to connect to it
	upstreamEnded
)

// upstream is one incarnation of an upstream. All fields are guarded by world.mu.
type upstream struct {
	w        *world
	id       string
	service  string
	machine  *machine
	rand     *rand.Rand
	born     time.Time // by the clock of its machine
	sequence int64
	state    upstreamState
	draining bool
	openings map[steer.Key]opening
	flows    map[steer.Key]*upstreamFlow
	ended    map[steer.Key]uint32 // next sequence number of the caller in a flow that it ended
	stop     context.CancelFunc
}

// opening has the initial sequence numbers of a flow.
type opening struct {
	caller, own uint32
}

// upstreamFlow is an open flow.
type upstreamFlow struct {
	expected uint32 // next sequence number of the caller
	sequence uint32 // own next sequence number
	answer   []byte // nil while the request runs
}

// startUpstream starts an upstream on a machine and its heartbeats.
func (w *world) startUpstream(m *machine) *upstream {
	ctx, cancel := context.WithCancel(w.ctx)
	w.mu.Lock()
	w.starts++
	u := &upstream{
		w: w, id: m.name + "-" + time.Now().Format("05.000"), service: m.service, machine: m,
		rand: rand.New(rand.NewPCG(w.seed, w.starts)), born: time.Now().Add(m.step), openings: make(map[steer.Key]opening),
		flows: make(map[steer.Key]*upstreamFlow), ended: make(map[steer.Key]uint32), stop: cancel,
	}
	m.upstream = u
	w.mu.Unlock()
	w.check.note("upstream %s of %s starts on %s", u.id, u.service, m.name)
	w.wg.Go(func() { u.heartbeat(ctx) })
	return u
}

// entry returns what the upstream publishes.
func (u *upstream) entry() registry.Upstream {
	u.sequence++
	return registry.Upstream{
		ID: u.id, Service: u.service, Address: registry.Endpoint{Host: u.machine.host, Port: upstreamPort},
		DataCentre: u.machine.dataCentre, Slots: 4, Draining: u.draining, StartedAt: u.born.UnixMilli(), Sequence: u.sequence,
	}
}

// heartbeat publishes the entry until ctx is done. An entry that could not be written is
// written within restoreTime of the return of the store.
func (u *upstream) heartbeat(ctx context.Context) {
	for ctx.Err() == nil {
		u.w.mu.Lock()
		e, runs := u.entry(), u.state == upstreamRuns
		pause := u.w.store.heartbeat
		retry := time.Duration(u.rand.Int64N(int64(restoreTime)))
		u.w.mu.Unlock()
		if runs && !u.w.store.write(e) {
			pause = min(pause, retry)
		}
		sleep(ctx, pause)
	}
}

// publish writes the entry at once, as at a change of state.
func (u *upstream) publish() {
	u.w.mu.Lock()
	e := u.entry()
	u.w.mu.Unlock()
	u.w.store.write(e)
}

// end ends the upstream. Its flows are lost.
func (u *upstream) end() {
	u.w.mu.Lock()
	u.state = upstreamEnded
	if u.machine.upstream == u {
		u.machine.upstream = nil
	}
	u.w.mu.Unlock()
	u.stop()
	u.w.check.note("upstream %s ends", u.id)
}

// leave ends the upstream and removes its entry.
func (u *upstream) leave() {
	u.end()
	u.w.store.remove(u.id)
}

// send sends a datagram to the sidecar.
func (u *upstream) send(b []byte) {
	h := u.machine.host
	u.w.net.send(h.Port(upstreamPort), h.Port(outboundPort), b)
}

// handle processes one packet. The caller holds world.mu.
func (u *upstream) handle(b []byte) {
	var p steer.Packet
	if (platform.Codec{}).Decode(b, &p) != nil || u.state != upstreamRuns {
		return
	}
	k := p.CallerKey()
	if p.Opens() {
		u.accept(k, &p)
		return
	}
	f, next, ended := u.flows[k], uint32(0), false
	if f != nil && !follows(&p, f.expected) {
		f = nil
	}
	if next, ended = u.ended[k]; ended {
		ended = follows(&p, next)
	}
	if o, known := u.openings[k]; f == nil && known && !ended && p.Acknowledged == o.own+1 {
		f = &upstreamFlow{expected: p.Sequence, sequence: o.own + 1}
		u.flows[k] = f
		u.w.check.opened(k, u)
	}
	u.w.check.arrived(&p, u)
	switch {
	case f != nil:
		u.serve(k, f, &p)
	case ended && p.Data > 0:
		u.send(standin.Encode(answerTo(&p, steer.RST, p.Acknowledged), nil))
	case ended:
	default:
		b = append([]byte(nil), b...)
		b[offFlags] |= bitReturned
		u.send(b)
	}
}

// maxLate is the length in bytes of the requests after which a late packet of a flow is still
// taken for one of it.
const maxLate = 1 << 20

// follows reports whether a packet, which may be late, is one of a flow whose next sequence
// number is given, and not of another flow of the port.
func follows(p *steer.Packet, next uint32) bool {
	return next-p.Sequence <= maxLate
}

func answerTo(p *steer.Packet, flags steer.Flags, sequence uint32) steer.Packet {
	return steer.Packet{Source: p.Destination, Destination: p.Source, Flags: flags, Sequence: sequence, Acknowledged: p.Sequence + uint32(p.Data)}
}

func (u *upstream) accept(k steer.Key, p *steer.Packet) {
	o, known := u.openings[k]
	if !known || o.caller != p.Sequence {
		o = opening{caller: p.Sequence, own: u.rand.Uint32()}
		u.openings[k] = o
		u.w.moving.taken(u.w, p, u)
		delete(u.flows, k)
		delete(u.ended, k)
	}
	a := answerTo(p, steer.SYN|steer.ACK, o.own)
	a.Acknowledged++
	u.send(standin.Encode(a, nil))
}

// serve handles a packet of an open flow.
func (u *upstream) serve(k steer.Key, f *upstreamFlow, p *steer.Packet) {
	switch {
	case p.Flags.Has(steer.RST):
		delete(u.flows, k)
		u.ended[k] = f.expected
	case p.Data > 0 && p.Sequence == f.expected:
		f.expected += uint32(p.Data)
		f.answer = nil
		request := *p
		time.AfterFunc(time.Duration(5+u.rand.IntN(40))*time.Millisecond, func() { u.answer(k, f, &request) })
	case p.Data > 0 && f.answer != nil:
		u.send(f.answer)
	}
}

// answer answers a request. A draining upstream ends the flow with it.
func (u *upstream) answer(k steer.Key, f *upstreamFlow, p *steer.Packet) {
	u.w.mu.Lock()
	defer u.w.mu.Unlock()
	if u.state != upstreamRuns || u.flows[k] != f {
		return
	}
	flags := steer.ACK
	if u.draining {
		flags |= steer.FIN
	}
	f.answer = standin.Encode(answerTo(p, flags, f.sequence), make([]byte, answerSize))
	f.sequence += answerSize
	u.send(f.answer)
}
