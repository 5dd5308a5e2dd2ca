package edge

import (
	"fmt"
	"time"

	"github.com/corianderbay/corianderbay/admit"
	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/metric"
	"github.com/corianderbay/corianderbay/steer"
	"go.uber.org/zap"
)

// logAdmission logs which overloads began and ended since the last call.
func (b *Balancer) logAdmission(now time.Duration) {
	for _, ch := range b.steering.AdmissionChanges(now) {
		number := event.OverloadEnded
		if ch.Overloaded {
			number = event.OverloadBegan
		}
		b.cfg.Log.Emit(number,
			zap.String("service", ch.Service),
			zap.Duration("standing", ch.Standing),
			zap.Duration("least", ch.Load.LeastWait),
			zap.Duration("mean", ch.Load.MeanWait),
			zap.Duration("work", ch.Load.Work),
			zap.Int("slots", ch.Load.Slots))
	}
}

// writeAdmission adds the state of admission to p.
func writeAdmission(p *metric.Page, list []steer.AdmissionStatus) {
	var overloaded, standing, used, owed, refused []metric.Sample
	for _, s := range list {
		overloaded = append(overloaded, metric.Sample{Label: s.Service, Value: number(s.Overloaded)})
		standing = append(standing, metric.Sample{Label: s.Service, Value: s.Standing.Seconds()})
		for _, c := range s.Classes {
			class := fmt.Sprintf("%s/%d", s.Service, c.Priority)
			used = append(used, metric.Sample{Label: class, Value: c.Used})
			owed = append(owed, metric.Sample{Label: class, Value: c.Owed})
			for r := admit.Admitted + 1; r < admit.ReasonCount; r++ {
				refused = append(refused, metric.Sample{Label: class + "/" + r.String(), Value: float64(c.Refused[r])})
			}
		}
	}
	p.Values(defOverloaded, overloaded)
	p.Values(defStanding, standing)
	p.Values(defShareUsed, used)
	p.Values(defShareOwed, owed)
	p.Values(defNotAdmitted, refused)
}

// number returns 1 for true.
func number(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
