package limit

import "sync"

// BudgetConfig holds the settings of a Budget. The zero value selects the defaults.
type BudgetConfig struct {
	// Share is how many retries each first try pays for, above 0 and at most 1. Zero selects 0.1.
	Share float64
	// Burst is how many retries may be saved up, at least 1. Zero selects 10.
	Burst float64
}

const (
	defaultShare = 0.1
	defaultSaved = 10
)

// A Budget bounds retries by a share of the first tries. It starts empty, so
// retries never exceed that share. It is safe for concurrent use.
type Budget struct {
	cfg BudgetConfig // fixed after NewBudget

	mu    sync.Mutex
	saved float64 // from 0 to cfg.Burst
}

// NewBudget returns an empty Budget.
func NewBudget(cfg BudgetConfig) *Budget {
	if cfg.Share == 0 {
		cfg.Share = defaultShare
	}
	if cfg.Burst == 0 {
		cfg.Burst = defaultSaved
	}
	return &Budget{cfg: cfg}
}

// First counts a first try.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+b.cfg.Share, b.cfg.Burst)
}

// Retry spends one retry and reports whether it may be sent.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
