package standin

import "cmp"

// compareRuns orders runs by caller and request.
func compareRuns(a, b Run) int {
	return cmp.Or(cmp.Compare(a.Caller, b.Caller), cmp.Compare(a.Request, b.Request))
}

// Audit compares what callers were told with what upstreams ran.
type Audit struct {
	// Runs is how many runs there were in all.
	Runs int `json:"runs"`
	// DoubleRuns is how many non-idempotent requests ran more than once.
	DoubleRuns int `json:"doubled"`
	// FalseRefusals is how many refusals claimed that an attempt had not run that did.
	FalseRefusals int `json:"falserefusals"`
}

// Clean reports whether nothing ran twice that must not and each claim was true.
func (a Audit) Clean() bool {
	return a.DoubleRuns == 0 && a.FalseRefusals == 0
}

// NewAudit returns the audit of the runs of all upstreams of a trial and of the refusals that its callers received.
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
