package load

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
)

// MonitorConfig holds the settings of a Watch.
type MonitorConfig struct {
	// Upstream gives slots, connections and weight.
	Upstream bundle.Upstream
	// Ramp is the cold start of the upstream.
	Ramp Ramp
	// FailureDetector sets when an upstream is held to be failing.
	FailureDetector FailureDetectorConfig
	// MaxProbeAge is how old a probe may count. Zero selects 3 s.
	MaxProbeAge time.Duration
}

const (
	defaultProbeAge = 3 * time.Second
	serviceShare    = 1.0 / 32
	// frozenAfter is how many answers go by before unchanged numbers are ignored.
	frozenAfter = 16
	// leastRest is the least expected rest of a request in mean times in service.
	leastRest = 0.25
)

// A Monitor gathers what one sidecar sees of its upstream. It is safe for concurrent use.
type Monitor struct {
	cfg MonitorConfig // fixed after NewMonitor

	mu          sync.Mutex
	upstream    bundle.Upstream
	since       time.Time   // when the present cold start began
	started     []time.Time // of the requests in service, in no order
	queue       int         // at least 0
	connections int         // at least 0
	accepted    pace
	service     time.Duration
	failing     failing
	probe       Probe
	unchanged   int // answers since the numbers of probe last changed, at least 0
}

// NewMonitor returns a Watch of an upstream whose cold start begins now.
func NewMonitor(cfg MonitorConfig, now time.Time) *Monitor {
	if cfg.MaxProbeAge == 0 {
		cfg.MaxProbeAge = defaultProbeAge
	}
	return &Monitor{
		cfg:      cfg,
		upstream: cfg.Upstream,
		since:    now,
		failing:  newFailing(cfg.FailureDetector),
	}
}

// SetUpstream replaces slots, connections and weight by those of a newer bundle.
func (w *Monitor) SetUpstream(u bundle.Upstream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.upstream = u
}

// Restarted begins a cold start: the upstream came back empty.
func (w *Monitor) Restarted(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.since = now
}

// Accepted counts a flow that the sidecar accepted, for the rate only.
func (w *Monitor) Accepted(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.accepted.add(now)
}

// SetConnections sets how many flows the sidecar owns.
func (w *Monitor) SetConnections(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.connections = n
}

// Enqueued counts a request that waits for a slot.
func (w *Monitor) Enqueued() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue++
}

// Dequeued counts a request that left the queue, also when it was cancelled.
func (w *Monitor) Dequeued() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = max(w.queue-1, 0)
}

// Started counts a request that took a slot.
func (w *Monitor) Started(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started = append(w.started, now)
}

// stopped removes the request that took its slot closest to at. The caller holds mu.
func (w *Monitor) stopped(at time.Time) {
	if len(w.started) == 0 {
		return
	}
	closest := 0
	for i, s := range w.started {
		if s.Sub(at).Abs() < w.started[closest].Sub(at).Abs() {
			closest = i
		}
	}
	w.started = slices.Delete(w.started, closest, closest+1)
}

// Answered counts a request that freed its slot with an answer after took.
func (w *Monitor) Answered(now time.Time, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped(now.Add(-took))
	w.observe(took)
	w.unchanged++
	w.failing.good(now)
}

// Cancelled counts a request that freed its slot after took because its
// caller gave up.
func (w *Monitor) Cancelled(now time.Time, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped(now.Add(-took))
}

// TimedOut counts a request that freed its slot without an answer after took.
func (w *Monitor) TimedOut(now time.Time, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped(now.Add(-took))
	w.observe(took)
	w.failing.timedOut(now)
}

// Refused counts a request that the upstream would not take.
func (w *Monitor) Refused(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped(now)
	w.failing.refused(now)
}

// Probed keeps the latest answer of the upstream's endpoints.
func (w *Monitor) Probed(p Probe) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.At.Before(w.probe.At) {
		return
	}
	if !p.same(w.probe) {
		w.unchanged = 0
	}
	w.probe = p
}

// View returns what the sidecar knows at now. A probe can only
// raise the load above what was seen, and its "unhealthy" counts only while no
// answer contradicts it; "healthy" never outweighs refusals and timeouts.
func (w *Monitor) View(now time.Time) View {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := View{
		Slots:       w.upstream.EffectiveSlots(),
		InUse:       len(w.started),
		Queue:       w.queue,
		Connections: w.connections,
		Rate:        w.accepted.rate(now),
		Limit:       w.upstream.EffectiveConnections(),
		Weight:      w.upstream.EffectiveWeight(),
		ServiceTime: w.service,
		NextFree:    w.next(now),
		Ramp:        w.share(now),
		Failing:     w.failing.is(now),
		Leaving:     w.upstream.Leaving,
	}
	return w.weigh(v, now)
}

// ProbeContradicted reports whether a fresh probe says otherwise
// than what was seen: healthy while failing, unhealthy while answering, no load
// while requests are in service, or numbers that stand still.
func (w *Monitor) ProbeContradicted(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.probe.fresh(now, w.cfg.MaxProbeAge) {
		return false
	}
	failing := w.failing.is(now)
	return w.probe.Healthy && failing ||
		!w.probe.Healthy && w.answering() ||
		w.probe.InUse == 0 && len(w.started) >= w.upstream.EffectiveSlots() ||
		w.probe.InUse > 0 && w.unchanged >= frozenAfter
}

// answering reports whether an answer was seen about when the probe was
// or later. The caller holds mu.
func (w *Monitor) answering() bool {
	return w.failing.lastGood.After(w.probe.At.Add(-w.cfg.MaxProbeAge))
}

// weigh applies the latest probe to what was seen. Numbers that stand still
// while answers go by do not count. The caller holds mu.
func (w *Monitor) weigh(v View, now time.Time) View {
	if !w.probe.fresh(now, w.cfg.MaxProbeAge) {
		return v
	}
	if w.unchanged < frozenAfter {
		v.InUse = min(max(v.InUse, w.probe.InUse), max(v.Slots, v.InUse))
		v.Connections = max(v.Connections, w.probe.Connections)
	}
	if !w.probe.Healthy && !w.answering() {
		v.Failing = true
	}
	return v
}

// next returns the expected time until a slot becomes free. Work that has run
// for long is expected to run for long: its rest counts as its age. The caller holds mu.
func (w *Monitor) next(now time.Time) time.Duration {
	shortest := float64(w.service) * leastRest
	if shortest == 0 {
		return 0
	}
	rate := 0.0
	for _, s := range w.started {
		rate += 1 / max(float64(now.Sub(s)), shortest)
	}
	if rate == 0 {
		return 0
	}
	return time.Duration(math.Round(1 / rate))
}

// share returns the lower of the cold-start ramp and the ramp after failing.
func (w *Monitor) share(now time.Time) float64 {
	cold := w.cfg.Ramp.Share(now.Sub(w.since))
	return min(cold, w.failing.share(now))
}

// observe moves the mean time in service towards took.
func (w *Monitor) observe(took time.Duration) {
	if w.service == 0 {
		w.service = max(took, 1)
		return
	}
	w.service += time.Duration(float64(took-w.service) * serviceShare)
	w.service = max(w.service, 1)
}
