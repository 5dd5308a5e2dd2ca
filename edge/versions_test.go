package edge_test

import (
	"flag"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var virtualLarge = flag.Bool("virtual.large", false, "play TestVersionsDoNotGoBack with 195 processes")

const (
	// maxStorm is the largest number of versions that follow each other closely.
	maxStorm = 12
	// stormGap is the time between two of these.
	stormGap = 330 * time.Millisecond
	// maxPullDelay is the longest delay of a connection between two processes; pulls give up
	// after a second.
	maxPullDelay = 1500 * time.Millisecond
	// onlyOpen is the flowTime of callers that open flows and send no requests on them.
	onlyOpen = time.Nanosecond
)

// versionDeployments are deployments whose callers open many flows to routes that move.
var versionDeployments = []deployment{
	{balancers: []int{2, 2, 1}, upstreamsA: []int{3, 2, 2}, upstreamsB: []int{2, 2, 1}, callers: 16, heartbeat: 770 * time.Millisecond, flowTime: onlyOpen, moving: true},
	{balancers: []int{3, 2, 2}, upstreamsA: []int{3, 2, 2}, upstreamsB: []int{2, 2, 2}, callers: 16, heartbeat: 1200 * time.Millisecond, flowTime: onlyOpen, moving: true},
}

// The troubles that meet changes of the routes.
var (
	routeChanges = []trouble{{3, changeRoutes}, {2, changeRoutesOften}}
	// lateness lets processes adopt versions at different times.
	lateness = []trouble{
		{4, delayPulls},
		{3, slowInstance},
		{2, impairLink},
		{3, cutProcess},
		{2, cutOneWay},
		{2, freezeProcess},
		{1, cutDataCentres},
		{1, delayAnswers},
		{1, compactStore},
		{1, loseStore},
	}
	// decliners let sidecars pass openings on.
	decliners = []trouble{{3, silenceUpstream}, {3, replaceUpstream}, {2, restartSidecar}, {1, rollBalancers}, {1, killProcess}}
)

// recordDeployment has as many processes as the deployment in which versions went back.
var recordDeployment = deployment{
	balancers: []int{20, 20, 19}, upstreamsA: []int{37, 36, 36}, upstreamsB: []int{9, 9, 9}, callers: 24, heartbeat: 1200 * time.Millisecond,
	flowTime: onlyOpen, moving: true, maxMachines: 240,
}

// lateVersions is the first seed in which versions went back.
const lateVersions = 107

// TestVersionsDoNotGoBack guards against openings through one balancer that are handled by an
// older version of the routes after the effect of a newer one.
func TestVersionsDoNotGoBack(t *testing.T) {
	list, disturb := versionDeployments, (*world).disturbVersions
	if *virtualLarge {
		list, disturb = []deployment{recordDeployment}, (*world).disturbVersionsShortly
	} else {
		playSeed(t, lateVersions, list, disturb, (*world).reportVersions)
	}
	for seed := *virtualFirst; seed < *virtualFirst+*virtualSeeds; seed++ {
		playSeed(t, seed, list, disturb, (*world).reportVersions)
	}
}

// disturbVersionsShortly is disturbVersions for a quarter of the time, since a second of 195
// processes takes many of real time.
func (w *world) disturbVersionsShortly(d time.Duration) {
	w.disturbVersions(d / 4)
}

// reportVersions reports the violations of the rule of versions.
func (w *world) reportVersions() {
	w.t.Helper()
	judged, ambiguous := w.moving.oracle.Judged()
	w.t.Logf("seed %d: %d versions, %d openings judged, %d ambiguous", w.seed, w.version, judged, ambiguous)
	for i, v := range w.moving.oracle.Violations() {
		if i < 5 {
			w.t.Error(v)
		}
	}
	w.t.Logf("%d violations", len(w.moving.oracle.Violations()))
	must.Positive(w.t, judged)
}

// disturbVersions draws changes of the routes for a time, beside troubles that let processes
// adopt them late and that let sidecars pass openings on.
func (w *world) disturbVersions(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		w.draw(lateness)
		if w.rand.IntN(2) == 0 {
			w.draw(decliners)
		}
		w.draw(routeChanges)
		time.Sleep(time.Duration(w.rand.IntN(2500)) * time.Millisecond)
	}
}

// changeRoutesOften publishes several versions that follow each other closely.
func changeRoutesOften(w *world, d draws) {
	for range 1 + d.IntN(maxStorm) {
		changeRoutes(w, d)
		time.Sleep(stormGap)
	}
}

// delayPulls delays the connections from and to a share of the machines.
func delayPulls(w *world, d draws) {
	length, share := d.span(), d.share(0.1, 0.6)
	list := w.list(func(*machine) bool { return d.Float64() < share })
	defer w.check.disrupt(list...)()
	w.net.mu.Lock()
	for _, m := range list {
		w.net.latePulls[m.host] = d.between(0, maxPullDelay)
	}
	w.net.mu.Unlock()
	w.check.note("pulls of %d machines are late", len(list))
	time.Sleep(length)
	w.net.mu.Lock()
	for _, m := range list {
		delete(w.net.latePulls, m.host)
	}
	w.net.mu.Unlock()
	w.check.note("pulls of %d machines are in time", len(list))
}
