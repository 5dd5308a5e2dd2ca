package pace_test

import (
	"math"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/pace"
	"github.com/shoenig/test/must"
)

const (
	start     = time.Hour // of the simulations
	shortWork = 26 * time.Millisecond
)

// TestSlowdownIsDetected guards against callers that keep being sent to an upstream which
// has become five times slower, and against one that stays avoided after its recovery.
func TestSlowdownIsDetected(t *testing.T) {
	const begin, length, bound = start + 20*time.Second, 6 * time.Second, time.Second
	for seed := range uint64(20) {
		for _, speed := range []float64{0.7, 1, 1.7} {
			for _, load := range []float64{0.5, 0.9} {
				u := newUpstream(seed, 2, time.Duration(float64(shortWork)/speed), load)
				u.factor = func(now time.Duration) float64 {
					if now >= begin && now < begin+length {
						return 5
					}
					return 1
				}
				var detected, recovered time.Duration
				u.check = func(now time.Duration, e pace.Estimate) {
					switch {
					case now < begin:
						must.False(t, e.Slow)
					case e.Slow && detected == 0:
						detected = now - begin
					case !e.Slow && detected != 0 && recovered == 0:
						recovered = now - begin - length
					}
				}
				u.run(40 * time.Second)
				must.Between(t, 1, detected, bound, must.Sprint("seed", seed, "speed", speed, "load", load))
				must.Between(t, 0, recovered, bound, must.Sprint("seed", seed, "speed", speed, "load", load))
			}
		}
	}
}

// TestHeavyTailIsNotSlow guards against the classification of an upstream as slow because
// a few of its requests take seven times as long.
func TestHeavyTailIsNotSlow(t *testing.T) {
	for seed := range uint64(4) {
		for _, load := range []float64{0.2, 0.6, 0.95} {
			u := newUpstream(seed, 2, shortWork, load)
			u.check = func(now time.Duration, e pace.Estimate) {
				must.False(t, e.Slow, must.Sprint("seed", seed, "load", load, "after", now-start))
			}
			u.run(time.Hour)
		}
	}
}

// TestMixKeepsPaces guards against upstreams that appear slower than others because the
// mix of routes changed.
func TestMixKeepsPaces(t *testing.T) {
	const change = start + 20*time.Second
	for seed := range uint64(20) {
		var works [2][]float64
		for i, speed := range []float64{0.7, 1.7} {
			u := newUpstream(2*seed+uint64(i), 2, time.Duration(float64(shortWork)/speed), 0.4)
			u.draw = func(now time.Duration, v float64) route {
				share := 0.8 - 0.6*min(1, max(0, (now-change).Seconds()))
				if v < share {
					return route{id: 1, work: time.Duration(float64(shortWork) / speed)}
				}
				return route{id: 2, work: time.Duration(float64(2*shortWork) / speed)}
			}
			u.check = func(now time.Duration, e pace.Estimate) {
				if now >= change {
					works[i] = append(works[i], float64(e.Work))
				}
			}
			u.run(25 * time.Second)
		}
		for n := range works[0] {
			ratio := works[1][n] / works[0][n] * (1.7 / 0.7)
			must.Between(t, 1/1.25, ratio, 1.25, must.Sprint("seed", seed, "tick", n))
		}
	}
}

// TestWorkExcludesWaiting guards against a loaded upstream that appears slow because its
// requests wait in its queue.
func TestWorkExcludesWaiting(t *testing.T) {
	for _, load := range []float64{0.3, 0.95} {
		u := newUpstream(1, 2, shortWork, load)
		u.run(2 * time.Minute)
		mean := float64(shortWork) * meanFactor()
		must.Between(t, 0.8, float64(u.meter.Estimate(u.now).Work)/mean, 1.25, must.Sprint(load))
	}
}

// TestShedRequestsAreCounted guards against an overloaded upstream that appears fast
// because it answers requests at once without processing them.
func TestShedRequestsAreCounted(t *testing.T) {
	u := newUpstream(1, 2, shortWork, 2)
	u.run(time.Minute)
	e := u.meter.Estimate(u.now)
	must.Between(t, u.shed*98/100, e.Shed, u.shed+u.shed/100)
	must.Between(t, 0.8, float64(e.Work)/(float64(shortWork)*meanFactor()), 1.25)
}

// TestSilenceRaisesWork guards against a stalled upstream that appears as fast as before
// until its first answer.
func TestSilenceRaisesWork(t *testing.T) {
	m := pace.NewMeter()
	m.SetSlots(2)
	now := start
	for range 20 {
		r := m.Begin(now, 1)
		now += shortWork
		m.Answer(now, r)
	}
	before := m.Estimate(now).Work
	m.Begin(now, 1)
	now += 7 * shortWork
	must.Between(t, before+1, m.Estimate(now).Work, 5*before/4) // one long request
	m.Begin(now, 1)
	now += 40 * shortWork
	must.Greater(t, 4*before, m.Estimate(now).Work)
}

// TestUploadStartsWithItsLastPacket guards against uploads over slow links that appear to
// occupy a slot while their packets arrive, and make others appear to wait.
func TestUploadStartsWithItsLastPacket(t *testing.T) {
	m := pace.NewMeter()
	m.SetSlots(1)
	now := start
	upload := m.Begin(now, 1)
	other := m.Begin(now, 2)
	for range 30 {
		now += time.Millisecond
		m.Extend(now, upload)
	}
	took, measured := m.Answer(now, other)
	must.True(t, measured)
	must.Eq(t, 30*time.Millisecond, took)
	now += 4 * time.Millisecond
	took, measured = m.Answer(now, upload)
	must.True(t, measured)
	must.Eq(t, 4*time.Millisecond, took)
	must.Zero(t, m.Pending())
}

// TestRequestsBehindAbandonedOnes guards against waiting behind an abandoned request,
// which the upstream may still process, that is taken for work.
func TestRequestsBehindAbandonedOnes(t *testing.T) {
	m := pace.NewMeter()
	m.SetSlots(1)
	now := start
	for range 10 {
		r := m.Begin(now, 1)
		now += shortWork
		m.Answer(now, r)
	}
	abandoned := m.Begin(now, 1)
	next := m.Begin(now, 1)
	m.GiveUp(now, abandoned)
	now += 2 * shortWork
	_, measured := m.Answer(now, next)
	must.False(t, measured)
	failed := m.Begin(now, 1)
	next = m.Begin(now, 1)
	m.Fail(now, failed)
	now += shortWork
	took, measured := m.Answer(now, next)
	must.True(t, measured)
	must.Eq(t, shortWork, took)
}

// TestWorkNeedsSamples guards against an estimate from a single request, and against one
// that does not return to the usual pace once nothing renews it.
func TestWorkNeedsSamples(t *testing.T) {
	m := pace.NewMeter()
	now := start
	answer := func(took time.Duration) {
		r := m.Begin(now, 1)
		now += took
		m.Answer(now, r)
	}
	for range 3 {
		answer(shortWork)
		must.Zero(t, m.Estimate(now).Work)
	}
	answer(shortWork)
	must.Positive(t, m.Estimate(now).Work)
	for range 40 {
		answer(shortWork)
	}
	usual := m.Estimate(now).Work
	for range 20 {
		answer(5 * shortWork)
	}
	e := m.Estimate(now)
	must.True(t, e.Slow)
	must.Greater(t, 3*usual, e.Work)
	for range 400 {
		now += tick
		e = m.Estimate(now)
	}
	must.False(t, e.Slow)
	must.Less(t, 2*usual, e.Work)
	must.Between(t, 20*time.Second, e.Age, 21*time.Second)
}

// TestMeterDoesNotAllocate guards against allocations on the packet path.
func TestMeterDoesNotAllocate(t *testing.T) {
	m := pace.NewMeter()
	m.SetSlots(2)
	now := start
	must.Zero(t, testing.AllocsPerRun(1000, func() {
		var list [8]pace.Request
		for i := range list {
			list[i] = m.Begin(now, uint64(i))
		}
		for _, r := range list {
			now += shortWork
			m.Extend(now, r)
			m.Answer(now, r)
		}
		m.GiveUp(now, m.Begin(now, math.MaxUint64))
		m.Estimate(now)
	}))
}
