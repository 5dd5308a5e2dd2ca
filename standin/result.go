package standin

import (
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// RefusalRecord is one refusal that a Caller received.
type RefusalRecord struct {
	Caller  uint64 `json:"caller"`
	Request uint64 `json:"request"`
	Attempt uint32 `json:"attempt"`
	// Opening is true when a connection was refused, before any request was sent.
	Opening bool `json:"opening"`
	// Reason is the name of a fabric.Reason, or "reset" for a reset without one.
	Reason string `json:"reason"`
	// NotRun is the claim that the request has not run.
	NotRun bool `json:"notrun"`
	// RetryAfter is in nanoseconds in JSON.
	RetryAfter time.Duration `json:"retryafter"`
}

// Result is what came of the flows and requests of a Caller.
type Result struct {
	// Flows were begun; Requests were sent at least once.
	Flows    int `json:"flows"`
	Requests int `json:"requests"`
	// Completed requests got their own whole answer. Requests is the sum of Whole,
	// Refused, Shed, Lost, Failed and Stopped once the run has ended.
	Completed int `json:"whole"`
	// Refused and Shed requests ended so after the last attempt.
	Refused int `json:"refused"`
	Shed    int `json:"shed"`
	// Lost requests had no answer before the timeout.
	Lost int `json:"lost"`
	// Failed requests ended with a broken flow or a damaged answer.
	Failed int `json:"failed"`
	// Stopped requests were under way when the run was stopped.
	Stopped int `json:"stopped"`
	// Broken flows were reset or not acknowledged any more after they were opened.
	Broken int `json:"broken"`
	// Unopened flows were refused or had no answer; Unsent are their requests.
	Unopened int `json:"unopened"`
	Unsent   int `json:"unsent"`
	// Misrouted answers were for another caller or from another service.
	Misrouted int `json:"foreign"`
	// Corrupted answers were not whole.
	Corrupted int `json:"damaged"`
	// Late answers were for an earlier request of the same flow.
	Late int `json:"late"`
	// Stray packets were for no flow that is still open.
	Stray int `json:"stray"`
	// ShedAnswers counts every answer that said so.
	ShedAnswers     int `json:"shedanswers"`
	Retransmissions int `json:"retransmissions"`
	// Refusals counts refusals by reason; Records holds the first 100,000 of them.
	Refusals map[string]int  `json:"refusals"`
	Records  []RefusalRecord `json:"-"`
	// Upstreams counts whole answers by the upstream's name.
	Upstreams map[string]int `json:"upstreams"`
	// P50, P99 and Max are latencies of whole answers in milliseconds.
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
	// Seconds is how long the run took, 0 while it runs.
	Seconds float64 `json:"seconds"`
	// Latency holds the latencies in microseconds.
	Latency *hdrhistogram.Histogram `json:"-"`
}

// Clean reports whether each request that was sent got its own whole answer,
// each flow that was begun was opened and none was broken.
func (r Result) Clean() bool {
	return r.Completed == r.Requests && r.Broken+r.Unopened+r.Misrouted+r.Corrupted == 0
}

// Merge returns the sum of two results. Seconds is the longer of the two.
func (r Result) Merge(o Result) Result {
	r.Flows += o.Flows
	r.Requests += o.Requests
	r.Completed += o.Completed
	r.Refused += o.Refused
	r.Shed += o.Shed
	r.Lost += o.Lost
	r.Failed += o.Failed
	r.Stopped += o.Stopped
	r.Broken += o.Broken
	r.Unopened += o.Unopened
	r.Unsent += o.Unsent
	r.Misrouted += o.Misrouted
	r.Corrupted += o.Corrupted
	r.Late += o.Late
	r.Stray += o.Stray
	r.ShedAnswers += o.ShedAnswers
	r.Retransmissions += o.Retransmissions
	r.Refusals = sumCounts(r.Refusals, o.Refusals)
	r.Upstreams = sumCounts(r.Upstreams, o.Upstreams)
	r.Records = append(append([]RefusalRecord(nil), r.Records...), o.Records...)
	r.Seconds = max(r.Seconds, o.Seconds)
	return r.withLatency(mergeLatency(r.Latency, o.Latency))
}

func sumCounts(a, b map[string]int) map[string]int {
	sum := make(map[string]int, len(a)+len(b))
	maps.Copy(sum, a)
	for name, n := range b {
		sum[name] += n
	}
	return sum
}

func mergeLatency(a, b *hdrhistogram.Histogram) *hdrhistogram.Histogram {
	sum := newLatency()
	if a != nil {
		sum.Merge(a)
	}
	if b != nil {
		sum.Merge(b)
	}
	return sum
}

// withLatency returns the result with the histogram and the figures from it.
func (r Result) withLatency(h *hdrhistogram.Histogram) Result {
	r.Latency = h
	r.P50 = milliseconds(h.ValueAtQuantile(50))
	r.P99 = milliseconds(h.ValueAtQuantile(99))
	r.Max = milliseconds(h.Max())
	return r
}

func milliseconds(us int64) float64 {
	return float64(us) / 1000
}

const (
	maxLatency       = int64(maxTimeout / time.Microsecond)
	latencyPrecision = 3 // significant digits
	maxRecords       = 100_000
)

func newLatency() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency, latencyPrecision)
}

// resultRecorder counts for all flows of a Caller. It is safe for concurrent use.
type resultRecorder struct {
	mu     sync.Mutex // guards result, whose Latency is the histogram
	result Result
}

func newResultRecorder(CallerConfig) *resultRecorder {
	return &resultRecorder{result: Result{
		Refusals:  make(map[string]int),
		Upstreams: make(map[string]int),
		Latency:   newLatency(),
	}}
}

// update calls change with the result.
func (t *resultRecorder) update(change func(r *Result)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.result)
}

func (t *resultRecorder) addFlow()           { t.update(func(r *Result) { r.Flows++ }) }
func (t *resultRecorder) addRequest()        { t.update(func(r *Result) { r.Requests++ }) }
func (t *resultRecorder) addMisrouted()      { t.update(func(r *Result) { r.Misrouted++ }) }
func (t *resultRecorder) addCorrupted()      { t.update(func(r *Result) { r.Corrupted++ }) }
func (t *resultRecorder) addLate()           { t.update(func(r *Result) { r.Late++ }) }
func (t *resultRecorder) addStray()          { t.update(func(r *Result) { r.Stray++ }) }
func (t *resultRecorder) addShedAnswer()     { t.update(func(r *Result) { r.ShedAnswers++ }) }
func (t *resultRecorder) addRetransmission() { t.update(func(r *Result) { r.Retransmissions++ }) }

func (t *resultRecorder) addAnswer(upstream string, took time.Duration) {
	t.update(func(r *Result) {
		r.Upstreams[upstream]++
		_ = r.Latency.RecordValue(min(took.Microseconds(), maxLatency))
	})
}

func (t *resultRecorder) addRefusal(rec RefusalRecord) {
	t.update(func(r *Result) {
		r.Refusals[rec.Reason]++
		if len(r.Records) < maxRecords {
			r.Records = append(r.Records, rec)
		}
	})
}

// addOutcome counts how a request ended.
func (t *resultRecorder) addOutcome(o outcome) {
	t.update(func(r *Result) {
		switch o {
		case outcomeCompleted:
			r.Completed++
		case outcomeRefused:
			r.Refused++
		case outcomeShed:
			r.Shed++
		case outcomeTimeout:
			r.Lost++
		case outcomeBroken:
			r.Failed++
		case outcomeStopped:
			r.Stopped++
		}
	})
}

// addUnopened counts a flow that was never opened, unless the run was stopped.
func (t *resultRecorder) addUnopened(o outcome, requests int) {
	if o == outcomeStopped {
		return
	}
	t.update(func(r *Result) {
		r.Unopened++
		r.Unsent += requests
	})
}

// addClosed counts an opened flow that ended by o.
func (t *resultRecorder) addClosed(o outcome) {
	if o != outcomeBroken {
		return
	}
	t.update(func(r *Result) { r.Broken++ })
}

// setDuration records how long the run took.
func (t *resultRecorder) setDuration(took time.Duration) {
	t.update(func(r *Result) { r.Seconds = took.Seconds() })
}

// snapshot returns a copy of the result.
func (t *resultRecorder) snapshot() Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Result{Refusals: map[string]int{}, Upstreams: map[string]int{}}.Merge(t.result)
}
