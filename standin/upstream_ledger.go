package standin

import (
	"slices"
	"sync"
)

// Run is one run of a request.
type Run struct {
	Caller   uint64 `json:"caller"`
	Request  uint64 `json:"request"`
	Attempt  uint32 `json:"attempt"`
	Upstream string `json:"upstream"`
	// Idempotent is the flag of the request.
	Idempotent bool `json:"idempotent"`
}

type ledgerState uint8

const (
	ledgerNew ledgerState = iota + 1
	ledgerRunning
	ledgerDone
)

type ledgerKey struct {
	caller, id uint64
}

type ledgerEntry struct {
	done       bool
	idempotent bool
	attempts   []uint32     // the attempts that ran, in order
	reply      func(Answer) // where the request was asked last; never nil
}

// upstreamLedger knows which requests ran. It is safe for concurrent use.
type upstreamLedger struct {
	mu   sync.Mutex
	runs map[ledgerKey]*ledgerEntry // guarded by mu
}

// begin reports what is known of a request, and enters a new one. With repeats each is new.
func (l *upstreamLedger) begin(r Request, reply func(Answer), repeats bool) ledgerState {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := ledgerKey{r.Caller, r.ID}
	e := l.runs[k]
	if e == nil {
		l.runs[k] = &ledgerEntry{idempotent: r.Idempotent, reply: reply}
		return ledgerNew
	}
	e.reply = reply
	switch {
	case repeats:
		return ledgerNew
	case e.done:
		return ledgerDone
	}
	return ledgerRunning
}

// cancel removes a request that has not started, and returns where its answer
// was wanted. It returns false for one that has started or is not known.
func (l *upstreamLedger) cancel(r Request) (func(Answer), bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := ledgerKey{r.Caller, r.ID}
	e := l.runs[k]
	if e == nil || len(e.attempts) > 0 {
		return nil, false
	}
	delete(l.runs, k)
	return e.reply, true
}

// run records that a request starts. It returns false when it was cancelled.
func (l *upstreamLedger) run(r Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.runs[ledgerKey{r.Caller, r.ID}]
	if e == nil {
		return false
	}
	e.attempts = append(e.attempts, r.Attempt)
	return true
}

// finish records that a request has run, and returns where its answer goes.
// The request has been entered by begin and run.
func (l *upstreamLedger) finish(r Request) func(Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.runs[ledgerKey{r.Caller, r.ID}]
	e.done = true
	return e.reply
}

// list returns all runs, ordered by caller, request and start.
func (l *upstreamLedger) list(upstream string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var runs []Run
	for k, e := range l.runs {
		for _, attempt := range e.attempts {
			runs = append(runs, Run{Caller: k.caller, Request: k.id, Attempt: attempt, Upstream: upstream, Idempotent: e.idempotent})
		}
	}
	slices.SortStableFunc(runs, compareRuns)
	return runs
}

// Runs returns every run of a request so far.
func (u *Upstream) Runs() []Run {
	return u.ledger.list(u.cfg.Name)
}
