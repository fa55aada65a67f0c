package routing

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// Parameters of the borrowing limit.
const (
	// initialAllowance is the number of slots that a host may borrow at the start.
	initialAllowance = 2.0
	// allowanceIncrease is added to the allowance for each answered request on a borrowed
	// slot.
	allowanceIncrease = 0.5
	// allowanceDivisor divides the allowance for each refused request on a borrowed slot.
	allowanceDivisor = 2.0
	// probeInterval is the time between attempts to borrow while the allowance is below
	// one slot.
	probeInterval = 100 * time.Millisecond
	maxAllowance  = 4096.0
	minAllowance  = 0.25
)

// borrowLimit limits how many slots of other hosts this host may use. The limit increases
// additively while servers accept the requests and decreases multiplicatively when one
// refuses.
type borrowLimit struct {
	// allowance is between minAllowance and maxAllowance.
	allowance    float64
	lastBorrowed time.Time
}

func newBorrowLimit() borrowLimit {
	return borrowLimit{allowance: initialAllowance}
}

func (l *borrowLimit) allows(borrowed inventory.Slots, now time.Time) bool {
	if float64(borrowed)+1 <= l.allowance {
		return true
	}
	return borrowed == 0 && now.Sub(l.lastBorrowed) >= probeInterval
}

func (l *borrowLimit) recordBorrow(now time.Time) {
	l.lastBorrowed = now
}

func (l *borrowLimit) increase() {
	l.allowance = min(l.allowance+allowanceIncrease, maxAllowance)
}

func (l *borrowLimit) decrease() {
	l.allowance = max(l.allowance/allowanceDivisor, minAllowance)
}
