package exchange_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/corianderbay/corianderbay/exchange"
	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/shoenig/test/must"
)

const (
	upgradeBalancers = 2 // in each data centre
	upgradeSidecars  = 3 // in each data centre
	// rejoinTime is the time within which a restarted process is in use everywhere again:
	// one heartbeat to a delegate, one digest to the other data centre, and one to its sidecars.
	rejoinTime = 2 * time.Second
	// enforceTime is the time within which a change is in force everywhere.
	enforceTime = 3 * time.Second
	// absenceTime is the time within which a killed sidecar is absent in its data centre. Its
	// flows are reset 350 ms later, within 1.3 s of its end.
	absenceTime = 950 * time.Millisecond
)

// member is a process of an upgrade.
type member struct {
	*process
	number     int
	role       membership.Role
	dataCentre string
	format     membership.Format
	running    bool
}

// upgrade is a fleet whose processes are restarted with other builds.
type upgrade struct {
	t       *testing.T
	rand    *rand.Rand
	net     *simulatedNet
	store   *memoryStore
	version uint64
	starts  uint64
	members []*member
	// slowest is the longest time until a restarted process was in use everywhere.
	slowest    time.Duration
	slowestLog string
	// slowestLoss is the longest time until a killed sidecar was absent in its data centre.
	slowestLoss time.Duration
}

func newUpgrade(t *testing.T, seed uint64) *upgrade {
	u := &upgrade{t: t, rand: rand.New(rand.NewPCG(seed, 4)), net: newSimulatedNet(seed), store: new(memoryStore)}
	u.net.offerLoss = []float64{0, 0.5, 0.75}[u.rand.IntN(3)]
	for i, dataCentre := range []string{"a", "b"} {
		for n := range upgradeBalancers {
			u.members = append(u.members, &member{number: 1 + 10*i + n, role: membership.Balancer, dataCentre: dataCentre})
		}
		for n := range upgradeSidecars {
			u.members = append(u.members, &member{number: 101 + 10*i + n, role: membership.Sidecar, dataCentre: dataCentre})
		}
	}
	u.publish()
	return u
}

// publish writes a new version of the routes and the list.
func (u *upgrade) publish() {
	u.version++
	var hosts []registry.Host
	for _, m := range u.members {
		if m.role == membership.Sidecar {
			hosts = append(hosts, hostOf(m.number))
		}
	}
	u.store.set(u.version, hosts...)
	u.store.mu.Lock()
	defer u.store.mu.Unlock()
	for i := range u.store.content.Changes {
		c := &u.store.content.Changes[i]
		if c.Upstream.Address.Host[3] > 110 {
			c.Upstream.DataCentre = "b"
		}
	}
}

// start starts a member with a build.
func (u *upgrade) start(m *member, f membership.Format) {
	u.starts++
	m.format, m.running = f, true
	m.process = startWith(u.t, m.dataCentre, m.number, m.role, u.store, 0, func(cfg exchange.Config) exchange.Config {
		cfg.Incarnation = uint64(u.rand.Uint32())<<16 + u.starts
		cfg.Seeds = []registry.Host{hostOf(1), hostOf(2)}
		cfg.Load = func(time.Duration) membership.Load { return membership.Load{Flows: m.number, Work: 10 * m.number} }
		return cfg.WithNewest(f).WithNetwork(u.net)
	})
}

// restart replaces the build of a member, and checks that it is in use again in time. A
// killed sidecar must become absent first.
func (u *upgrade) restart(m *member, f membership.Format, kill bool) {
	if !kill {
		m.node.Stop(u.t.Context())
		time.Sleep(100 * time.Millisecond)
	}
	m.stop()
	m.wait()
	m.running = false
	u.checkLogs(m)
	gap := 300 * time.Millisecond
	if kill && m.role == membership.Sidecar {
		u.slowestLoss = max(u.slowestLoss, u.awaitAbsent(m))
	}
	time.Sleep(gap)
	u.start(m, f)
	began, lacking := time.Now(), ""
	for missing := u.missing(m); missing != ""; missing = u.missing(m) {
		lacking = missing
		must.Less(u.t, rejoinTime, time.Since(began), must.Sprintf("restart of %s with version %d: %s", hostOf(m.number), f, missing))
		u.pause(10 * time.Millisecond)
	}
	if d := time.Since(began); d > u.slowest {
		u.slowest, u.slowestLog = d, fmt.Sprintf("%s with version %d: %s", hostOf(m.number), f, lacking)
	}
	u.pause(time.Duration(u.rand.IntN(3000)) * time.Millisecond)
}

// awaitAbsent returns the time after which a killed sidecar is absent at all balancers of
// its data centre.
func (u *upgrade) awaitAbsent(m *member) time.Duration {
	began := time.Now()
	for _, b := range u.members {
		for b.running && b.role == membership.Balancer && b.dataCentre == m.dataCentre && b.absentSince(hostOf(m.number)) == 0 {
			must.Less(u.t, rejoinTime, time.Since(began), must.Sprintf("%s still counts on %s, which was killed", hostOf(b.number), hostOf(m.number)))
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(began)
}

// missing returns what a restarted member and the others lack of each other; empty if nothing.
func (u *upgrade) missing(m *member) string {
	for _, o := range u.members {
		if o == m || !o.running {
			continue
		}
		switch {
		case !u.sees(o, m):
			return fmt.Sprintf("%s (version %d) does not see it", hostOf(o.number), o.format)
		case !u.sees(m, o):
			return fmt.Sprintf("it does not see %s (version %d)", hostOf(o.number), o.format)
		case m.version() < o.version():
			return fmt.Sprintf("it has version %d, and %s version %d", m.version(), hostOf(o.number), o.version())
		case m.node.Status().Evacuated != o.node.Status().Evacuated:
			return fmt.Sprintf("it differs from %s in evacuations", hostOf(o.number))
		}
	}
	return ""
}

// sees reports whether a process counts another one as alive.
func (u *upgrade) sees(by, other *member) bool {
	if other.role == membership.Sidecar {
		return by.isAlive(hostOf(other.number))
	}
	for _, h := range by.node.BalancersNear(hostOf(other.number)) {
		if h == hostOf(other.number) {
			return true
		}
	}
	return false
}

// pause lets time pass, and checks that no running sidecar becomes absent or ended.
func (u *upgrade) pause(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, by := range u.members {
			for _, s := range u.members {
				if by.running && s.running && s.role == membership.Sidecar && u.settled(s) {
					must.Zero(u.t, by.absentSince(hostOf(s.number)), must.Sprintf("%s gives up %s, which is running", hostOf(by.number), hostOf(s.number)))
				}
			}
		}
	}
}

// settled reports whether a member has run for longer than a process is absent after its
// previous incarnation was killed.
func (u *upgrade) settled(m *member) bool {
	return m.node != nil && m.age() > rejoinTime
}

// checkLogs checks that a member could read all that it received, and that no pull failed
// but for a peer that was not running.
func (u *upgrade) checkLogs(m *member) {
	for line := range strings.Lines(m.log.String()) {
		for _, bad := range []string{"datagram-unusable", "peer-unreadable"} {
			must.StrNotContains(u.t, line, bad)
		}
		if strings.Contains(line, "pull-failed") {
			must.StrContains(u.t, line, "connection refused", must.Sprintf("in the log of %s", hostOf(m.number)))
		}
	}
}

// absentSince returns the time since which the view of a process has a sidecar as absent.
func (p *process) absentSince(h registry.Host) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fleet == nil {
		return 0
	}
	return p.fleet.Sidecars[h].AbsentSince
}

// age returns the time since the process was started.
func (p *process) age() time.Duration { return time.Since(p.started) }

// awaitAll waits until all running members have the newest version.
func (u *upgrade) awaitAll() {
	began := time.Now()
	for _, m := range u.members {
		for m.running && m.version() != u.version {
			if time.Since(began) > enforceTime {
				u.t.Fatalf("%s (version %d) has no routes %d after %v", hostOf(m.number), m.format, u.version, enforceTime)
			}
			u.pause(20 * time.Millisecond)
		}
	}
}

// disturb draws what goes on during the upgrade, and returns a function that ends it.
func (u *upgrade) disturb() (end func()) {
	switch u.rand.IntN(4) {
	case 0:
		u.store.setDown(true)
		return func() { u.store.setDown(false) }
	case 1:
		u.store.mu.Lock()
		u.store.content.State = registry.State{Era: u.store.content.State.Era + 1, Revision: 1}
		for i := range u.store.content.Changes {
			u.store.content.Changes[i].Revision = 1
		}
		u.store.mu.Unlock()
		return func() {}
	case 2:
		u.publish()
		u.store.mu.Lock()
		u.store.content.Evacuations = []registry.EvacuationChange{{DataCentre: "b", Revision: u.version, Status: registry.EvacuationActive}}
		u.store.mu.Unlock()
		return u.publish
	}
	return func() {}
}

// roll restarts members with a build, one at a time, in random order.
func (u *upgrade) roll(f membership.Format, count int) {
	order := u.rand.Perm(len(u.members))
	for _, i := range order[:count] {
		u.restart(u.members[i], f, u.rand.IntN(4) == 0)
	}
}

// run rolls the fleet from one build to another, back halfway, and forth again.
func (u *upgrade) run(from, to membership.Format) {
	for _, m := range u.members {
		f := from
		if u.rand.IntN(4) == 0 {
			f = to
		}
		u.start(m, f)
	}
	u.pause(5 * time.Second)
	u.awaitAll()
	end := u.disturb()
	u.pause(time.Second)
	u.roll(to, len(u.members)/2)
	u.roll(from, len(u.members)/2)
	end()
	u.pause(5 * time.Second)
	u.publishNext()
	u.awaitAll()
	u.roll(to, len(u.members))
	u.publishNext()
	u.awaitAll()
	for _, m := range u.members {
		u.checkLogs(m)
	}
}

// publishNext publishes a version in the present era.
func (u *upgrade) publishNext() {
	u.store.mu.Lock()
	era := u.store.content.State.Era
	u.store.mu.Unlock()
	u.publish()
	u.store.mu.Lock()
	defer u.store.mu.Unlock()
	u.store.content.State.Era = era
}

// awaitFields waits until new fields are known between processes of version 2. They must
// not be known anywhere else.
func (u *upgrade) awaitFields() {
	const limit = time.Minute // most offers may be lost
	began := time.Now()
	for _, by := range u.members {
		for _, s := range u.members {
			if s.role != membership.Sidecar || s == by {
				continue
			}
			if by.format < membership.Format2 || s.format < membership.Format2 {
				must.Zero(u.t, by.work(hostOf(s.number)), must.Sprintf("%s of version %d at %s of version %d", hostOf(s.number), s.format, hostOf(by.number), by.format))
				continue
			}
			for by.work(hostOf(s.number)) != 10*s.number {
				must.Less(u.t, limit, time.Since(began), must.Sprintf("%s lacks the work of %s", hostOf(by.number), hostOf(s.number)))
				u.pause(100 * time.Millisecond)
			}
		}
	}
}

// work returns the work that the view of a process has for a sidecar.
func (p *process) work(h registry.Host) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fleet.Sidecars[h].Load.Work
}

// TestUpgradesInVirtualTime guards against processes that lose sight of each other, fall
// behind, or cannot read what they receive while builds are replaced one at a time by
// signals and kills and rolled back halfway, with lost offers of versions, with the store
// unavailable or in a new era.
func TestUpgradesInVirtualTime(t *testing.T) {
	one, two := membership.Format1, membership.Format2
	for seed := range uint64(*upgradeSeeds) {
		for name, builds := range map[string][2]membership.Format{"plain": {one, one}, "up": {one, two}, "down": {two, one}} {
			t.Run(fmt.Sprint(name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					u := newUpgrade(t, seed)
					u.run(builds[0], builds[1])
					u.awaitFields()
					t.Logf("slowest restart %v (%s); slowest loss %v", u.slowest, u.slowestLog, u.slowestLoss)
				})
			})
		}
	}
}

// TestKilledSidecarsAreAbsentDuringUpgrades guards against flows that are reset later than 1.3 s
// after the end of their sidecar. It kills sidecars of processes of one version at random times.
func TestKilledSidecarsAreAbsentDuringUpgrades(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newUpgrade(t, 1)
		for _, m := range u.members {
			u.start(m, membership.Format2)
		}
		u.pause(5 * time.Second)
		for range 20 {
			for _, m := range u.members {
				if m.role == membership.Sidecar {
					u.restart(m, membership.Format2, true)
				}
			}
		}
		must.LessEq(t, absenceTime, u.slowestLoss)
	})
}

var upgradeSeeds = flag.Int("upgrade.seeds", 3, "number of seeds that TestUpgradesInVirtualTime runs")
