// Package quota accounts for what the runs of each workspace may use, and decides whether
// further runs fit the workspace's limit.
package quota

import (
	"math"

	"github.com/godwitcross/godwitcross/fleet/job"
	"github.com/godwitcross/godwitcross/fleet/workspace"
)

// Verdict says whether further runs fit a workspace's limit.
type Verdict int

const (
	// Room is left for all of the runs.
	Room Verdict = iota
	// Extra runs don't fit, but the use is below half of the limit, so that one task may exceed it.
	// It must not start before each other start of the workspace is answered: one that is carried out after it
	// would exceed the limit by a second task.
	Extra
	// Full means that the runs must wait.
	Full
)

// Ledger holds the accounts of all workspaces.
type Ledger struct {
	accounts map[workspace.Name]*Account
	// limited counts the accounts with a limit.
	limited int
}

// NewLedger returns a ledger without limits.
func NewLedger() *Ledger {
	return &Ledger{accounts: make(map[workspace.Name]*Account)}
}

// Account returns the account of a workspace, the same one at each call, or nil for the empty name.
func (l *Ledger) Account(name workspace.Name) *Account {
	if name == "" {
		return nil
	}
	a := l.accounts[name]
	if a == nil {
		a = &Account{}
		a.update()
		l.accounts[name] = a
	}
	return a
}

// SetLimits replaces all limits by those of a configuration. Workspaces that it lacks have no limit.
func (l *Ledger) SetLimits(d *workspace.Directory) {
	for _, a := range l.accounts {
		a.limit = workspace.Limit{}
	}
	l.limited = 0
	for _, w := range d.All() {
		if w.Limit != (workspace.Limit{}) {
			l.Account(w.Name).limit = w.Limit
			l.limited++
		}
	}
	for _, a := range l.accounts {
		a.update()
	}
}

// HasLimits reports whether a workspace has a limit.
func (l *Ledger) HasLimits() bool {
	return l.limited > 0
}

// ResetPossible drops what AddPossible has added to all accounts.
func (l *Ledger) ResetPossible() {
	for _, a := range l.accounts {
		a.possible = job.Resources{}
		a.update()
	}
}

// Account is the use and the limit of one workspace. A nil account has no limit, and nothing is counted against it.
type Account struct {
	limit workspace.Limit
	// runs is what the known runs use, possible what may be running besides.
	runs, possible job.Resources
	// free is what the use leaves of the limit, which may be negative.
	free job.Resources
}

// update recomputes free.
func (a *Account) update() {
	free := func(limit, used int64) int64 {
		if limit == 0 {
			return math.MaxInt64
		}
		return limit - used
	}
	use := a.Use()
	a.free = job.Resources{CPU: free(a.limit.CPU, use.CPU), MemMB: free(a.limit.MemMB, use.MemMB), GPU: free(a.limit.GPU, use.GPU)}
}

// HasRoom reports whether a run of a task fits the limit beside the use. It is Decide for the usual case, which a
// placement round checks for each waiting step.
func (a *Account) HasRoom(task job.Resources) bool {
	return a == nil || a.free.Fits(task)
}

// Start counts a run.
func (a *Account) Start(r job.Resources) {
	if a != nil {
		a.runs = a.runs.Add(r)
		a.update()
	}
}

// End counts a run no more.
func (a *Account) End(r job.Resources) {
	if a != nil {
		a.runs = a.runs.Sub(r)
		a.update()
	}
}

// AddPossible counts what may be running besides the known runs, until ResetPossible.
func (a *Account) AddPossible(r job.Resources) {
	if a != nil {
		a.possible = a.possible.Add(r)
		a.update()
	}
}

// IsLimited reports whether the workspace has a limit.
func (a *Account) IsLimited() bool {
	return a != nil && a.limit != workspace.Limit{}
}

// Limit returns the workspace's limit.
func (a *Account) Limit() workspace.Limit {
	if a == nil {
		return workspace.Limit{}
	}
	return a.limit
}

// Use returns what all runs that may be running use.
func (a *Account) Use() job.Resources {
	if a == nil {
		return job.Resources{}
	}
	return a.runs.Add(a.possible)
}

// Decide returns whether n runs of a task fit beside the use and what is planned. Several runs may exceed the limit by
// one of them, as a single one may.
func (a *Account) Decide(planned, task job.Resources, n int) Verdict {
	if !a.IsLimited() {
		return Room
	}
	use := a.Use().Add(planned)
	switch {
	case a.holds(use.Add(times(task, n))):
		return Room
	case a.isBelowHalf(use) && (n == 1 || a.holds(use.Add(times(task, n-1)))):
		return Extra
	default:
		return Full
	}
}

// DecideAgain returns whether n runs of a task fit, of which some are counted already.
func (a *Account) DecideAgain(task job.Resources, n, counted int) Verdict {
	return a.Decide(times(task, -counted), task, n)
}

// IsLarger reports whether n runs of a task exceed the limit although nothing else runs.
func (a *Account) IsLarger(task job.Resources, n int) bool {
	return a.IsLimited() && !a.holds(times(task, n))
}

// holds reports whether an amount is within the limit.
func (a *Account) holds(r job.Resources) bool {
	within := func(amount, limit int64) bool { return limit == 0 || amount <= limit }
	return within(r.CPU, a.limit.CPU) && within(r.MemMB, a.limit.MemMB) && within(r.GPU, a.limit.GPU)
}

// isBelowHalf reports whether an amount is below half of the limit on every limited resource.
func (a *Account) isBelowHalf(r job.Resources) bool {
	below := func(amount, limit int64) bool { return limit == 0 || amount < limit-amount }
	return below(r.CPU, a.limit.CPU) && below(r.MemMB, a.limit.MemMB) && below(r.GPU, a.limit.GPU)
}

func times(r job.Resources, n int) job.Resources {
	return job.Resources{CPU: r.CPU * int64(n), MemMB: r.MemMB * int64(n), GPU: r.GPU * int64(n)}
}
