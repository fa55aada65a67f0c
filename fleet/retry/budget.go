package retry

import (
	"math/rand/v2"
	"time"
)

// BudgetConfig is what a budget is built from.
type BudgetConfig struct {
	// Share is how many retries each first sending pays for.
	Share float64
	// Most is how many unused retries are kept for later. A new budget has them.
	Most float64
}

// DefaultBudget keeps retries below a tenth of first sendings.
var DefaultBudget = BudgetConfig{Share: 0.1, Most: 10}

// Budget bounds retries to a share of first sendings, so that they make no storm.
type Budget struct {
	cfg BudgetConfig
	// tokens is from 0 to cfg.Most.
	tokens float64
}

// NewBudget returns a budget that is full.
func NewBudget(cfg BudgetConfig) *Budget {
	return &Budget{cfg: cfg, tokens: cfg.Most}
}

// Earn counts a first sending.
func (b *Budget) Earn() {
	b.tokens = min(b.tokens+b.cfg.Share, b.cfg.Most)
}

// Take pays for one retry and reports whether the budget had it.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Has reports whether the budget can pay for n retries.
func (b *Budget) Has(n float64) bool {
	return b.tokens >= n
}

// Backoff grows pauses between tries.
type Backoff struct {
	// First is the pause after the first failure, Most the longest.
	First, Most time.Duration
}

// Pause returns the pause after the n-th failure in a row, n from 1: doubled
// each time and spread by a quarter to either side.
func (b Backoff) Pause(n int, random *rand.Rand) time.Duration {
	d := b.First << min(max(n-1, 0), 20)
	d = min(d, b.Most)
	return time.Duration(float64(d) * (0.75 + 0.5*random.Float64()))
}
