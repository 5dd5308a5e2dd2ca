package flow_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/forward"
)

// A fleet is the engines of many processes without a network: packets arrive at
// once, so that hundreds of thousands of flows can live through hundreds of changes.
type fleet struct {
	now       time.Time
	rng       *rand.Rand
	plan      *plan
	balancers []*fleetBalancer
	sidecars  map[bundle.UpstreamID]*flow.Sidecar
	order     []bundle.UpstreamID // of sidecars, as they started
	without   string
	flows     []fleetFlow

	broken  int
	late    int // packets that no sidecar took for the moment
	packets int
	visits  int
	crossed int
	control int // bytes of hints and reports
}

type fleetBalancer struct {
	plan  *plan
	hints *flow.Hints
}

type fleetFlow struct {
	key    flow.Key
	isn    uint32
	broken bool
}

func newFleet(flows, balancers int, without string) *fleet {
	f := &fleet{
		now:      time.Unix(1, 0),
		rng:      rand.New(rand.NewPCG(1, 2)),
		plan:     newPlan(7, 0),
		sidecars: map[bundle.UpstreamID]*flow.Sidecar{},
		without:  without,
	}
	f.plan.centres = 3
	settings := f.plan.settings[fitting]
	settings.Idle = time.Hour
	f.plan.settings[fitting] = settings
	for range balancers {
		f.balancers = append(f.balancers, &fleetBalancer{plan: f.plan, hints: flow.NewHints(flow.HintsConfig{})})
	}
	f.startSidecars()
	f.run(5 * time.Second)
	for i := range flows {
		f.flows = append(f.flows, fleetFlow{key: testKey(flow.TCP, i, fitting)})
		f.open(&f.flows[i])
	}
	return f
}

func (f *fleet) startSidecars() {
	for _, m := range f.plan.members[fitting] {
		if f.sidecars[m.upstream] != nil {
			continue
		}
		s := flow.NewSidecar(flow.SidecarConfig{Upstream: m.upstream, Admitter: flow.Threshold{Flows: 1 << 30}}, f.now)
		s.Disable(f.without)
		s.BundleAccepted(f.now, view{plan: f.plan, self: m.upstream})
		f.sidecars[m.upstream] = s
		f.order = append(f.order, m.upstream)
	}
}

// run lets sidecars tick, report and hint for a time.
func (f *fleet) run(d time.Duration) {
	const step = 500 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for _, u := range f.order {
			f.tick(u)
		}
	}
}

func (f *fleet) tick(u bundle.UpstreamID) {
	// What TestHintsKeepTheirBudgetOnTheWire finds for a datagram and for each hash in it.
	const hintBytes, hintsBytes, reportBytes = 9, 88, 100
	due := f.sidecars[u].Tick(f.now)
	inDatagram := make(map[uint16]int)
	for _, h := range due.Hints {
		if inDatagram[h.To.Port()]%flow.MaxHints == 0 {
			f.control += hintsBytes
		}
		inDatagram[h.To.Port()]++
		f.control += hintBytes
		f.balancers[h.To.Port()].hints.Add(f.now, h.Key.Hash(), u)
	}
	if due.Report == nil {
		return
	}
	for _, peer := range f.order {
		if peer != u {
			f.control += reportBytes
			f.sidecars[peer].PeerReported(f.now, *due.Report)
		}
	}
}

// send sends a packet through balancer b and returns the upstream that it is delivered to.
func (f *fleet) send(b int, p flow.Packet) (bundle.UpstreamID, flow.Action) {
	from := f.balancers[b]
	service, order := view{plan: from.plan}.Candidates(nil, p.Key)
	h := forward.Header{Service: service, Version: from.plan.version, Candidates: order}
	h.Balancer = netip.AddrPortFrom(sidecarAddr(0).Addr(), uint16(b))
	from.hints.Aim(f.now, &h, p, flow.Health{})
	for {
		u := h.Candidates[h.Current].Upstream
		f.visits++
		if !f.plan.near(u, p.Key) {
			f.crossed++
		}
		a := f.sidecars[u].Packet(f.now, &h, p)
		if _, ok := a.(flow.Forward); !ok {
			f.packets++
			return u, a
		}
	}
}

func (f *fleet) open(l *fleetFlow) {
	l.isn += 1000
	p := flow.Packet{Key: l.key, Opening: true, Sequence: l.isn}
	u, a := f.send(f.rng.IntN(len(f.balancers)), p)
	if _, ok := a.(flow.Deliver); !ok {
		l.broken = true
		f.late++
		return
	}
	f.sidecars[u].Answer(f.now, flow.Packet{Key: l.key, Opening: true, Sequence: uint32(u) << 27, Acknowledged: l.isn + 1, HasAck: true})
	_, a = f.send(f.rng.IntN(len(f.balancers)), l.segment(u))
	_, ok := a.(flow.Deliver)
	l.broken = !ok
}

// segment returns a data segment for an upstream's connection.
func (l *fleetFlow) segment(u bundle.UpstreamID) flow.Packet {
	return flow.Packet{Key: l.key, Sequence: l.isn + 1, Acknowledged: uint32(u)<<27 + 1, HasAck: true}
}

// use sends a segment of every flow, each through one balancer, and again
// through others while no sidecar takes it.
func (f *fleet) use(owners []bundle.UpstreamID) {
	const tries = 10
	for i := range f.flows {
		l := &f.flows[i]
		for range tries {
			if l.broken {
				break
			}
			_, a := f.send(f.rng.IntN(len(f.balancers)), l.segment(owners[i]))
			if _, ok := a.(flow.Deliver); ok {
				break
			}
			f.late++
			if r, ok := a.(flow.Refuse); ok && r.Reason == flow.ReasonBroken {
				f.broken++
				l.broken = true
			}
		}
	}
}

// owners returns where each flow lives.
func (f *fleet) owners() []bundle.UpstreamID {
	owners := make([]bundle.UpstreamID, len(f.flows))
	for i := range f.flows {
		for _, u := range f.order {
			if f.sidecars[u].Owns(f.flows[i].key) {
				owners[i] = u
			}
		}
	}
	return owners
}

// change publishes one planned change; about half of the processes hear of it at once.
func (f *fleet) change(n int) {
	next := f.plan.with(func(p *plan) {
		ms := p.members[fitting]
		m := ms[f.rng.IntN(len(ms))]
		switch n % 5 {
		case 0:
			m = member{upstream: bundle.UpstreamID(8 + n/5%3), weight: 1}
		case 1, 2:
			m.leaving = !m.leaving
		case 3:
			m.weight = 1 + f.rng.Uint64N(4)
		case 4:
			m.weight, m.leaving = 1, false
		}
		p.set(fitting, m)
	})
	f.plan = next
	f.startSidecars()
	f.hear(2)
}

// hear lets one of n processes take the newest plan.
func (f *fleet) hear(n int) {
	for _, b := range f.balancers {
		if f.rng.IntN(n) == 0 {
			b.plan = f.plan
		}
	}
	for _, u := range f.order {
		if f.rng.IntN(n) == 0 {
			f.sidecars[u].BundleAccepted(f.now, view{plan: f.plan, self: u})
		}
	}
}

// mean returns the sidecars that a packet visited since the last call, and the
// share of visits in another data centre.
func (f *fleet) mean() (visits, crossed float64) {
	visits = float64(f.visits) / float64(max(1, f.packets))
	crossed = float64(f.crossed) / float64(max(1, f.visits))
	f.visits, f.packets, f.crossed = 0, 0, 0
	return visits, crossed
}

// planned runs changes over flows and returns the fleet with its means.
func planned(flows, changes int, without string) (f *fleet, steady, after, crossed float64) {
	const settle = 50 * time.Second
	f = newFleet(flows, 4, without)
	owners := f.owners()
	f.mean()
	for n := range changes {
		f.change(n)
		f.run(time.Second)
		f.use(owners)
		f.hear(1)
		f.run(9 * time.Second)
		f.use(owners)
		m, _ := f.mean()
		after += m / float64(changes)
		f.run(settle)
		f.use(owners)
		m, c := f.mean()
		steady += m / float64(changes)
		crossed += c / float64(changes)
	}
	return f, steady, after, crossed
}

func TestPlannedChangesBreakNoFlow(t *testing.T) {
	f, _, _, _ := planned(2000, 40, "")
	must.Zero(t, f.broken)
}

func TestPlannedChangesBreakFlowsWithoutTheWalk(t *testing.T) {
	f, _, _, _ := planned(2000, 40, "walk")
	must.Positive(t, f.broken)
}

func BenchmarkPlannedChanges(b *testing.B) {
	for _, without := range []string{"", "hint", "walk"} {
		b.Run("without="+without, func(b *testing.B) {
			for b.Loop() {
				const flows, changes = 100_000, 200
				f, steady, after, crossed := planned(flows, changes, without)
				seconds := f.now.Sub(time.Unix(1, 0)).Seconds()
				b.ReportMetric(float64(f.broken), "broken")
				b.ReportMetric(float64(f.late), "late")
				b.ReportMetric(steady, "visits-steady")
				b.ReportMetric(after, "visits-after-change")
				b.ReportMetric(100*crossed, "%crossing")
				b.ReportMetric(float64(f.control)/seconds/float64(len(f.order)), "controlB/s/sidecar")
			}
		})
	}
}
