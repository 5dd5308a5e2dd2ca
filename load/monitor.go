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
	defaultMaxProbeAge = 3 * time.Second
	serviceTimeWeight  = 1.0 / 32
	// maxAnswersUnchanged is how many answers go by before unchanged numbers are ignored.
	maxAnswersUnchanged = 16
	// minRemaining is the least expected rest of a request in mean times in service.
	minRemaining = 0.25
)

// A Monitor gathers what one sidecar sees of its upstream. It is safe for concurrent use.
type Monitor struct {
	cfg MonitorConfig // fixed after NewMonitor

	mu                 sync.Mutex
	upstream           bundle.Upstream
	coldStartAt        time.Time   // when the present cold start began
	startTimes         []time.Time // of the requests in service, in no order
	queue              int         // at least 0
	connections        int         // at least 0
	accepted           decayingRate
	serviceTime        time.Duration
	failures           failureDetector
	probe              Probe
	answersSinceChange int // answers since the numbers of probe last changed, at least 0
}

// NewMonitor returns a Watch of an upstream whose cold start begins now.
func NewMonitor(cfg MonitorConfig, now time.Time) *Monitor {
	if cfg.MaxProbeAge == 0 {
		cfg.MaxProbeAge = defaultMaxProbeAge
	}
	return &Monitor{
		cfg:         cfg,
		upstream:    cfg.Upstream,
		coldStartAt: now,
		failures:    newFailureDetector(cfg.FailureDetector),
	}
}

// SetUpstream replaces slots, connections and weight by those of a newer bundle.
func (m *Monitor) SetUpstream(u bundle.Upstream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.upstream = u
}

// Restarted begins a cold start: the upstream came back empty.
func (m *Monitor) Restarted(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.coldStartAt = now
}

// Accepted counts a flow that the sidecar accepted, for the rate only.
func (m *Monitor) Accepted(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.accepted.add(now)
}

// SetConnections sets how many flows the sidecar owns.
func (m *Monitor) SetConnections(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.connections = n
}

// Enqueued counts a request that waits for a slot.
func (m *Monitor) Enqueued() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.queue++
}

// Dequeued counts a request that left the queue, also when it was cancelled.
func (m *Monitor) Dequeued() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.queue = max(m.queue-1, 0)
}

// Started counts a request that took a slot.
func (m *Monitor) Started(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.startTimes = append(m.startTimes, now)
}

// removeStarted removes the request that took its slot closest to at. The caller holds mu.
func (m *Monitor) removeStarted(at time.Time) {
	if len(m.startTimes) == 0 {
		return
	}
	closest := 0
	for i, s := range m.startTimes {
		if s.Sub(at).Abs() < m.startTimes[closest].Sub(at).Abs() {
			closest = i
		}
	}
	m.startTimes = slices.Delete(m.startTimes, closest, closest+1)
}

// Answered counts a request that freed its slot with an answer after took.
func (m *Monitor) Answered(now time.Time, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeStarted(now.Add(-took))
	m.recordServiceTime(took)
	m.answersSinceChange++
	m.failures.recordSuccess(now)
}

// Cancelled counts a request that freed its slot after took because its
// caller gave up.
func (m *Monitor) Cancelled(now time.Time, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeStarted(now.Add(-took))
}

// TimedOut counts a request that freed its slot without an answer after took.
func (m *Monitor) TimedOut(now time.Time, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeStarted(now.Add(-took))
	m.recordServiceTime(took)
	m.failures.recordTimeout(now)
}

// Refused counts a request that the upstream would not take.
func (m *Monitor) Refused(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeStarted(now)
	m.failures.recordRefusal(now)
}

// Probed keeps the latest answer of the upstream's endpoints.
func (m *Monitor) Probed(p Probe) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.At.Before(m.probe.At) {
		return
	}
	if !p.equalCounts(m.probe) {
		m.answersSinceChange = 0
	}
	m.probe = p
}

// View returns what the sidecar knows at now. A probe can only
// raise the load above what was seen, and its "unhealthy" counts only while no
// answer contradicts it; "healthy" never outweighs refusals and timeouts.
func (m *Monitor) View(now time.Time) View {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := View{
		Slots:       m.upstream.EffectiveSlots(),
		InUse:       len(m.startTimes),
		Queue:       m.queue,
		Connections: m.connections,
		Rate:        m.accepted.rate(now),
		Limit:       m.upstream.EffectiveConnections(),
		Weight:      m.upstream.EffectiveWeight(),
		ServiceTime: m.serviceTime,
		NextFree:    m.nextFree(now),
		Ramp:        m.rampShare(now),
		Failing:     m.failures.active(now),
		Leaving:     m.upstream.Leaving,
	}
	return m.applyProbe(v, now)
}

// ProbeContradicted reports whether a fresh probe says otherwise
// than what was seen: healthy while failing, unhealthy while answering, no load
// while requests are in service, or numbers that stand still.
func (m *Monitor) ProbeContradicted(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.probe.fresh(now, m.cfg.MaxProbeAge) {
		return false
	}
	failing := m.failures.active(now)
	return m.probe.Healthy && failing ||
		!m.probe.Healthy && m.answeredRecently() ||
		m.probe.InUse == 0 && len(m.startTimes) >= m.upstream.EffectiveSlots() ||
		m.probe.InUse > 0 && m.answersSinceChange >= maxAnswersUnchanged
}

// answeredRecently reports whether an answer was seen about when the probe was
// or later. The caller holds mu.
func (m *Monitor) answeredRecently() bool {
	return m.failures.lastSuccess.After(m.probe.At.Add(-m.cfg.MaxProbeAge))
}

// applyProbe applies the latest probe to what was seen. Numbers that stand still
// while answers go by do not count. The caller holds mu.
func (m *Monitor) applyProbe(v View, now time.Time) View {
	if !m.probe.fresh(now, m.cfg.MaxProbeAge) {
		return v
	}
	if m.answersSinceChange < maxAnswersUnchanged {
		v.InUse = min(max(v.InUse, m.probe.InUse), max(v.Slots, v.InUse))
		v.Connections = max(v.Connections, m.probe.Connections)
	}
	if !m.probe.Healthy && !m.answeredRecently() {
		v.Failing = true
	}
	return v
}

// nextFree returns the expected time until a slot becomes free. Work that has run
// for long is expected to run for long: its rest counts as its age. The caller holds mu.
func (m *Monitor) nextFree(now time.Time) time.Duration {
	shortest := float64(m.serviceTime) * minRemaining
	if shortest == 0 {
		return 0
	}
	rate := 0.0
	for _, s := range m.startTimes {
		rate += 1 / max(float64(now.Sub(s)), shortest)
	}
	if rate == 0 {
		return 0
	}
	return time.Duration(math.Round(1 / rate))
}

// rampShare returns the lower of the cold-start ramp and the ramp after failing.
func (m *Monitor) rampShare(now time.Time) float64 {
	cold := m.cfg.Ramp.Share(now.Sub(m.coldStartAt))
	return min(cold, m.failures.recoveryShare(now))
}

// recordServiceTime moves the mean time in service towards took.
func (m *Monitor) recordServiceTime(took time.Duration) {
	if m.serviceTime == 0 {
		m.serviceTime = max(took, 1)
		return
	}
	m.serviceTime += time.Duration(float64(took-m.serviceTime) * serviceTimeWeight)
	m.serviceTime = max(m.serviceTime, 1)
}
