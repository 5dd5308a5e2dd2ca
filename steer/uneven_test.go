package steer_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

const (
	unevenUpstreams   = 40
	swing             = 0.55 // amplitude of the demand relative to its mean
	swingPeriod       = 17 * time.Second
	workSpread        = 0.5 // standard deviation of the logarithm of the work
	longShare         = 0.03
	longFactor        = 7
	workSamples       = 16 // requests in the mean that a sidecar reports as Work
	reportDelay       = 125 * time.Millisecond
	oneWayDelay       = 1400 * time.Microsecond // between data centres
	longFlowShare     = 7.0 / 9                 // of requests
	longFlowLength    = 3.5                     // mean requests
	longFlowWork      = 26 * time.Millisecond
	shortFlowWork     = 33 * time.Millisecond
	longFlowObjective = 250 * time.Millisecond
	shortObjective    = 300 * time.Millisecond
)

// meanUnevenWork is the mean time of a request at an upstream of speed 1.
func meanUnevenWork() float64 {
	mean := longFlowShare*longFlowWork.Seconds() + (1-longFlowShare)*shortFlowWork.Seconds()
	return mean * (1 + longShare*(longFactor-1))
}

// unevenConfig describes one run with upstreams of different speeds.
type unevenConfig struct {
	seed      uint64
	method    string // name of a steer.Placing, or of an alternative of the test
	balancers int
	// dataCentres is the number of data centres; 0 selects one.
	dataCentres int
	// peak is the demand at the peak of the oscillation relative to the capacity.
	peak   float64
	steady bool // no oscillation; the demand is the peak
	length time.Duration
	// alike is true when all upstreams have the same speed.
	alike bool
	// slowAt is when the first upstream becomes slowFactor times slower; 0 for never.
	slowAt     time.Duration
	slowFactor float64
	// without is the number of upstreams of the first data centre that do not run.
	without int
}

// unevenServer is an upstream with a speed, and what its sidecar measures.
type unevenServer struct {
	speed      float64
	dataCentre int
	samples    []time.Duration // the last times in a slot
	openings   int
}

// unevenResults counts requests by kind of flow; the index is 1 for flows of one request.
type unevenResults struct {
	inTime, late, shed [2]int
	// sent and sentFar count flows, and those sent to another data centre; bothWays is how
	// many of the latter went in the lesser direction of a pair within the same second.
	sent, sentFar, bothWays int
}

func (r *unevenResults) total() int {
	return r.inTime[0] + r.inTime[1] + r.late[0] + r.late[1] + r.shed[0] + r.shed[1]
}

func (r *unevenResults) share() float64 {
	return float64(r.inTime[0]+r.inTime[1]) / float64(max(1, r.total()))
}

func (r *unevenResults) shareOf(kind int) float64 {
	return float64(r.inTime[kind]) / float64(max(1, r.inTime[kind]+r.late[kind]+r.shed[kind]))
}

// unevenSimulation runs callers of two kinds against upstreams of three speeds.
type unevenSimulation struct {
	*loadSimulation
	cfg      unevenConfig
	uneven   []unevenServer
	capacity float64 // requests per second
	results  unevenResults
	statuses map[registry.Host]steer.SidecarStatus // as received by balancers
	received []registry.Host                       // since the last publication
	links    map[[2]int]int                        // flows by data centres within the second
	choose   func(balancer int, k steer.Key) int   // nil when the balancer chooses
	// affected has, by the second in which they were sent, the number of requests, and of
	// those that were late or shed at the first upstream.
	affected map[time.Duration]*[2]int
}

func simulateUneven(cfg unevenConfig) *unevenSimulation {
	cfg.dataCentres = max(1, cfg.dataCentres)
	services := make([]string, unevenUpstreams)
	for i := range services {
		services[i] = service
	}
	sim := newSimulation(0, services...)
	u := &unevenSimulation{
		cfg: cfg, uneven: make([]unevenServer, unevenUpstreams), links: make(map[[2]int]int),
		statuses: make(map[registry.Host]steer.SidecarStatus), affected: make(map[time.Duration]*[2]int),
		loadSimulation: &loadSimulation{sim: sim, random: rand.New(rand.NewPCG(cfg.seed, 11)), servers: make([]server, unevenUpstreams), start: sim.now},
	}
	placing := steer.Placing(cfg.method)
	u.choose = newAlternative(u)
	if u.choose != nil {
		placing = steer.PlaceByHash
	}
	for i := range u.uneven {
		u.startUneven(i, placing)
	}
	for i := range cfg.balancers {
		b := steer.BalancerConfig{Self: balancerHost(i), DataCentre: dataCentreName(i % cfg.dataCentres), MaxFlow: maxFlow, Placing: placing}
		sim.balancers = append(sim.balancers, steer.NewBalancer(b))
	}
	for i := range u.uneven {
		u.receive(i, u.load(i))
		u.after(time.Duration(u.random.Int64N(int64(membership.HeartbeatInterval))), func() { u.report(i) })
	}
	u.publish()
	u.after(0, u.everyTick)
	u.after(time.Second, u.everySecond)
	u.after(0, u.arrive)
	u.run(sim.now + cfg.length + 2*time.Second)
	return u
}

func dataCentreName(i int) string { return []string{near, far, "third"}[i] }

func (u *unevenSimulation) startUneven(i int, placing steer.Placing) {
	s := &u.uneven[i]
	s.speed = []float64{0.7, 0.7, 1.7}[i%3]
	if u.cfg.alike {
		s.speed = 1
	}
	if u.cfg.dataCentres > 1 {
		switch {
		case i >= 27:
			s.dataCentre = 2
		case i >= 14:
			s.dataCentre = 1
		}
	}
	in := u.sim.instances[i]
	in.sidecar = steer.NewSidecar(steer.SidecarConfig{Self: in.host, DataCentre: dataCentreName(s.dataCentre), Service: service, MaxFlow: maxFlow, Placing: placing})
	e := u.sim.entry(i, false)
	e.DataCentre = dataCentreName(s.dataCentre)
	u.sim.publish(i, e)
	if i < u.cfg.without {
		in.running = false
		u.sim.publish(i, nil)
		return
	}
	u.capacity += slots * s.speed / meanUnevenWork()
}

// rate returns the requests per second of a data centre.
func (u *unevenSimulation) rate(dataCentre int) float64 {
	peak := u.cfg.peak * u.capacity / float64(u.cfg.dataCentres)
	if u.cfg.steady {
		return peak
	}
	phase := 2*math.Pi*float64(u.sim.now-u.start)/float64(swingPeriod) + 0.3*float64(dataCentre)
	return peak * (1 + swing*math.Sin(phase)) / (1 + swing)
}

// arrive opens a flow and schedules the next one.
func (u *unevenSimulation) arrive() {
	if u.sim.now-u.start >= u.cfg.length {
		return
	}
	rates, sum := make([]float64, u.cfg.dataCentres), 0.0
	for i := range rates {
		rates[i] = u.rate(i)
		sum += rates[i]
	}
	flows := sum * (longFlowShare/longFlowLength + 1 - longFlowShare)
	u.after(u.randomDelay(time.Duration(float64(time.Second)/flows)), u.arrive)
	from, x := 0, u.random.Float64()*sum
	for x > rates[from] && from < len(rates)-1 {
		x -= rates[from]
		from++
	}
	b := from + u.cfg.dataCentres*u.random.IntN((u.cfg.balancers-from-1)/u.cfg.dataCentres+1)
	kind, n := 1, 1
	if u.random.Float64() < longFlowShare/longFlowLength/(longFlowShare/longFlowLength+1-longFlowShare) {
		kind, n = 0, 3+u.random.IntN(2)
	}
	u.openUneven(b, kind, n)
}

// openUneven opens a flow of n requests.
func (u *unevenSimulation) openUneven(b, kind, n int) {
	k := flowKey(u.nextFlow)
	u.nextFlow++
	var at int
	if u.choose == nil {
		at = u.sim.send(b, opening(k))
	} else {
		i := u.choose(b, k)
		h := steer.Header{Balancer: balancerHost(b), Service: registry.HashService(service), Version: 1}
		at = u.sim.execute(&steer.Forward{Host: u.sim.instances[i].host, Header: h}, opening(k))
	}
	if at < 0 {
		u.results.shed[kind]++
		return
	}
	u.uneven[at].openings++
	u.countLink(b%u.cfg.dataCentres, u.uneven[at].dataCentre)
	u.sim.deliverNotices()
	u.requestUneven(b, k, at, kind, 0, n)
}

func (u *unevenSimulation) countLink(from, to int) {
	u.results.sent++
	if from != to {
		u.results.sentFar++
		u.links[[2]int{from, to}]++
	}
}

// everySecond counts the flows that two data centres sent to each other, and expires
// flows.
func (u *unevenSimulation) everySecond() {
	for link, n := range u.links {
		if link[0] < link[1] {
			u.results.bothWays += min(n, u.links[[2]int{link[1], link[0]}])
		}
	}
	clear(u.links)
	for _, s := range u.sim.instances {
		s.sidecar.Expire(u.sim.now)
	}
	u.after(time.Second, u.everySecond)
}

// requestUneven sends request i of n of a flow, and schedules the next one after its
// answer.
func (u *unevenSimulation) requestUneven(b int, k steer.Key, at, kind, i, n int) {
	p := u.sim.request(k, at)
	p.Sequence += uint32(i * p.Data)
	if i == n {
		p.Flags |= steer.RST
		u.sim.send(b, p)
		return
	}
	u.sim.send(b, p)
	sent, d := u.sim.now, &u.servers[at]
	next := func() {
		u.after(u.randomDelay(meanThinkTime), func() { u.requestUneven(b, k, at, kind, i+1, n) })
	}
	work := u.drawWork(kind)
	run := func() {
		d.busy++
		took := u.timeAt(at, work)
		u.after(took, func() {
			u.sample(at, took)
			u.finishUneven(b, k, at, kind, sent)
			next()
		})
	}
	switch {
	case d.busy < slots:
		run()
	case len(d.queue) < maxQueue:
		d.queue = append(d.queue, run)
	default:
		u.results.shed[kind]++
		u.countAffected(sent, at == 0)
		u.sim.instances[at].sidecar.FromUpstream(u.sim.now, reply(k, steer.ACK, 1, 100))
		next()
	}
}

func (u *unevenSimulation) drawWork(kind int) time.Duration {
	work := longFlowWork
	if kind == 1 {
		work = shortFlowWork
	}
	f := math.Exp(workSpread*u.random.NormFloat64() - workSpread*workSpread/2)
	if u.random.Float64() < longShare {
		f *= longFactor
	}
	return time.Duration(f * float64(work))
}

// timeAt returns the time that work takes at an upstream.
func (u *unevenSimulation) timeAt(at int, work time.Duration) time.Duration {
	return time.Duration(float64(work) / u.speedOf(at))
}

// speedOf returns the present speed of an upstream.
func (u *unevenSimulation) speedOf(at int) float64 {
	if at == 0 && u.cfg.slowAt > 0 && u.sim.now-u.start >= u.cfg.slowAt {
		return u.uneven[at].speed / u.cfg.slowFactor
	}
	return u.uneven[at].speed
}

func (u *unevenSimulation) sample(at int, took time.Duration) {
	s := &u.uneven[at]
	s.samples = append(s.samples, took)
	if len(s.samples) > workSamples {
		s.samples = s.samples[1:]
	}
}

// finishUneven answers a request and starts the next one in the queue.
func (u *unevenSimulation) finishUneven(b int, k steer.Key, at, kind int, sent time.Duration) {
	d := &u.servers[at]
	d.busy--
	u.sim.instances[at].sidecar.FromUpstream(u.sim.now, reply(k, steer.ACK, 1, 900))
	took := u.sim.now - sent
	if b%u.cfg.dataCentres != u.uneven[at].dataCentre {
		took += 2 * oneWayDelay
	}
	inTime := took <= []time.Duration{longFlowObjective, shortObjective}[kind]
	if inTime {
		u.results.inTime[kind]++
	} else {
		u.results.late[kind]++
	}
	u.countAffected(sent, at == 0 && !inTime)
	if len(d.queue) > 0 {
		next := d.queue[0]
		d.queue = d.queue[1:]
		next()
	}
}

// countAffected counts a request by the second in which it was sent.
func (u *unevenSimulation) countAffected(sent time.Duration, affected bool) {
	second := (sent - u.start).Truncate(time.Second)
	if u.affected[second] == nil {
		u.affected[second] = new([2]int)
	}
	u.affected[second][0]++
	if affected {
		u.affected[second][1]++
	}
}

// load returns the load that a sidecar reports.
func (u *unevenSimulation) load(i int) membership.Load {
	l := u.sim.instances[i].sidecar.Load(u.sim.now, u.servers[i].meanActive)
	s := &u.uneven[i]
	if len(s.samples) < 4 {
		return l
	}
	sum := time.Duration(0)
	for _, took := range s.samples {
		sum += took
	}
	l.Work = int(sum / time.Duration(len(s.samples)) / (100 * time.Microsecond))
	return l
}

// report sends the load of an upstream, which arrives after reportDelay.
func (u *unevenSimulation) report(i int) {
	l, sent := u.load(i), u.sim.now
	u.after(reportDelay, func() {
		u.receive(i, l)
		s := u.statuses[u.sim.instances[i].host]
		s.LastSeen = sent
		u.statuses[u.sim.instances[i].host] = s
	})
	u.after(membership.HeartbeatInterval, func() { u.report(i) })
}

func (u *unevenSimulation) receive(i int, l membership.Load) {
	h := u.sim.instances[i].host
	u.statuses[h] = steer.SidecarStatus{DataCentre: dataCentreName(u.uneven[i].dataCentre), Load: l, LastSeen: u.sim.now, HeartbeatTimeout: membership.LocalHeartbeatTimeout + reportDelay}
	u.received = append(u.received, h)
}

// everyTick publishes the reports received.
func (u *unevenSimulation) everyTick() {
	for i := range u.servers {
		d := &u.servers[i]
		d.meanActive += (1000*u.sim.instances[i].sidecar.Active() - d.meanActive) / 20
	}
	u.publish()
	u.after(50*time.Millisecond, u.everyTick)
}

func (u *unevenSimulation) publish() {
	balancers := (u.cfg.balancers + u.cfg.dataCentres - 1) / u.cfg.dataCentres
	f := &steer.Fleet{Snapshot: u.sim.directory.Snapshot(u.sim.now), Sidecars: make(map[registry.Host]steer.SidecarStatus), LiveBalancers: balancers, Settled: true}
	for h, s := range u.statuses {
		f.Sidecars[h] = s
	}
	for _, b := range u.sim.balancers {
		b.SetFleet(f)
		for _, h := range u.received {
			b.LoadUpdated(h)
		}
	}
	for _, s := range u.sim.instances {
		s.sidecar.SetFleet(f)
	}
	u.received = u.received[:0]
}

// TestPlacementUnevenSpeeds runs upstreams of three speeds with each method, and prints
// the shares in time. It guards against placement that gives slow upstreams as many flows
// as fast ones, and against balancers that all place flows on the same upstreams.
func TestPlacementUnevenSpeeds(t *testing.T) {
	t.Parallel()
	methods := []string{"hash", "two", "load", twoByCompletion, leastByCompletion, leastTiesByHash, sampleOfThree, "time", oracle}
	shares := make(map[string]float64)
	for _, method := range methods {
		r := &simulateUneven(unevenConfig{seed: 5, method: method, balancers: 19, peak: 0.95, length: swingPeriod}).results
		shares[method] = r.share()
		t.Logf("%-30s %.4f in time, long flows %.4f, short %.4f, shed %d of %d", method, r.share(), r.shareOf(0), r.shareOf(1), r.shed[0]+r.shed[1], r.total())
	}
	must.GreaterEq(t, 0.98*shares[oracle], shares["time"])
	for _, method := range []string{"hash", "two", "load"} {
		must.GreaterEq(t, shares[method], shares["time"], must.Sprint(method))
	}
}

// TestPlacementManyBalancers guards against herding with more balancers that see the same
// reports.
func TestPlacementManyBalancers(t *testing.T) {
	t.Parallel()
	for _, balancers := range []int{1, 6, 25} {
		r := &simulateUneven(unevenConfig{seed: 6, method: "time", balancers: balancers, peak: 0.95, length: swingPeriod}).results
		best := &simulateUneven(unevenConfig{seed: 6, method: oracle, balancers: balancers, peak: 0.95, length: swingPeriod}).results
		t.Logf("%d balancers: %.4f in time, oracle %.4f, shed %d of %d", balancers, r.share(), best.share(), r.shed[0]+r.shed[1], r.total())
		must.GreaterEq(t, 0.98*best.share(), r.share(), must.Sprint(balancers))
	}
}

// TestPlacementAcrossDataCentres guards against data centres that keep their flows while
// others have free upstreams, and against such that send flows to each other.
func TestPlacementAcrossDataCentres(t *testing.T) {
	t.Parallel()
	for _, without := range []int{0, 5} {
		shares := make(map[string]float64)
		for _, method := range []string{"load", "time", oracle} {
			r := &simulateUneven(unevenConfig{seed: 7, method: method, balancers: 19, dataCentres: 3, peak: 0.95, length: swingPeriod, without: without}).results
			shares[method] = r.share()
			t.Logf("without %d, %-6s %.4f in time, shed %d of %d, %d of %d flows far, %d both ways", without, method, r.share(), r.shed[0]+r.shed[1], r.total(), r.sentFar, r.sent, r.bothWays)
			if method == "time" {
				must.LessEq(t, 0.02*float64(r.sentFar), float64(r.bothWays), must.Sprint("without ", without))
			}
		}
		must.GreaterEq(t, 0.97*shares[oracle], shares["time"], must.Sprint("without ", without))
	}
}

// TestPlacementOneSlow guards against placement that keeps sending flows to an upstream
// that became five times slower.
func TestPlacementOneSlow(t *testing.T) {
	t.Parallel()
	const slowAt = 4 * time.Second
	for _, alike := range []bool{true, false} {
		for _, method := range []string{"load", "time"} {
			u := simulateUneven(unevenConfig{seed: 8, method: method, balancers: 19, peak: 0.8, steady: true, length: slowAt + 7*time.Second, alike: alike, slowAt: slowAt, slowFactor: 5})
			var all, affected int
			for at, n := range u.affected {
				if at >= slowAt+time.Second {
					all, affected = all+n[0], affected+n[1]
				}
			}
			share := float64(affected) / float64(max(1, all))
			t.Logf("alike %t, %s: %.4f of %d requests were late or shed at the slow upstream", alike, method, share, all)
			if method == "time" {
				must.LessEq(t, 0.01, share, must.Sprint("alike ", alike))
			}
		}
	}
}
