package edge

import (
	"time"

	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/metric"
	"github.com/corianderbay/corianderbay/steer"
	"go.uber.org/zap"
)

// The values of the label of defState.
const (
	stateUsual = "usual"
	stateSlow  = "slow"
	stateRamp  = "ramp"
)

// paceReporter logs when the upstream becomes slow or recovers, and when a ramp starts or
// ends. It is not safe for concurrent use.
type paceReporter struct {
	last steer.PaceStatus
}

// report logs the changes since the last call, and returns whether there were any.
func (r *paceReporter) report(log *event.Logger, st steer.PaceStatus) (changed bool) {
	last := r.last
	r.last = st
	if st.Slow != last.Slow {
		changed = true
		log.Emit(slownessEvent(st.Slow), paceFields(st)...)
	}
	if ramps, ramped := st.Window > 0, last.Window > 0; ramps != ramped || ramps && st.Cause != last.Cause {
		changed = true
		if ramps {
			log.Emit(event.RampStarted, paceFields(st)...)
		} else {
			st.Cause = last.Cause
			log.Emit(event.RampEnded, paceFields(st)...)
		}
	}
	return changed
}

func slownessEvent(slow bool) event.Number {
	if slow {
		return event.UpstreamSlow
	}
	return event.UpstreamRecovered
}

// paceFields returns the inputs of the classification and of the ramp with their ages.
func paceFields(st steer.PaceStatus) []zap.Field {
	return []zap.Field{
		zap.Duration("work", st.Work),
		zap.Duration("usual", st.Usual),
		zap.Duration("median", st.Median),
		zap.Int("samples", st.Samples),
		zap.Duration("age", st.Age),
		zap.Int("waiting", st.Waiting),
		zap.Int("window", st.Window),
		zap.Stringer("cause", st.Cause),
	}
}

// reportPace logs changes of the pace of the upstream and reports them to balancers.
func (s *Sidecar) reportPace(r *paceReporter, now time.Duration) {
	if r.report(s.cfg.Log, s.steering.Pace(now)) {
		s.node.TriggerHeartbeat()
	}
}

// writePace adds the metrics of the upstream's pace to p.
func writePace(p *metric.Page, st steer.PaceStatus) {
	p.Value(defWork, st.Work.Seconds())
	p.Value(defWorkAge, st.Age.Seconds())
	p.Value(defWindow, float64(st.Window))
	p.Value(defShed, float64(st.Shed))
	p.Values(defState, []metric.Sample{
		{Label: stateUsual, Value: gauge(!st.Slow && st.Window == 0)},
		{Label: stateSlow, Value: gauge(st.Slow)},
		{Label: stateRamp, Value: gauge(st.Window > 0)},
	})
}

func gauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
