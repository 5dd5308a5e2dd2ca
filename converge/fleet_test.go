package converge_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/corianderbay/corianderbay/converge"
)

const (
	dialTimeout  = time.Second
	watchWait    = 2 * time.Second
	platformPoll = 250 * time.Millisecond
	pauseAfter   = 2 * time.Second
)

// process is one process of a fleet with the edge that carries out its outputs.
type process struct {
	name, dataCentre string
	member           *converge.Member
	alive, paused    bool
	incarnation      int
	group            int // processes reach each other within a group
	reading          bool
	stale            bool // the platform answers this reader with old values
	cutOff           bool // the platform does not answer this reader
	links            map[string]bool
	docs             map[converge.Version]bool
	inForce          converge.Version
	state            converge.State
	isolated         bool
	shown            platformView
	answeredAt       time.Time
	tickedAt         time.Time
}

// platformView is what the platform holds.
type platformView struct {
	bundle, list converge.Version
}

// fleet is a small fake network with a platform, in virtual time.
type fleet struct {
	now       time.Time
	start     time.Time
	rand      *rand.Rand
	queue     eventQueue
	order     int
	procs     []*process
	latency   time.Duration // upper bound of one way
	view, old platformView
	down      bool
	valid     map[converge.Version]bool
	lists     map[converge.Version][]converge.Peer
	contents  map[uint64]converge.Version // the oracle: what was in force at a number
	faults    []string                    // what broke the oracle
	calls     int
	conflicts []converge.Conflict
}

func newFleet(seed uint64, dataCentres ...int) *fleet {
	f := &fleet{
		start:    time.Unix(1_000_000, 0),
		now:      time.Unix(1_000_000, 0),
		rand:     rand.New(rand.NewPCG(seed, 1)),
		latency:  20 * time.Millisecond,
		valid:    make(map[converge.Version]bool),
		lists:    make(map[converge.Version][]converge.Peer),
		contents: make(map[uint64]converge.Version),
	}
	for dc, count := range dataCentres {
		for i := range count {
			f.procs = append(f.procs, &process{name: fmt.Sprintf("p%d-%d", dc, i), dataCentre: fmt.Sprintf("dc%d", dc)})
		}
	}
	f.publishList(f.procs)
	for _, p := range f.procs {
		f.boot(p)
	}
	return f
}

func (f *fleet) publishList(procs []*process) {
	var peers []converge.Peer
	for _, p := range procs {
		peers = append(peers, converge.Peer{Name: p.name, DataCentre: p.dataCentre})
	}
	v := converge.Version{Sequence: f.view.list.Sequence + 1}
	v.Hash[0] = byte(v.Sequence)
	f.lists[v] = peers
	f.view.list = v
}

// publish makes a bundle the platform's value.
func (f *fleet) publish(sequence uint64, content byte, valid bool) {
	v := converge.Version{Sequence: sequence, Hash: converge.Hash{content}}
	f.valid[v] = valid
	f.old.bundle = f.view.bundle
	f.old.list = f.view.list
	f.view.bundle = v
}

func (f *fleet) boot(p *process) {
	p.incarnation++
	p.member = converge.New(converge.Config{
		Name: p.name, DataCentre: p.dataCentre,
		Rand: rand.New(rand.NewPCG(f.rand.Uint64(), 2)), Seeds: f.lists[converge.Version{Sequence: 1, Hash: converge.Hash{1}}],
	})
	p.alive, p.paused, p.reading = true, false, false
	p.links = make(map[string]bool)
	p.docs = make(map[converge.Version]bool)
	p.inForce, p.state, p.isolated = converge.Version{}, converge.StateStarting, false
	p.shown, p.answeredAt, p.tickedAt = platformView{}, time.Time{}, time.Time{}
	n := p.incarnation
	f.after(f.wait(converge.TickInterval), func() { f.tick(p, n) })
}

func (f *fleet) kill(p *process) {
	p.alive = false
	for name := range p.links {
		f.hangUp(p, f.proc(name))
	}
}

// tick drives a process. A paused one makes up for it with one tick when it wakes.
func (f *fleet) tick(p *process, incarnation int) {
	if p.incarnation != incarnation || !p.alive {
		return
	}
	f.after(converge.TickInterval, func() { f.tick(p, incarnation) })
	if p.paused {
		return
	}
	f.input(p, converge.Tick{})
	p.tickedAt = f.now
	f.poll(p)
}

func (f *fleet) poll(p *process) {
	if !p.reading || f.now.Sub(p.answeredAt) < platformPoll {
		return
	}
	if f.down || p.cutOff {
		p.answeredAt = f.now.Add(time.Second)
		f.calls++
		f.input(p, converge.PlatformFailed{})
		return
	}
	view := f.view
	if p.stale {
		view = f.old
	}
	due := f.now.Sub(p.answeredAt) >= watchWait
	if view == p.shown && !due {
		return
	}
	f.calls++
	p.answeredAt = f.now
	f.input(p, converge.PlatformAnswered{})
	if !view.list.IsZero() {
		f.input(p, converge.ListOffered{Version: view.list, Peers: f.lists[view.list]})
	}
	if view != p.shown && !view.bundle.IsZero() {
		f.input(p, converge.BundleOffered{Version: view.bundle})
	}
	p.shown = view
}

func (f *fleet) input(p *process, in converge.Input) {
	woke := f.now.Sub(p.tickedAt) > pauseAfter && !p.tickedAt.IsZero()
	p.tickedAt = f.now
	for _, out := range p.member.Update(f.now, in) {
		f.output(p, out)
	}
	if woke && p.state == converge.StateReady {
		f.faults = append(f.faults, p.name+" is ready before it asked")
	}
}

func (f *fleet) output(p *process, out converge.Output) {
	switch out := out.(type) {
	case converge.Connect:
		f.connect(p, f.proc(out.Peer))
	case converge.Disconnect:
		f.hangUp(p, f.proc(out.Peer))
	case converge.Send:
		f.send(p, f.proc(out.Peer), out.Digest)
	case converge.Fetch:
		f.fetch(p, out)
	case converge.Activate:
		f.enforce(p, out.Version)
	case converge.ReadPlatform:
		p.reading = out.On
		p.shown = platformView{}
	case converge.Conflict:
		f.conflicts = append(f.conflicts, out)
	case converge.StateChange:
		p.state, p.isolated = out.State, out.Isolated
	case converge.AdoptList, converge.StaleOffer:
	}
}

// enforce checks the two invariants of the oracle.
func (f *fleet) enforce(p *process, v converge.Version) {
	if v.Sequence <= p.inForce.Sequence {
		f.faults = append(f.faults, fmt.Sprintf("%s went from %v to %v", p.name, p.inForce, v))
	}
	first, ok := f.contents[v.Sequence]
	if ok && first != v {
		f.faults = append(f.faults, fmt.Sprintf("%s enforced %v, elsewhere %v", p.name, v, first))
	}
	if !p.docs[v] || !f.valid[v] {
		f.faults = append(f.faults, fmt.Sprintf("%s enforced %v unchecked", p.name, v))
	}
	f.contents[v.Sequence] = v
	p.inForce = v
}

func (f *fleet) connect(p, q *process) {
	n := p.incarnation
	if !f.reach(p, q) {
		f.after(dialTimeout, func() { f.deliver(p, n, converge.Disconnected{Peer: q.name}) })
		return
	}
	f.after(f.delay(), func() {
		if p.incarnation != n || !p.alive || !f.reach(p, q) {
			return
		}
		p.links[q.name], q.links[p.name] = true, true
		f.deliver(q, q.incarnation, converge.Connected{Peer: p.name})
		f.deliver(p, n, converge.Connected{Peer: q.name})
	})
}

func (f *fleet) hangUp(p, q *process) {
	if !p.links[q.name] {
		return
	}
	delete(p.links, q.name)
	delete(q.links, p.name)
	if !f.reach(p, q) && p.alive {
		return
	}
	n := q.incarnation
	closed := p.alive
	f.after(f.delay(), func() { f.deliver(q, n, converge.Disconnected{Peer: p.name, Graceful: closed}) })
}

func (f *fleet) send(p, q *process, d converge.Digest) {
	if !p.links[q.name] || !f.reach(p, q) {
		return
	}
	n := q.incarnation
	f.after(f.delay(), func() {
		if q.links[p.name] {
			f.deliver(q, n, converge.DigestReceived{Peer: p.name, Digest: d})
		}
	})
}

func (f *fleet) fetch(p *process, out converge.Fetch) {
	n := p.incarnation
	failed := converge.FetchFailed(out)
	f.after(2*f.delay(), func() {
		if out.Peer != converge.FromPlatform {
			q := f.proc(out.Peer)
			if !f.reach(p, q) || q.paused || out.Kind == converge.KindBundle && !q.docs[out.Version] {
				f.deliver(p, n, failed)
				return
			}
		}
		f.deliverDocument(p, n, out)
	})
}

func (f *fleet) deliverDocument(p *process, incarnation int, out converge.Fetch) {
	if out.Kind == converge.KindList {
		f.deliver(p, incarnation, converge.ListOffered{Peer: out.Peer, Version: out.Version, Peers: f.lists[out.Version]})
		return
	}
	if p.incarnation != incarnation {
		return
	}
	p.docs[out.Version] = true
	f.deliver(p, incarnation, converge.BundleChecked{Peer: out.Peer, Version: out.Version, Valid: f.valid[out.Version]})
}

// deliver hands an input over. A paused process gets it when it wakes.
func (f *fleet) deliver(p *process, incarnation int, in converge.Input) {
	switch {
	case p.incarnation != incarnation || !p.alive:
	case p.paused:
		f.after(converge.TickInterval, func() { f.deliver(p, incarnation, in) })
	default:
		f.input(p, in)
	}
}

func (f *fleet) reach(p, q *process) bool {
	return p.alive && q.alive && p.group == q.group
}

func (f *fleet) proc(name string) *process {
	for _, p := range f.procs {
		if p.name == name {
			return p
		}
	}
	return nil
}

func (f *fleet) delay() time.Duration {
	return time.Millisecond + f.wait(f.latency)
}

func (f *fleet) wait(limit time.Duration) time.Duration {
	return time.Duration(f.rand.Int64N(int64(limit)))
}

func (f *fleet) after(d time.Duration, do func()) {
	f.order++
	heap.Push(&f.queue, event{at: f.now.Add(d), order: f.order, do: do})
}

// run lets the time pass.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// disagreement returns two running processes of one group that differ, or nothing.
func (f *fleet) disagreement() string {
	first := make(map[int]*process)
	for _, p := range f.procs {
		if !p.alive || p.paused {
			continue
		}
		q, ok := first[p.group]
		if !ok {
			first[p.group] = p
			continue
		}
		if p.inForce != q.inForce {
			return fmt.Sprintf("%s has %v, %s has %v", q.name, q.inForce, p.name, p.inForce)
		}
	}
	return ""
}

type event struct {
	at    time.Time
	order int
	do    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
