package compare

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

func shortColumns() []Column {
	return []Column{
		{Name: "wait p99 (s)", Value: func(r *Result) float64 { return r.P99Wait().Seconds() }},
		{Name: "visits", Value: (*Result).MeanVisits},
		{Name: "far share", Value: (*Result).FarShare},
		{Name: "attempts/request", Value: attemptsPerRequest},
		{Name: "slots max/mean", Value: func(r *Result) float64 { return NewInterval(r.SlotImbalance).Mean }},
	}
}

func callerShiftColumns() []Column {
	return []Column{
		{Name: "wait p99 (s)", Value: func(r *Result) float64 { return r.P99Wait().Seconds() }},
		{Name: "far share before", Value: func(r *Result) float64 { return r.farShare(warmup, shiftAt) }},
		{Name: "during", Value: func(r *Result) float64 { return r.farShare(shiftAt, shiftAt+shiftLength) }},
		{Name: "in the 10 s after", Value: func(r *Result) float64 {
			end := shiftAt + shiftLength
			return r.farShare(end, end+10*time.Second)
		}},
		{Name: "visits", Value: (*Result).MeanVisits},
	}
}

// farShare returns the share of flows accepted outside the caller's data centre
// in [from, to). Both are whole seconds.
func (r *Result) farShare(from, to time.Duration) float64 {
	accepted, far := 0, 0
	for _, s := range r.Seconds[from/time.Second : to/time.Second] {
		accepted += s.Accepted
		far += s.Far
	}
	return float64(far) / float64(max(accepted, 1))
}

func attemptsPerRequest(r *Result) float64 {
	return float64(r.Attempts) / float64(max(r.Openings, 1))
}

func spreadColumns() []Column {
	return []Column{
		{Name: "max/mean", Value: (*Result).MeanImbalance},
		{Name: "worst max/mean", Value: (*Result).WorstImbalance},
		{Name: "visits", Value: (*Result).MeanVisits},
		{Name: "far share", Value: (*Result).FarShare},
	}
}

func replaceColumns() []Column {
	return []Column{
		{Name: "under 1.05 after (s)", Value: recoveryTime},
		{Name: "most connections", Value: func(r *Result) float64 { return float64(r.MaxConnections) }},
		{Name: "most new flows/s", Value: func(r *Result) float64 { return float64(r.MaxAcceptedPerSecond) }},
		{Name: "far share", Value: (*Result).FarShare},
	}
}

// recoveryTime returns the seconds from the fault until the imbalance fell below
// recoveredImbalance, or until the last sample if it never did.
func recoveryTime(r *Result) float64 {
	d, ok := r.FirstBelow(recoveredImbalance, longWarmup+reconnectPeriod)
	if !ok && len(r.Samples) > 0 {
		d = r.Samples[len(r.Samples)-1].At - longWarmup - reconnectPeriod
	}
	return (d + reconnectPeriod).Seconds()
}

func overloadColumns() []Column {
	return []Column{
		{Name: "useful/capacity", Value: usefulShare},
		{Name: "normal after (s)", Value: timeToNormal},
		{Name: "refused/opening", Value: func(r *Result) float64 { return float64(r.Refused) / float64(r.Openings) }},
		{Name: "late answers/opening", Value: func(r *Result) float64 { return float64(r.Late) / float64(r.Openings) }},
		{Name: "visits", Value: (*Result).MeanVisits},
		{Name: "attempts/request", Value: attemptsPerRequest},
	}
}

// usefulShare returns the useful service time during the surge as a share of the
// capacity of all slots.
func usefulShare(r *Result) float64 {
	cfg := Config{}.withDefaults()
	slots := cfg.Slots * cfg.upstreamCount()
	return r.UsefulSurgeTime.Seconds() / surgeLength.Seconds() / float64(slots)
}

const (
	windowSeconds = 5
	// maxNormalRefusals is the highest number of refusals in a normal window.
	maxNormalRefusals = 5
)

// timeToNormal returns the seconds from the end of the surge to the first window
// with at most maxNormalRefusals refusals whose p99 wait does not exceed the
// highest one before the surge. It returns the seconds to the end of the run if
// there is no such window.
func timeToNormal(r *Result) float64 {
	highest := int64(0)
	for s := int(warmup / time.Second); s+windowSeconds <= int(surgeAt/time.Second); s += windowSeconds {
		highest = max(highest, r.window(s).Waits.ValueAtQuantile(99))
	}
	end := int((surgeAt + surgeLength) / time.Second)
	for s := end; s+windowSeconds <= len(r.Seconds); s++ {
		w := r.window(s)
		if w.Refused <= maxNormalRefusals && w.Waits.ValueAtQuantile(99) <= highest {
			return float64(s - end)
		}
	}
	return float64(len(r.Seconds) - end)
}

// window merges the windowSeconds seconds that begin with first.
func (r *Result) window(first int) Second {
	w := Second{Waits: hdrhistogram.New(1, maxWaitMicros, 2)}
	for _, s := range r.Seconds[first:min(first+windowSeconds, len(r.Seconds))] {
		w.Waits.Merge(s.Waits)
		w.Refused += s.Refused
	}
	return w
}

func outageColumns() []Column {
	return []Column{
		{Name: "most connections", Value: func(r *Result) float64 { return float64(r.MaxConnections) }},
		{Name: "flows of others broken", Value: func(r *Result) float64 { return float64(r.Broken) }},
		{Name: "refused", Value: func(r *Result) float64 { return float64(r.Refused) }},
		{Name: "max/mean at the end", Value: lastImbalance},
	}
}

func restartColumns() []Column {
	return []Column{
		{Name: "under 1.05 after (s)", Value: func(r *Result) float64 {
			d, _ := r.FirstBelow(recoveredImbalance, longWarmup+reconnectPeriod)
			return (d + reconnectPeriod).Seconds()
		}},
		{Name: "most connections", Value: func(r *Result) float64 { return float64(r.MaxConnections) }},
		{Name: "refused", Value: func(r *Result) float64 { return float64(r.Refused) }},
		{Name: "max/mean at the end", Value: lastImbalance},
	}
}

func lastImbalance(r *Result) float64 {
	if len(r.Samples) == 0 {
		return math.NaN()
	}
	return r.Samples[len(r.Samples)-1].Imbalance
}

func rollingReplaceColumns() []Column {
	return []Column{
		{Name: "broken flows", Value: func(r *Result) float64 { return float64(r.Broken) }},
		{Name: "max/mean", Value: (*Result).MeanImbalance},
		{Name: "worst max/mean", Value: (*Result).WorstImbalance},
		{Name: "far share", Value: (*Result).FarShare},
	}
}
