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
	// Opening is true if a connection was refused before any request was sent.
	Opening bool `json:"opening"`
	// Reason is the name of a fabric.Reason, or "reset" for a reset without a refusal.
	Reason string `json:"reason"`
	// NotRun is true if the refusal states that the request has not run.
	NotRun bool `json:"notrun"`
	// RetryAfter is in nanoseconds in JSON.
	RetryAfter time.Duration `json:"retryafter"`
}

// Result holds the results of the flows and requests of a Caller.
type Result struct {
	// Flows is the number of started flows, and Requests the number of requests
	// that were sent at least once.
	Flows    int `json:"flows"`
	Requests int `json:"requests"`
	// Completed requests received their own intact answer. After the run, Requests
	// is the sum of Completed, Refused, Shed, Lost, Failed and Stopped.
	Completed int `json:"whole"`
	// Refused and Shed requests were refused or shed at their last attempt.
	Refused int `json:"refused"`
	Shed    int `json:"shed"`
	// Lost requests were not answered before the timeout.
	Lost int `json:"lost"`
	// Failed requests ended with a broken flow or a corrupted answer.
	Failed int `json:"failed"`
	// Stopped requests were in flight when the run was stopped.
	Stopped int `json:"stopped"`
	// Broken flows were reset, or no longer acknowledged or answered, after they were opened.
	Broken int `json:"broken"`
	// Unopened flows were refused or timed out; Unsent counts their requests.
	Unopened int `json:"unopened"`
	Unsent   int `json:"unsent"`
	// Misrouted answers were addressed to another caller or came from another service.
	Misrouted int `json:"foreign"`
	// Corrupted answers could not be decoded or had the wrong body.
	Corrupted int `json:"damaged"`
	// Late answers belonged to another request of the same flow.
	Late int `json:"late"`
	// Stray packets were undecodable or did not belong to an open flow.
	Stray int `json:"stray"`
	// ShedAnswers counts all answers to requests that did not run.
	ShedAnswers     int `json:"shedanswers"`
	Retransmissions int `json:"retransmissions"`
	// Refusals counts refusals by reason; Records holds the first 100,000 refusals.
	Refusals map[string]int  `json:"refusals"`
	Records  []RefusalRecord `json:"-"`
	// Upstreams counts intact answers by the upstream's name.
	Upstreams map[string]int `json:"upstreams"`
	// P50, P99 and Max are latencies of intact answers in milliseconds.
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
	// Seconds is the duration of the run, or 0 while it is running.
	Seconds float64 `json:"seconds"`
	// Latency holds the latencies in microseconds.
	Latency *hdrhistogram.Histogram `json:"-"`
}

// Clean reports whether every sent request was completed, every flow was opened,
// no flow was broken, and no answer was misrouted or corrupted.
func (r Result) Clean() bool {
	return r.Completed == r.Requests && r.Broken+r.Unopened+r.Misrouted+r.Corrupted == 0
}

// Merge returns the sum of two results. Seconds is the maximum of the two.
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

// withLatency returns the result with the histogram and its percentiles.
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

// resultRecorder records the results of all flows of a Caller. It is safe for concurrent use.
type resultRecorder struct {
	mu     sync.Mutex // guards result, including its histogram
	result Result
}

func newResultRecorder(CallerConfig) *resultRecorder {
	return &resultRecorder{result: Result{
		Refusals:  make(map[string]int),
		Upstreams: make(map[string]int),
		Latency:   newLatency(),
	}}
}

// update calls change with the result while holding the lock.
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

// addOutcome counts the outcome of a request.
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

// addUnopened counts a flow that was not opened and its requests, unless the run was stopped.
func (t *resultRecorder) addUnopened(o outcome, requests int) {
	if o == outcomeStopped {
		return
	}
	t.update(func(r *Result) {
		r.Unopened++
		r.Unsent += requests
	})
}

// addClosed counts an opened flow if its outcome is broken.
func (t *resultRecorder) addClosed(o outcome) {
	if o != outcomeBroken {
		return
	}
	t.update(func(r *Result) { r.Broken++ })
}

// setDuration records the duration of the run.
func (t *resultRecorder) setDuration(took time.Duration) {
	t.update(func(r *Result) { r.Seconds = took.Seconds() })
}

// snapshot returns a copy of the result.
func (t *resultRecorder) snapshot() Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Result{Refusals: map[string]int{}, Upstreams: map[string]int{}}.Merge(t.result)
}
