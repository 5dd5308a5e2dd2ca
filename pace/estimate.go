package pace

import (
	"math"
	"time"
)

// Estimate is what a Meter knows at one time.
type Estimate struct {
	// Work is the mean time for which a request of the usual mix occupies a slot; 0 when
	// it is not known.
	Work time.Duration
	// Usual is the same at the usual pace of the upstream; 0 when it is not known.
	Usual time.Duration
	// Samples is the number of samples on which the current pace is based.
	Samples int
	// Age is the time since the last sample; 0 when there was none.
	Age time.Duration
	// Slow is true while the upstream takes several times as long as usual.
	Slow bool
	// Shed is the number of requests that the full upstream shed, since the start.
	Shed uint64
	// Waiting is the number of requests in the queue of the upstream.
	Waiting int
}

// Estimate returns the estimate at now. It has to be called regularly, since it also
// takes in the time that passes without an answer.
func (m *Meter) Estimate(now time.Duration) Estimate {
	s := &m.estimator
	s.update(now, len(m.running) == 0)
	e := Estimate{Shed: m.shed, Waiting: m.waiting}
	if s.total == 0 {
		return e
	}
	m.countOverdue(now)
	s.classify()
	e.Samples, e.Age, e.Slow = max(s.samples, min(matureSamples, int(s.total))), s.age(now), s.slow
	if s.total >= matureSamples {
		usual := s.usual()
		e.Usual = time.Duration(usual)
		e.Work = time.Duration(usual * math.Exp(m.paceWithSilence(now)))
	}
	return e
}

// countOverdue adds each request that has been in its slot for several times as long as
// expected to the evidence for a slower pace. It does so once for each request: at full
// load every sixth request that is seen in a slot is a long one.
func (m *Meter) countOverdue(now time.Duration) {
	s := &m.estimator
	for _, r := range m.running {
		e := &m.requests[r]
		excess := m.excess(now, r)
		if e.overdue || e.doubtful || excess < overdueExcess {
			continue
		}
		e.overdue = true
		s.slower.add(residualLimit, excess+s.pace)
		s.changePace()
	}
}

// paceWithSilence returns the pace, raised by requests that have been in a slot for longer
// than expected: each counts as a sample, and when all slots have such requests, the pace
// is at least the one that the shortest of them shows beyond what long requests explain. This does not classify the
// upstream as slow, since requests that take long are seen in slots disproportionately
// often.
func (m *Meter) paceWithSilence(now time.Duration) float64 {
	s := &m.estimator
	pace, least := s.pace, math.Inf(1)
	for _, r := range m.running {
		excess := m.excess(now, r)
		least = min(least, excess)
		if excess > 0 {
			pace += min(residualLimit, excess) / silenceSamples
		}
	}
	if m.slots > 0 && len(m.running) == m.slots && least > silenceSlack {
		pace = max(pace, s.pace+least-silenceSlack)
	}
	return min(maxPace, pace)
}

// excess returns the logarithm of the ratio of the time that a request has been in its
// slot to the expected one.
func (m *Meter) excess(now time.Duration, r Request) float64 {
	e := &m.requests[r]
	c := &m.estimator.classes[e.class]
	if c.samples < matureSamples || now-e.start < minSample {
		return math.Inf(-1)
	}
	return math.Log(float64(now-e.start)) - c.level - m.estimator.pace
}
