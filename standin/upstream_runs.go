package standin

import (
	"slices"
	"sync"
)

// Run is one execution of a request.
type Run struct {
	Caller   uint64 `json:"caller"`
	Request  uint64 `json:"request"`
	Attempt  uint32 `json:"attempt"`
	Upstream string `json:"upstream"`
	// Idempotent is the flag of the request.
	Idempotent bool `json:"idempotent"`
}

type runState uint8

const (
	runNew runState = iota + 1
	runInProgress
	runDone
)

type requestKey struct {
	caller, id uint64
}

type runEntry struct {
	done       bool
	idempotent bool
	attempts   []uint32     // the attempts that ran, in order
	reply      func(Answer) // sends the answer to the latest sender of the request; never nil
}

// runTable records queued, running and completed requests. It is safe for concurrent use.
type runTable struct {
	mu      sync.Mutex
	entries map[requestKey]*runEntry // guarded by mu
}

// add adds a request unless it is present, and returns its previous state. With
// runDuplicates every request counts as new.
func (t *runTable) add(r Request, reply func(Answer), runDuplicates bool) runState {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := requestKey{r.Caller, r.ID}
	e := t.entries[k]
	if e == nil {
		t.entries[k] = &runEntry{idempotent: r.Idempotent, reply: reply}
		return runNew
	}
	e.reply = reply
	switch {
	case runDuplicates:
		return runNew
	case e.done:
		return runDone
	}
	return runInProgress
}

// cancel removes a request that has not started and returns its reply function. It
// returns false for a request that has started or is not in the table.
func (t *runTable) cancel(r Request) (func(Answer), bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := requestKey{r.Caller, r.ID}
	e := t.entries[k]
	if e == nil || len(e.attempts) > 0 {
		return nil, false
	}
	delete(t.entries, k)
	return e.reply, true
}

// start records the start of a request. It returns false if the request was cancelled.
func (t *runTable) start(r Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[requestKey{r.Caller, r.ID}]
	if e == nil {
		return false
	}
	e.attempts = append(e.attempts, r.Attempt)
	return true
}

// finish records that a request has run and returns its reply function. add and
// start must have been called for the request.
func (t *runTable) finish(r Request) func(Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[requestKey{r.Caller, r.ID}]
	e.done = true
	return e.reply
}

// list returns all runs, sorted by caller, request and start.
func (t *runTable) list(upstream string) []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	var runs []Run
	for k, e := range t.entries {
		for _, attempt := range e.attempts {
			runs = append(runs, Run{Caller: k.caller, Request: k.id, Attempt: attempt, Upstream: upstream, Idempotent: e.idempotent})
		}
	}
	slices.SortStableFunc(runs, compareRuns)
	return runs
}

// Runs returns all runs of requests so far.
func (u *Upstream) Runs() []Run {
	return u.runs.list(u.cfg.Name)
}
