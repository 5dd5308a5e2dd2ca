package edge_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

const (
	// maxAtOnce is the largest number of processes that a roll restarts at the same time.
	maxAtOnce = 4
	// maxRollGap is the longest pause between two steps of a roll.
	maxRollGap = 1500 * time.Millisecond
)

// scaledDeployments are deployments in which troubles concern several machines at once.
var scaledDeployments = []deployment{
	{
		balancers: []int{9, 6, 6}, upstreamsA: []int{9, 6, 6}, upstreamsB: []int{3, 3, 3}, callers: 12,
		heartbeat: 1200 * time.Millisecond, flowTime: 30 * time.Second, maxMachines: 72,
	},
}

// The troubles that concern shares of the machines.
var (
	sharedPlans = []trouble{
		{4, rollShare}, {4, rollBalancersTogether}, {4, rollSidecarsTogether}, {3, releaseShare}, {2, addBalancers}, {1, removeBalancers}, {1, changeRoutes},
	}
	sharedFaults = []trouble{
		{3, killShare},
		{3, freezeShare},
		{3, cutShare},
		{2, slowShare},
		{3, silenceShare},
		{2, revokeEntries},
		{1, revokeDataCentre},
		{1, loseStore},
		{1, lapseEntries},
		{1, stepClocks},
		{1, cutDataCentres},
	}
)

// TestFlowsStayInPlannedWorkAtScale guards against resets of open flows, and packets that reach
// other upstreams only, while several processes restart at the same time.
func TestFlowsStayInPlannedWorkAtScale(t *testing.T) {
	playSeedsOn(t, scaledDeployments, (*world).disturbPlannedShares)
}

// TestFlowsStayInSharedTroubles is like TestFlowsStayInPlannedWorkAtScale, with disruptions of
// shares of the machines beside planned work.
func TestFlowsStayInSharedTroubles(t *testing.T) {
	playSeedsOn(t, scaledDeployments, (*world).disturbShares)
}

// disturbPlannedShares draws planned work for a time, while callers move.
func (w *world) disturbPlannedShares(d time.Duration) {
	w.disturbWith(d, sharedPlans, moves[:1])
}

// disturbShares draws planned work and disruptions for a time, while callers move.
func (w *world) disturbShares(d time.Duration) {
	w.disturbWith(d, sharedPlans, sharedFaults, moves)
}

// disturbWith draws a trouble of each list in turn for a time.
func (w *world) disturbWith(d time.Duration, lists ...[]trouble) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		for _, list := range lists {
			w.draw(list)
			time.Sleep(time.Duration(w.rand.IntN(1000)) * time.Millisecond)
		}
		time.Sleep(time.Duration(w.rand.IntN(2500)) * time.Millisecond)
	}
}

// own returns draws for a part of a trouble that runs beside others.
func (d draws) own() draws {
	return draws{rand.New(rand.NewPCG(d.Uint64(), 4))}
}

// claimShare claims up to a share of the machines that match, and at least one.
func (w *world) claimShare(d draws, share float64, match func(m *machine) bool) []*machine {
	n := max(1, int(share*float64(len(w.list(match)))))
	var list []*machine
	for range n {
		m := w.claim(d, match)
		if m == nil {
			break
		}
		list = append(list, m)
	}
	return list
}

// share draws a share of the machines.
func (d draws) share(least, most float64) float64 {
	return least + (most-least)*d.Float64()
}

func rollShare(w *world, d draws)             { w.rollTogether(d, anyMachine) }
func rollBalancersTogether(w *world, d draws) { w.rollTogether(d, isBalancer) }
func rollSidecarsTogether(w *world, d draws)  { w.rollTogether(d, hasUpstream) }

// rollTogether restarts a share of the machines that match, several at the same time.
func (w *world) rollTogether(d draws, match func(m *machine) bool) {
	share, atOnce, gap := d.share(0.3, 1), 1+d.IntN(maxAtOnce), d.between(0, maxRollGap)
	w.check.note("roll of a share of %.2f, %d at once, %v apart", share, atOnce, gap)
	n := int(share * float64(len(w.list(match))))
	for i := 0; i < n; i++ {
		m := w.claim(d, match)
		if m == nil {
			return
		}
		w.restartBeside(m, d.pause())
		if i%atOnce == atOnce-1 {
			time.Sleep(gap)
		}
	}
}

// releaseShare replaces several upstreams at the same time.
func releaseShare(w *world, d draws) {
	for range 1 + d.IntN(maxAtOnce) {
		w.beside(d.own(), replaceUpstream)
	}
}

func addBalancers(w *world, d draws) {
	for range 1 + d.IntN(maxAtOnce) {
		addBalancer(w, d)
	}
}

func removeBalancers(w *world, d draws) {
	for range 1 + d.IntN(maxAtOnce) {
		w.beside(d.own(), removeBalancer)
	}
}

// ofShare applies a trouble to each machine of a share at the same time.
func (w *world) ofShare(d draws, most float64, match func(m *machine) bool, apply func(d draws, m *machine)) {
	for _, m := range w.claimShare(d, d.share(0.05, most), match) {
		own := d.own()
		w.troubles.Go(func() {
			defer w.release(m)
			apply(own, m)
		})
	}
}

// killShare kills the processes of a share of the machines at the same time.
func killShare(w *world, d draws) {
	w.ofShare(d, 0.5, anyMachine, func(d draws, m *machine) {
		defer w.check.disrupt(m)()
		w.check.note("kill of %s", m.name)
		w.kill(m)
		time.Sleep(d.pause())
		w.start(m)
	})
}

// freezeShare freezes the processes of a share of the machines for about the same time.
func freezeShare(w *world, d draws) {
	length := d.span() / 2
	w.ofShare(d, 0.25, anyMachine, func(d draws, m *machine) {
		defer w.freeze(m)()
		time.Sleep(length)
	})
}

// cutShare cuts a share of the machines from all others, or from all balancers, in one direction
// or both.
func cutShare(w *world, d draws) {
	list := w.claimShare(d, d.share(0.05, 0.3), anyMachine)
	hosts := make(map[registry.Host]bool)
	for _, m := range list {
		defer w.release(m)
		hosts[m.host] = true
	}
	others := make(map[registry.Host]bool)
	match := [](func(m *machine) bool){anyMachine, isBalancer}[d.IntN(2)]
	for _, o := range w.list(match) {
		others[o.host] = !hosts[o.host]
	}
	direction := d.IntN(3)
	w.check.note("cut of %d machines from %d, direction %d", len(hosts), len(others), direction)
	w.holdCut(d, list, func(from, to registry.Host) bool {
		return direction != 1 && hosts[from] && others[to] || direction != 2 && hosts[to] && others[from]
	})
}

// slowShare makes a share of the machines slow.
func slowShare(w *world, d draws) {
	length := d.span()
	w.ofShare(d, 0.25, anyMachine, func(d draws, m *machine) {
		defer w.check.disrupt(m)()
		lag := d.between(minLag, maxLag)
		w.setLag(m, lag)
		w.check.note("%s is slow by %v", m.name, lag)
		time.Sleep(length)
		w.setLag(m, 0)
	})
}

// silenceShare lets a share of the upstreams fall silent.
func silenceShare(w *world, d draws) {
	for range 1 + d.IntN(maxAtOnce) {
		w.beside(d.own(), silenceUpstream)
	}
}
