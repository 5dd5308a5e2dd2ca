package limit

import "sync"

// RetryBudgetConfig configures a RetryBudget. The zero value selects the defaults.
type RetryBudgetConfig struct {
	// Ratio is the number of retries allowed per first attempt, above 0 and at most
	// 1. Zero selects 0.1.
	Ratio float64
	// Burst is the maximum number of retries that accumulate, at least 1. Zero
	// selects 10.
	Burst float64
}

const (
	defaultRetryRatio = 0.1
	defaultRetryBurst = 10
)

// RetryBudget limits retries to a ratio of the first attempts. It starts empty,
// so the retries never exceed that ratio. It is safe for concurrent use.
type RetryBudget struct {
	cfg RetryBudgetConfig // fixed after NewRetryBudget

	mu     sync.Mutex
	tokens float64 // from 0 to cfg.Burst
}

// NewRetryBudget returns an empty RetryBudget.
func NewRetryBudget(cfg RetryBudgetConfig) *RetryBudget {
	if cfg.Ratio == 0 {
		cfg.Ratio = defaultRetryRatio
	}
	if cfg.Burst == 0 {
		cfg.Burst = defaultRetryBurst
	}
	return &RetryBudget{cfg: cfg}
}

// RecordFirstAttempt counts a first attempt.
func (b *RetryBudget) RecordFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.cfg.Ratio, b.cfg.Burst)
}

// AllowRetry reports whether a retry may be sent, and takes it from the budget.
func (b *RetryBudget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
