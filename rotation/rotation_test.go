package rotation_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/rotation"
	"github.com/shoenig/test/must"
)

const (
	step           = 100 * time.Millisecond
	heartbeatDelay = 250 * time.Millisecond // age of what a balancer has heard of the others
	routerDelay    = time.Second            // two readiness checks
)

// balancer is one balancer of the simulated data centre.
type balancer struct {
	host     registry.Host
	link     int // kbit/s
	alive    bool
	rotation rotation.Rotation
	traffic  float64              // moving average in kbit/s
	reports  []membership.Ingress // by step
	standbys []bool               // by step
}

func (b *balancer) report() membership.Ingress {
	return membership.Ingress{Link: b.link, Traffic: int(b.traffic), Standby: b.rotation.Standby()}
}

// reportAt returns the report of a number of steps ago.
func (b *balancer) reportAt(steps int) membership.Ingress {
	return b.reports[max(0, len(b.reports)-1-steps)]
}

// dataCentre plays routers that give equal shares of the traffic to all balancers that are
// ready, and to all when fewer than half are.
type dataCentre struct {
	now       time.Duration
	balancers []*balancer
	changes   int           // how often a balancer changed its decision
	overload  time.Duration // sum over balancers of the time with more traffic than their links carry
}

func newDataCentre(links ...int) *dataCentre {
	d := &dataCentre{now: time.Hour}
	for i, link := range links {
		d.balancers = append(d.balancers, &balancer{host: registry.Host{10, 0, 0, byte(i + 1)}, link: link, alive: true})
	}
	return d
}

// inRotation reports which balancers the routers use.
func (d *dataCentre) inRotation() []*balancer {
	const steps = int(routerDelay / step)
	ready := slices.DeleteFunc(slices.Clone(d.balancers), func(b *balancer) bool {
		return !b.alive || len(b.standbys) > steps && b.standbys[len(b.standbys)-1-steps]
	})
	if 2*len(ready) < len(d.balancers) {
		return d.balancers
	}
	return ready
}

// run plays traffic, in kbit/s at a time since the start of the run, for a length of time.
func (d *dataCentre) run(length time.Duration, traffic func(time.Duration) float64) {
	const weight = float64(step) / float64(time.Second)
	for since := time.Duration(0); since < length; since += step {
		d.now += step
		used := d.inRotation()
		for _, b := range d.balancers {
			share := 0.0
			if b.alive && slices.Contains(used, b) {
				share = traffic(since) / float64(len(used))
			}
			if share > float64(b.link) {
				d.overload += step
			}
			b.traffic += weight * (min(share, float64(b.link)) - b.traffic)
			b.reports = append(b.reports, b.report())
			b.standbys = append(b.standbys, b.rotation.Standby())
		}
		for _, b := range d.balancers {
			d.update(b)
		}
	}
}

func (d *dataCentre) update(b *balancer) {
	if !b.alive {
		return
	}
	var peers []rotation.Peer
	for _, p := range d.balancers {
		if p != b {
			peers = append(peers, rotation.Peer{Host: p.host, Ingress: p.reportAt(int(heartbeatDelay / step)), Alive: p.alive})
		}
	}
	if b.rotation.Update(d.now, rotation.Peer{Host: b.host, Ingress: b.report(), Alive: true}, peers) {
		d.changes++
	}
}

func (d *dataCentre) standbys() (hosts []byte) {
	for _, b := range d.balancers {
		if b.rotation.Standby() {
			hosts = append(hosts, b.host[3])
		}
	}
	return hosts
}

// wave returns traffic that oscillates by 55% around a mean in kbit/s.
func wave(mean float64) func(time.Duration) float64 {
	return func(since time.Duration) float64 {
		return mean * (1 + 0.55*math.Sin(2*math.Pi*since.Seconds()/17))
	}
}

// TestSmallLinksStandByBeforeTheyAreFull plays uploads whose share is more than the small
// links carry at the crest. It guards against links that stay saturated while larger ones
// are idle, and against balancers that leave and return with each wave.
func TestSmallLinksStandByBeforeTheyAreFull(t *testing.T) {
	d := newDataCentre(200_000, 200_000, 28_000, 10_000, 10_000)
	d.run(51*time.Second, wave(37_000))
	must.Eq(t, []byte{4, 5}, d.standbys())
	must.Eq(t, 2, d.changes)
	// The same without standby: each small link is overloaded for a third of the time.
	must.LessEq(t, 2*time.Second, d.overload)
}

// TestSmallLinksReturn guards against balancers that stand by for good after a peak.
func TestSmallLinksReturn(t *testing.T) {
	d := newDataCentre(200_000, 200_000, 28_000, 10_000, 10_000)
	d.run(5*time.Second, wave(45_000))
	must.Eq(t, []byte{4, 5}, d.standbys())
	d.run(20*time.Second, wave(8_000))
	must.SliceEmpty(t, d.standbys())
}

// TestNobodyStandsByAmongEqualLinks guards against a change where all instances are alike,
// however full their links are, and where the capacity of a link is not known.
func TestNobodyStandsByAmongEqualLinks(t *testing.T) {
	for name, links := range map[string][]int{
		"equal":   {10_000, 10_000, 10_000, 10_000},
		"similar": {10_000, 10_000, 18_000, 18_000},
		"unknown": {0, 0, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDataCentre(links...)
			d.run(20*time.Second, wave(80_000))
			must.SliceEmpty(t, d.standbys())
		})
	}
}

// TestNobodyStandsByWhereThatDoesNotHelp guards against a data centre with so many small
// links that the ones which stay would become saturated in place of those that stand by.
func TestNobodyStandsByWhereThatDoesNotHelp(t *testing.T) {
	d := newDataCentre(200_000, 200_000, 28_000, 10_000, 10_000, 10_000, 10_000, 10_000)
	d.run(20*time.Second, wave(38_000))
	must.SliceEmpty(t, d.standbys())
}

// TestStandbysReturnWhenOthersFail guards against a data centre that loses its large
// balancers while the small ones stand by, so that too few are left for the routers.
func TestStandbysReturnWhenOthersFail(t *testing.T) {
	d := newDataCentre(200_000, 200_000, 28_000, 10_000, 10_000)
	d.run(5*time.Second, wave(45_000))
	must.Eq(t, []byte{4, 5}, d.standbys())
	d.balancers[0].alive = false
	d.run(step, wave(45_000))
	must.SliceEmpty(t, d.standbys(), must.Sprint("only one of the small links may stand by, and the other one would be saturated"))
}

// TestOneMoreSmallLink guards against a balancer that joins and becomes saturated while
// the other small ones stand by.
func TestOneMoreSmallLink(t *testing.T) {
	d := newDataCentre(200_000, 200_000, 28_000, 10_000, 10_000, 10_000)
	d.run(5*time.Second, wave(37_000))
	must.Eq(t, []byte{4, 5, 6}, d.standbys())
}

// TestAtMostHalfStandBy guards against more balancers out of rotation than the routers
// accept, for every number of small and large ones.
func TestAtMostHalfStandBy(t *testing.T) {
	for large := 1; large <= 6; large++ {
		for small := range 9 {
			links := slices.Repeat([]int{200_000}, large)
			links = append(links, slices.Repeat([]int{10_000}, small)...)
			d := newDataCentre(links...)
			d.run(10*time.Second, wave(8_000*float64(len(links))))
			must.LessEq(t, len(links)/2, len(d.standbys()))
		}
	}
}
