package limit

import "sync"

// RetryBudgetConfig holds the settings of a Budget. The zero value selects the defaults.
type RetryBudgetConfig struct {
	// Ratio is how many retries each first try pays for, above 0 and at most 1. Zero selects 0.1.
	Ratio float64
	// Burst is how many retries may be saved up, at least 1. Zero selects 10.
	Burst float64
}

const (
	defaultShare = 0.1
	defaultSaved = 10
)

// A RetryBudget bounds retries by a share of the first tries. It starts empty, so
// retries never exceed that share. It is safe for concurrent use.
type RetryBudget struct {
	cfg RetryBudgetConfig // fixed after NewRetryBudget

	mu    sync.Mutex
	saved float64 // from 0 to cfg.Burst
}

// NewRetryBudget returns an empty Budget.
func NewRetryBudget(cfg RetryBudgetConfig) *RetryBudget {
	if cfg.Ratio == 0 {
		cfg.Ratio = defaultShare
	}
	if cfg.Burst == 0 {
		cfg.Burst = defaultSaved
	}
	return &RetryBudget{cfg: cfg}
}

// RecordFirstAttempt counts a first try.
func (b *RetryBudget) RecordFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+b.cfg.Ratio, b.cfg.Burst)
}

// AllowRetry spends one retry and reports whether it may be sent.
func (b *RetryBudget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
