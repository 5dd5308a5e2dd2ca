package standin

import "cmp"

// compareRuns orders runs by caller and request.
func compareRuns(a, b Run) int {
	return cmp.Or(cmp.Compare(a.Caller, b.Caller), cmp.Compare(a.Request, b.Request))
}

// Audit compares the refusals that callers received with the runs of upstreams.
type Audit struct {
	// Runs is the total number of runs.
	Runs int `json:"runs"`
	// DoubleRuns is the number of non-idempotent requests that ran more than once.
	DoubleRuns int `json:"doubled"`
	// FalseRefusals is the number of refusals that stated that an attempt had not run although it had.
	FalseRefusals int `json:"falserefusals"`
}

// Clean reports whether there were no double runs and no false refusals.
func (a Audit) Clean() bool {
	return a.DoubleRuns == 0 && a.FalseRefusals == 0
}

// NewAudit returns the audit of a trial from the runs of all its upstreams and
// the refusals of all its callers.
func NewAudit(runs []Run, refusals []RefusalRecord) Audit {
	type attempt struct {
		requestKey
		attempt uint32
	}
	a := Audit{Runs: len(runs)}
	counts := make(map[requestKey]int)
	ran := make(map[attempt]bool)
	for _, r := range runs {
		k := requestKey{r.Caller, r.Request}
		counts[k]++
		ran[attempt{k, r.Attempt}] = true
		if counts[k] == 2 && !r.Idempotent {
			a.DoubleRuns++
		}
	}
	for _, r := range refusals {
		k := requestKey{r.Caller, r.Request}
		if r.NotRun && !r.Opening && ran[attempt{k, r.Attempt}] {
			a.FalseRefusals++
		}
	}
	return a
}
