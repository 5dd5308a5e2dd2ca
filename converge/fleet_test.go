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

// process is a simulated process: a Member and the state of its connections.
type process struct {
	name, dataCentre string
	member           *converge.Member
	alive, paused    bool
	incarnation      int
	partition        int // processes reach each other only within a network partition
	reading          bool
	stale            bool // this reader receives old values from the platform
	unreachable      bool // this reader cannot reach the platform
	links            map[string]bool
	documents        map[converge.Version]bool
	inForce          converge.Version
	state            converge.State
	isolated         bool
	lastView         platformView
	polledAt         time.Time
	lastInput        time.Time
}

// platformView contains the versions on the platform.
type platformView struct {
	bundle, list converge.Version
}

// fleet simulates a network of processes and a platform in virtual time.
type fleet struct {
	now        time.Time
	startTime  time.Time
	rand       *rand.Rand
	queue      eventQueue
	order      int
	procs      []*process
	latency    time.Duration // one-way delays are 1 ms plus a random part below this
	view, old  platformView  // on the platform now, and before the last publish; stale readers receive old
	down       bool
	valid      map[converge.Version]bool
	lists      map[converge.Version][]converge.Peer
	activated  map[uint64]converge.Version // test oracle: version in force by sequence
	violations []string                    // of the oracle's invariants
	calls      int
	conflicts  []converge.Conflict
}

func newFleet(seed uint64, dataCentres ...int) *fleet {
	f := &fleet{
		startTime: time.Unix(1_000_000, 0),
		now:       time.Unix(1_000_000, 0),
		rand:      rand.New(rand.NewPCG(seed, 1)),
		latency:   20 * time.Millisecond,
		valid:     make(map[converge.Version]bool),
		lists:     make(map[converge.Version][]converge.Peer),
		activated: make(map[uint64]converge.Version),
	}
	for dc, count := range dataCentres {
		for i := range count {
			f.procs = append(f.procs, &process{name: fmt.Sprintf("p%d-%d", dc, i), dataCentre: fmt.Sprintf("dc%d", dc)})
		}
	}
	f.publishList(f.procs)
	for _, p := range f.procs {
		f.start(p)
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

// publish makes a bundle the value on the platform. content distinguishes bundles
// with the same sequence, and valid is the result of their verification.
func (f *fleet) publish(sequence uint64, content byte, valid bool) {
	v := converge.Version{Sequence: sequence, Hash: converge.Hash{content}}
	f.valid[v] = valid
	f.old.bundle = f.view.bundle
	f.old.list = f.view.list
	f.view.bundle = v
}

func (f *fleet) start(p *process) {
	p.incarnation++
	p.member = converge.New(converge.Config{
		Name: p.name, DataCentre: p.dataCentre,
		Rand: rand.New(rand.NewPCG(f.rand.Uint64(), 2)), Seeds: f.lists[converge.Version{Sequence: 1, Hash: converge.Hash{1}}],
	})
	p.alive, p.paused, p.reading = true, false, false
	p.links = make(map[string]bool)
	p.documents = make(map[converge.Version]bool)
	p.inForce, p.state, p.isolated = converge.Version{}, converge.StateStarting, false
	p.lastView, p.polledAt, p.lastInput = platformView{}, time.Time{}, time.Time{}
	n := p.incarnation
	f.schedule(f.randomDuration(converge.TickInterval), func() { f.tick(p, n) })
}

func (f *fleet) kill(p *process) {
	p.alive = false
	for name := range p.links {
		f.disconnect(p, f.proc(name))
	}
}

// tick passes a Tick to the process every TickInterval. Ticks during a pause are skipped.
func (f *fleet) tick(p *process, incarnation int) {
	if p.incarnation != incarnation || !p.alive {
		return
	}
	f.schedule(converge.TickInterval, func() { f.tick(p, incarnation) })
	if p.paused {
		return
	}
	f.input(p, converge.Tick{})
	p.lastInput = f.now
	f.poll(p)
}

func (f *fleet) poll(p *process) {
	if !p.reading || f.now.Sub(p.polledAt) < platformPoll {
		return
	}
	if f.down || p.unreachable {
		p.polledAt = f.now.Add(time.Second)
		f.calls++
		f.input(p, converge.PlatformFailed{})
		return
	}
	view := f.view
	if p.stale {
		view = f.old
	}
	due := f.now.Sub(p.polledAt) >= watchWait
	if view == p.lastView && !due {
		return
	}
	f.calls++
	p.polledAt = f.now
	f.input(p, converge.PlatformAnswered{})
	if !view.list.IsZero() {
		f.input(p, converge.ListOffered{Version: view.list, Peers: f.lists[view.list]})
	}
	if view != p.lastView && !view.bundle.IsZero() {
		f.input(p, converge.BundleOffered{Version: view.bundle})
	}
	p.lastView = view
}

func (f *fleet) input(p *process, in converge.Input) {
	resumed := f.now.Sub(p.lastInput) > pauseAfter && !p.lastInput.IsZero()
	p.lastInput = f.now
	for _, out := range p.member.Update(f.now, in) {
		f.output(p, out)
	}
	if resumed && p.state == converge.StateReady {
		f.violations = append(f.violations, p.name+" is ready after a pause without resyncing")
	}
}

func (f *fleet) output(p *process, out converge.Output) {
	switch out := out.(type) {
	case converge.Connect:
		f.connect(p, f.proc(out.Peer))
	case converge.Disconnect:
		f.disconnect(p, f.proc(out.Peer))
	case converge.Send:
		f.send(p, f.proc(out.Peer), out.Digest)
	case converge.Fetch:
		f.fetch(p, out)
	case converge.Activate:
		f.activate(p, out.Version)
	case converge.ReadPlatform:
		p.reading = out.On
		p.lastView = platformView{}
	case converge.Conflict:
		f.conflicts = append(f.conflicts, out)
	case converge.StateChange:
		p.state, p.isolated = out.State, out.Isolated
	case converge.AdoptList, converge.StaleOffer:
	}
}

// activate checks the invariants of the oracle: the sequence in force increases, all
// processes put the same content in force for a sequence, and it was verified.
func (f *fleet) activate(p *process, v converge.Version) {
	if v.Sequence <= p.inForce.Sequence {
		f.violations = append(f.violations, fmt.Sprintf("%s changed from %v to %v", p.name, p.inForce, v))
	}
	first, ok := f.activated[v.Sequence]
	if ok && first != v {
		f.violations = append(f.violations, fmt.Sprintf("%s put %v in force, another process %v", p.name, v, first))
	}
	if !p.documents[v] || !f.valid[v] {
		f.violations = append(f.violations, fmt.Sprintf("%s put %v in force without verification", p.name, v))
	}
	f.activated[v.Sequence] = v
	p.inForce = v
}

func (f *fleet) connect(p, q *process) {
	n := p.incarnation
	if !f.reachable(p, q) {
		f.schedule(dialTimeout, func() { f.deliver(p, n, converge.Disconnected{Peer: q.name}) })
		return
	}
	f.schedule(f.delay(), func() {
		if p.incarnation != n || !p.alive || !f.reachable(p, q) {
			return
		}
		p.links[q.name], q.links[p.name] = true, true
		f.deliver(q, q.incarnation, converge.Connected{Peer: p.name})
		f.deliver(p, n, converge.Connected{Peer: q.name})
	})
}

func (f *fleet) disconnect(p, q *process) {
	if !p.links[q.name] {
		return
	}
	delete(p.links, q.name)
	delete(q.links, p.name)
	if !f.reachable(p, q) && p.alive {
		return
	}
	n := q.incarnation
	closed := p.alive
	f.schedule(f.delay(), func() { f.deliver(q, n, converge.Disconnected{Peer: p.name, Graceful: closed}) })
}

func (f *fleet) send(p, q *process, d converge.Digest) {
	if !p.links[q.name] || !f.reachable(p, q) {
		return
	}
	n := q.incarnation
	f.schedule(f.delay(), func() {
		if q.links[p.name] {
			f.deliver(q, n, converge.DigestReceived{Peer: p.name, Digest: d})
		}
	})
}

func (f *fleet) fetch(p *process, out converge.Fetch) {
	n := p.incarnation
	failed := converge.FetchFailed(out)
	f.schedule(2*f.delay(), func() {
		if out.Peer != converge.FromPlatform {
			q := f.proc(out.Peer)
			if !f.reachable(p, q) || q.paused || out.Kind == converge.KindBundle && !q.documents[out.Version] {
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
	p.documents[out.Version] = true
	f.deliver(p, incarnation, converge.BundleChecked{Peer: out.Peer, Version: out.Version, Valid: f.valid[out.Version]})
}

// deliver passes an input to a process, once it resumes if it is paused.
func (f *fleet) deliver(p *process, incarnation int, in converge.Input) {
	switch {
	case p.incarnation != incarnation || !p.alive:
	case p.paused:
		f.schedule(converge.TickInterval, func() { f.deliver(p, incarnation, in) })
	default:
		f.input(p, in)
	}
}

func (f *fleet) reachable(p, q *process) bool {
	return p.alive && q.alive && p.partition == q.partition
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
	return time.Millisecond + f.randomDuration(f.latency)
}

func (f *fleet) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(f.rand.Int64N(int64(limit)))
}

func (f *fleet) schedule(d time.Duration, do func()) {
	f.order++
	heap.Push(&f.queue, event{at: f.now.Add(d), order: f.order, do: do})
}

// run advances the virtual time by d and runs the events that are due.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// disagreement describes two running processes of one network partition that
// have different bundles in force. It returns an empty string if there are none.
func (f *fleet) disagreement() string {
	first := make(map[int]*process)
	for _, p := range f.procs {
		if !p.alive || p.paused {
			continue
		}
		q, ok := first[p.partition]
		if !ok {
			first[p.partition] = p
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
