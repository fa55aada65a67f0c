package retry

import (
	"math/rand/v2"
	"time"
)

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	// RetryRatio is the number of tokens that each first attempt adds to the budget.
	RetryRatio float64
	// MaxTokens is the maximum number of tokens, each for one retry, that the budget
	// holds. A new budget is full.
	MaxTokens float64
}

// DefaultBudget limits retries to a tenth of first attempts, plus the 10 tokens of a full
// budget.
var DefaultBudget = BudgetConfig{RetryRatio: 0.1, MaxTokens: 10}

// Budget is a token bucket that limits retries to a share of first attempts, to prevent
// retry storms.
type Budget struct {
	cfg BudgetConfig
	// tokens is the number of retries available, from 0 to cfg.MaxTokens.
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(cfg BudgetConfig) *Budget {
	return &Budget{cfg: cfg, tokens: cfg.MaxTokens}
}

// Deposit adds the tokens of one first attempt, RetryRatio.
func (b *Budget) Deposit() {
	b.tokens = min(b.tokens+b.cfg.RetryRatio, b.cfg.MaxTokens)
}

// TryWithdraw withdraws one token and reports whether one was available.
func (b *Budget) TryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// CanWithdraw reports whether n tokens are available.
func (b *Budget) CanWithdraw(n float64) bool {
	return b.tokens >= n
}

// Backoff is an exponential backoff with jitter.
type Backoff struct {
	// Initial is the delay after the first failure, and Max the longest delay, both before
	// jitter.
	Initial, Max time.Duration
}

// Delay returns the delay after the n-th consecutive failure, with n from 1. The delay
// doubles with each failure up to Max, and a jitter of up to 25% either way is applied.
func (b Backoff) Delay(n int, random *rand.Rand) time.Duration {
	delay := b.Initial << min(max(n-1, 0), 20)
	delay = min(delay, b.Max)
	return time.Duration(float64(delay) * (0.75 + 0.5*random.Float64()))
}
