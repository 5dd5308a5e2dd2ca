package load

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
)

// MonitorConfig holds the settings of a Monitor.
type MonitorConfig struct {
	// Upstream holds the slots, connections and weight of the upstream.
	Upstream bundle.Upstream
	// Ramp is the cold-start ramp of the upstream.
	Ramp Ramp
	// FailureDetector sets when the upstream counts as failing.
	FailureDetector FailureDetectorConfig
	// MaxProbeAge is the age above which a probe is ignored. Zero selects 3 s.
	MaxProbeAge time.Duration
}

const (
	defaultMaxProbeAge = 3 * time.Second
	// serviceTimeWeight is the weight of a new service time in the moving average.
	serviceTimeWeight = 1.0 / 32
	// maxAnswersUnchanged is the number of answers after which unchanged probe
	// counts are ignored as stale.
	maxAnswersUnchanged = 16
	// minRemaining is the minimum expected remaining time of a request, in mean
	// service times.
	minRemaining = 0.25
)

// A Monitor measures the load and health of a sidecar's upstream from its
// traffic and its probes. It is safe for concurrent use.
type Monitor struct {
	cfg MonitorConfig // immutable after NewMonitor

	mu                 sync.Mutex
	upstream           bundle.Upstream
	coldStartAt        time.Time   // when the current cold start began
	startTimes         []time.Time // of the requests in service, unordered
	queue              int         // at least 0
	connections        int         // at least 0
	accepted           decayingRate
	serviceTime        time.Duration
	failures           failureDetector
	probe              Probe
	answersSinceChange int // answers since the counts of probe last changed, at least 0
}

// NewMonitor returns a Monitor of an upstream whose cold start begins at now.
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

// SetUpstream replaces slots, connections, weight and the leaving flag with
// those of a newer bundle.
func (m *Monitor) SetUpstream(u bundle.Upstream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.upstream = u
}

// Restarted records that the upstream restarted without state, which begins a
// cold start.
func (m *Monitor) Restarted(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.coldStartAt = now
}

// Accepted records that the sidecar accepted a flow. It affects the rate only.
func (m *Monitor) Accepted(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.accepted.add(now)
}

// SetConnections sets the number of flows that the sidecar owns.
func (m *Monitor) SetConnections(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.connections = n
}

// Enqueued records a request that waits for a slot.
func (m *Monitor) Enqueued() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.queue++
}

// Dequeued records a request that left the queue, including a cancelled one.
func (m *Monitor) Dequeued() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.queue = max(m.queue-1, 0)
}

// Started records a request that took a slot.
func (m *Monitor) Started(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.startTimes = append(m.startTimes, now)
}

// removeStarted removes the request whose start is closest to at. The caller
// holds mu.
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

// Answered records a request that was answered and freed its slot. Took is its
// service time.
func (m *Monitor) Answered(now time.Time, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeStarted(now.Add(-took))
	m.recordServiceTime(took)
	m.answersSinceChange++
	m.failures.recordSuccess(now)
}

// Cancelled records a request that freed its slot after took because its caller
// cancelled it.
func (m *Monitor) Cancelled(now time.Time, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeStarted(now.Add(-took))
}

// TimedOut records a request that timed out and freed its slot after took.
func (m *Monitor) TimedOut(now time.Time, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeStarted(now.Add(-took))
	m.recordServiceTime(took)
	m.failures.recordTimeout(now)
}

// Refused records a request that the upstream refused.
func (m *Monitor) Refused(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeStarted(now)
	m.failures.recordRefusal(now)
}

// Probed stores a probe unless a newer one is stored.
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

// View returns the state of the upstream at now. A probe can only raise the
// load above the measured one. An unhealthy probe marks the upstream as failing
// only while no recent answer contradicts it, and a healthy one never overrides
// refusals and timeouts.
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

// ProbeContradicted reports whether a fresh probe disagrees with the
// measurements: healthy while the upstream is failing, unhealthy while it
// answers, no slots in use while all are, or unchanged counts.
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

// answeredRecently reports whether the last answer arrived after the probe, or
// less than MaxProbeAge before it. The caller holds mu.
func (m *Monitor) answeredRecently() bool {
	return m.failures.lastSuccess.After(m.probe.At.Add(-m.cfg.MaxProbeAge))
}

// applyProbe returns the measured view v combined with the latest probe. Counts
// that stay unchanged while the upstream answers are ignored. The caller holds
// mu.
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

// nextFree returns the expected time until a slot becomes free, or zero when it
// is unknown. Long-running requests are expected to keep running: the remaining
// time of a request is estimated to equal its age. The caller holds mu.
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

// rampShare returns the lower of the shares of the cold-start ramp and of the
// recovery ramp after a hold. The caller holds mu.
func (m *Monitor) rampShare(now time.Time) float64 {
	cold := m.cfg.Ramp.Share(now.Sub(m.coldStartAt))
	return min(cold, m.failures.recoveryShare(now))
}

// recordServiceTime adds took to the moving average of the service time. The
// caller holds mu.
func (m *Monitor) recordServiceTime(took time.Duration) {
	if m.serviceTime == 0 {
		m.serviceTime = max(took, 1)
		return
	}
	m.serviceTime += time.Duration(float64(took-m.serviceTime) * serviceTimeWeight)
	m.serviceTime = max(m.serviceTime, 1)
}
