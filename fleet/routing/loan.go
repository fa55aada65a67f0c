package routing

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// Pace of borrowing.
const (
	// loanStart is how many slots a host borrows before it learned anything.
	loanStart = 2.0
	// loanGrowth is added to the allowance for each borrowed slot that worked.
	loanGrowth = 0.5
	// loanCut divides the allowance when a server refused.
	loanCut = 2.0
	// loanProbe is the time between two attempts while the allowance is below
	// one slot.
	loanProbe = 100 * time.Millisecond
	loanMost  = 4096.0
	loanLeast = 0.25
)

// loan decides how many slots of other hosts this host may use: more while
// servers take the requests, half as many when one refuses.
type loan struct {
	// allowance is from loanLeast to loanMost.
	allowance float64
	last      time.Time
}

func newLoan() loan {
	return loan{allowance: loanStart}
}

func (l *loan) allows(borrowed inventory.Slots, now time.Time) bool {
	if float64(borrowed)+1 <= l.allowance {
		return true
	}
	return borrowed == 0 && now.Sub(l.last) >= loanProbe
}

func (l *loan) asked(now time.Time) {
	l.last = now
}

func (l *loan) granted() {
	l.allowance = min(l.allowance+loanGrowth, loanMost)
}

func (l *loan) denied() {
	l.allowance = max(l.allowance/loanCut, loanLeast)
}
