package soak_test

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/corianderbay/corianderbay/platform/standin"
)

const (
	requestTimeout  = 2 * time.Second
	requestPause    = 40 * time.Millisecond
	requestsPerFlow = 25
)

// runFlows opens flows sequentially and sends requests on each until ctx is done.
// Flows to the steady route carry non-idempotent requests.
func (tb *testbed) runFlows(ctx context.Context, c *standin.Caller, name string, idempotent bool) {
	route := steady
	if idempotent {
		route = changing
	}
	for n := 0; ctx.Err() == nil; n++ {
		flow, err := c.Open(ctx, route)
		if err != nil {
			tb.checker.UpdateCounts(func(t *standin.Counts) { t.Refused++ })
			pause(ctx, requestPause)
			continue
		}
		opened := time.Now()
		for i := 0; i < requestsPerFlow && ctx.Err() == nil; i++ {
			id := fmt.Sprintf("%s-%d-%d", name, n, i)
			tb.recordRequest(id, idempotent, opened)
			if !tb.sendRequest(ctx, flow, id) {
				break
			}
			pause(ctx, requestPause)
		}
		flow.Close()
	}
}

// recordRequest records in the checker which services may run a request of a flow.
func (tb *testbed) recordRequest(id string, idempotent bool, opened time.Time) {
	if !idempotent {
		tb.checker.RecordRequest(id, false, fitting)
		return
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	services := []string{tb.changingService, tb.previousService}
	if tb.settled() && opened.Sub(tb.routesWritten) >= propagationTime {
		services = services[:1]
	}
	tb.checker.RecordRequest(id, true, services...)
}

// sendRequest sends one request and checks the result. It reports whether the flow can be used further.
func (tb *testbed) sendRequest(ctx context.Context, flow *standin.Flow, id string) bool {
	answer, err := flow.Request(ctx, id, requestTimeout)
	var reset *standin.ResetError
	switch {
	case err == nil && answer != standin.AnswerTo(id):
		tb.checker.RecordViolation("request %s has wrong answer %q", id, answer)
		return false
	case err == nil:
		tb.checker.UpdateCounts(func(t *standin.Counts) { t.Answered++ })
		return true
	case errors.As(err, &reset):
		tb.checker.UpdateCounts(func(t *standin.Counts) { t.Resets++ })
		tb.checkReset(reset)
	case ctx.Err() == nil && !errors.HasType(err, (*standin.ClosedError)(nil)):
		tb.checker.UpdateCounts(func(t *standin.Counts) { t.Late++ })
		tb.checkUnanswered(flow, id)
	}
	return false
}

// checkReset records a violation if an open flow was reset although its upstream
// is running and there was no recent fault.
func (tb *testbed) checkReset(e *standin.ResetError) {
	st := tb.siteOfFlow(e.Key)
	if st == nil {
		return
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if tb.plannedOnly || tb.settled() {
		tb.checker.RecordViolation("%v at %.3f s, although upstream %s has the flow", e, time.Since(tb.startedAt).Seconds(), st.upstreamID)
	}
}

// checkUnanswered records a violation if a request was not answered although only planned changes were made.
func (tb *testbed) checkUnanswered(flow *standin.Flow, id string) {
	st := tb.siteOfFlow(flow.Key())
	if st == nil || !tb.plannedOnly {
		return
	}
	tb.checker.RecordViolation("request %s on flow %s at upstream %s not answered at %.3f s, with planned changes only",
		id, flow.Key().Caller, st.upstreamID, time.Since(tb.startedAt).Seconds())
}

// watchDraining checks until ctx is done that draining upstreams receive no openings after propagationTime.
func (tb *testbed) watchDraining(ctx context.Context) {
	for ctx.Err() == nil {
		tb.mu.Lock()
		for _, st := range tb.sites {
			tb.checkDraining(st)
		}
		tb.mu.Unlock()
		pause(ctx, 50*time.Millisecond)
	}
}

func (tb *testbed) checkDraining(st *site) {
	if st.upstream == nil || st.drainedAt.IsZero() || time.Since(st.drainedAt) < propagationTime {
		return
	}
	now := st.upstream.Openings()
	if st.openingsValid && now > st.openings && tb.settled() {
		tb.checker.RecordViolation("upstream %s accepted an opening %.1f s after it started draining", st.upstreamID, time.Since(st.drainedAt).Seconds())
	}
	st.openings, st.openingsValid = now, true
}

// checkRecovery records a violation if callers are not served after all faults have ended.
func (tb *testbed) checkRecovery(ctx context.Context) {
	const attempts, within = 12, 12 * time.Second
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	served := 0
	for i := 0; served < attempts && ctx.Err() == nil; i++ {
		flow, err := tb.callers[i%len(tb.callers)].Open(ctx, steady)
		if err != nil {
			pause(ctx, requestPause)
			continue
		}
		id := fmt.Sprintf("after-%d", i)
		tb.checker.RecordRequest(id, false, fitting)
		if answer, err := flow.Request(ctx, id, requestTimeout); err == nil && answer == standin.AnswerTo(id) {
			served++
		}
		flow.Close()
	}
	if served < attempts {
		tb.checker.RecordViolation("only %d of %d new flows were served within %v of the last fault", served, attempts, within)
	}
}

// pause sleeps for d, or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
