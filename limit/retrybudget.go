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
	defaultRetryRatio = 0.1
	defaultRetryBurst = 10
)

// A RetryBudget bounds retries by a share of the first tries. It starts empty, so
// retries never exceed that share. It is safe for concurrent use.
type RetryBudget struct {
	cfg RetryBudgetConfig // fixed after NewRetryBudget

	mu     sync.Mutex
	tokens float64 // from 0 to cfg.Burst
}

// NewRetryBudget returns an empty Budget.
func NewRetryBudget(cfg RetryBudgetConfig) *RetryBudget {
	if cfg.Ratio == 0 {
		cfg.Ratio = defaultRetryRatio
	}
	if cfg.Burst == 0 {
		cfg.Burst = defaultRetryBurst
	}
	return &RetryBudget{cfg: cfg}
}

// RecordFirstAttempt counts a first try.
func (b *RetryBudget) RecordFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.cfg.Ratio, b.cfg.Burst)
}

// AllowRetry spends one retry and reports whether it may be sent.
func (b *RetryBudget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
