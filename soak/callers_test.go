package soak_test

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/corianderbay/corianderbay/platform/standin"
)

const (
	requestTimeout = 2 * time.Second
	requestPause   = 40 * time.Millisecond
	requestsAFlow  = 25
)

// call opens one flow after the other and sends requests on each, until ctx is
// done. Flows to the steady route carry non-idempotent requests.
func (w *world) call(ctx context.Context, c *standin.Caller, name string, idempotent bool) {
	route := steady
	if idempotent {
		route = changing
	}
	for n := 0; ctx.Err() == nil; n++ {
		flow, err := c.Open(ctx, route)
		if err != nil {
			w.ledger.UpdateCounts(func(t *standin.Counts) { t.Refused++ })
			pause(ctx, requestPause)
			continue
		}
		opened := time.Now()
		for i := 0; i < requestsAFlow && ctx.Err() == nil; i++ {
			id := fmt.Sprintf("%s-%d-%d", name, n, i)
			w.expect(id, idempotent, opened)
			if !w.ask(ctx, flow, id) {
				break
			}
			pause(ctx, requestPause)
		}
		flow.Close()
	}
}

// expect tells the ledger which services may run a request of a flow.
func (w *world) expect(id string, idempotent bool, opened time.Time) {
	if !idempotent {
		w.ledger.RecordRequest(id, false, fitting)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	services := []string{w.service, w.before}
	if w.calm() && opened.Sub(w.versioned) >= applyTime {
		services = services[:1]
	}
	w.ledger.RecordRequest(id, true, services...)
}

// ask sends one request and checks what comes of it. It reports whether the flow goes on.
func (w *world) ask(ctx context.Context, flow *standin.Flow, id string) bool {
	answer, err := flow.Request(ctx, id, requestTimeout)
	var reset *standin.ResetError
	switch {
	case err == nil && answer != standin.AnswerTo(id):
		w.ledger.RecordViolation("request %s was answered with %q", id, answer)
		return false
	case err == nil:
		w.ledger.UpdateCounts(func(t *standin.Counts) { t.Answered++ })
		return true
	case errors.As(err, &reset):
		w.ledger.UpdateCounts(func(t *standin.Counts) { t.Resets++ })
		w.judgeReset(reset)
	case ctx.Err() == nil && !errors.HasType(err, (*standin.ClosedError)(nil)):
		w.ledger.UpdateCounts(func(t *standin.Counts) { t.Late++ })
		w.judgeSilence(flow, id)
	}
	return false
}

// judgeReset fails when an open flow was reset although its upstream lives and nothing is wrong.
func (w *world) judgeReset(e *standin.ResetError) {
	st := w.holder(e.Key)
	if st == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.planned || w.calm() {
		w.ledger.RecordViolation("%v at %.3f s, although upstream %s holds it", e, time.Since(w.began).Seconds(), st.id)
	}
}

// judgeSilence fails when planned changes alone kept a request from being answered.
func (w *world) judgeSilence(flow *standin.Flow, id string) {
	st := w.holder(flow.Key())
	if st == nil || !w.planned {
		return
	}
	w.ledger.RecordViolation("request %s on flow %s at upstream %s found no answer at %.3f s, during planned changes alone",
		id, flow.Key().Caller, st.id, time.Since(w.began).Seconds())
}

// watchDraining fails when an upstream takes openings after its draining should be in force everywhere.
func (w *world) watchDraining(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		for _, st := range w.sites {
			w.judgeDraining(st)
		}
		w.mu.Unlock()
		pause(ctx, 50*time.Millisecond)
	}
}

func (w *world) judgeDraining(st *site) {
	if st.upstream == nil || st.drained.IsZero() || time.Since(st.drained) < applyTime {
		return
	}
	now := st.upstream.Openings()
	if st.counted && now > st.openings && w.calm() {
		w.ledger.RecordViolation("upstream %s took an opening %.1f s after it began to drain", st.id, time.Since(st.drained).Seconds())
	}
	st.openings, st.counted = now, true
}

// recovers fails when callers are not served once all trouble is over.
func (w *world) recovers(ctx context.Context) {
	const attempts, within = 12, 12 * time.Second
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	served := 0
	for i := 0; served < attempts && ctx.Err() == nil; i++ {
		flow, err := w.callers[i%len(w.callers)].Open(ctx, steady)
		if err != nil {
			pause(ctx, requestPause)
			continue
		}
		id := fmt.Sprintf("after-%d", i)
		w.ledger.RecordRequest(id, false, fitting)
		if answer, err := flow.Request(ctx, id, requestTimeout); err == nil && answer == standin.AnswerTo(id) {
			served++
		}
		flow.Close()
	}
	if served < attempts {
		w.ledger.RecordViolation("only %d of %d new flows were served within %v of the last trouble", served, attempts, within)
	}
}

// pause waits, or returns early when ctx is done.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
