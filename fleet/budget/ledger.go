// Package budget counts the hosts of each pool and failure domain that are
// unavailable and decides whether one more may be.
package budget

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// ErrUsedUp is returned when a domain has no room for one more unavailable host.
var ErrUsedUp = eris.New("availability budget used up")

// Status is how a host counts.
type Status int

// The statuses of a host.
const (
	// Available hosts are members that serve.
	Available Status = iota
	// Failed hosts are members that are gone without a grant.
	Failed
	// Draining hosts have a grant and can still be given back at once.
	Draining
	// Rebooting hosts have a grant and are past the point of no return.
	Rebooting
	// Returning hosts were given back and are not yet admitted again.
	Returning
	// Joining hosts were handed over and never served their new pool, so they
	// count neither as members nor as unavailable.
	Joining
)

// Place is where a host counts.
type Place struct {
	Pool       inventory.PoolID
	DataCentre inventory.DataCentreID
	// Rack is unique within its data centre; empty for a host without a rack.
	Rack inventory.RackID
}

// Domain is a pool, or the part of it in a data centre or in a rack.
type Domain struct {
	Pool inventory.PoolID
	// DataCentre is empty for the whole pool.
	DataCentre inventory.DataCentreID `json:",omitempty"`
	// Rack is empty for the whole pool and for a data centre.
	Rack inventory.RackID `json:",omitempty"`
}

// Domains returns the domains that a place belongs to, the widest first.
func (p Place) Domains() []Domain {
	d := []Domain{{Pool: p.Pool}, {Pool: p.Pool, DataCentre: p.DataCentre}}
	if p.Rack != "" {
		d = append(d, Domain(p))
	}
	return d
}

// Count is the hosts of a domain by status. No number is negative.
type Count struct {
	// Members are all hosts but the joining ones.
	Members int
	Failed, Draining, Rebooting, Returning,
	Joining int
}

// Unavailable returns how many members do not serve.
func (c Count) Unavailable() int {
	return c.Failed + c.Draining + c.Rebooting + c.Returning
}

// committed returns how many members stay unavailable if nothing is given back.
func (c Count) committed() int {
	return c.Failed + c.Draining + c.Rebooting
}

func (c *Count) add(s Status, n int) {
	if s == Joining {
		c.Joining += n
		return
	}
	c.Members += n
	switch s {
	case Failed:
		c.Failed += n
	case Draining:
		c.Draining += n
	case Rebooting:
		c.Rebooting += n
	case Returning:
		c.Returning += n
	}
}

// Ledger counts hosts by domain. It is deterministic and keeps no history.
type Ledger struct {
	budgets map[inventory.PoolID]configuration.Budget
	// counts holds no domain without hosts.
	counts map[Domain]Count
}

// NewLedger returns a ledger without hosts.
func NewLedger() *Ledger {
	return &Ledger{budgets: make(map[inventory.PoolID]configuration.Budget), counts: make(map[Domain]Count)}
}

// Clone returns a copy that shares nothing with l.
func (l *Ledger) Clone() *Ledger {
	return &Ledger{budgets: maps.Clone(l.budgets), counts: maps.Clone(l.counts)}
}

// SetBudget sets the budget of a pool.
func (l *Ledger) SetBudget(p inventory.PoolID, b configuration.Budget) {
	l.budgets[p] = b
}

// Budget returns the budget of a pool.
func (l *Ledger) Budget(p inventory.PoolID) configuration.Budget {
	return l.budgets[p]
}

// Forget drops the budget of a pool that has no hosts left.
func (l *Ledger) Forget(p inventory.PoolID) {
	delete(l.budgets, p)
}

// Add counts a host.
func (l *Ledger) Add(p Place, s Status) {
	l.change(p, s, 1)
}

// Remove takes a host out of the count.
func (l *Ledger) Remove(p Place, s Status) {
	l.change(p, s, -1)
}

func (l *Ledger) change(p Place, s Status, n int) {
	for _, d := range p.Domains() {
		c := l.counts[d]
		c.add(s, n)
		if c == (Count{}) {
			delete(l.counts, d)
			continue
		}
		l.counts[d] = c
	}
}

// Count returns the count of a domain.
func (l *Ledger) Count(d Domain) Count {
	return l.counts[d]
}

// Limit returns how many hosts of a domain may be unavailable at once.
func (l *Ledger) Limit(d Domain) int {
	b, members := l.budgets[d.Pool], l.counts[d].Members
	switch {
	case d.Rack != "":
		if b.MaxPerRack == 0 {
			return members
		}
		return b.MaxPerRack
	case d.DataCentre != "":
		if b.MaxPerDataCentre == 0 {
			return members
		}
		return atLeastOne(b.MaxPerDataCentre.Of(int64(members)))
	}
	return atLeastOne(b.MaxUnavailable.Of(int64(members)))
}

func atLeastOne(n int64) int {
	return int(max(n, 1))
}

// Room returns ErrUsedUp, wrapped with the domain, unless one more available
// host at the place may become unavailable.
func (l *Ledger) Room(p Place) error {
	for _, d := range p.Domains() {
		c, limit := l.counts[d], l.Limit(d)
		if c.Unavailable() >= limit {
			return eris.Wrapf(ErrUsedUp, "%s: %d of at most %d hosts are unavailable, %d of them failed", d, c.Unavailable(), limit, c.Failed)
		}
	}
	return nil
}

// HasRoom is Room without the reason.
func (l *Ledger) HasRoom(p Place) bool {
	for _, d := range p.Domains() {
		if l.counts[d].Unavailable() >= l.Limit(d) {
			return false
		}
	}
	return true
}

// MustGiveBack reports whether a draining host at the place has to be given
// back because failures or a lower limit used the budget up.
func (l *Ledger) MustGiveBack(p Place) bool {
	for _, d := range p.Domains() {
		if l.counts[d].committed() > l.Limit(d) {
			return true
		}
	}
	return false
}

// String returns the domain as Pool, Pool/DataCentre or Pool/DataCentre/Rack.
func (d Domain) String() string {
	s := string(d.Pool)
	if d.DataCentre != "" {
		s += "/" + string(d.DataCentre)
	}
	if d.Rack != "" {
		s += "/" + string(d.Rack)
	}
	return s
}

// Breach is a domain with more unavailable hosts than its limit.
type Breach struct {
	Domain Domain
	Limit  int
	Count  Count
}

// Breaches returns all breaches in order of their domains.
func (l *Ledger) Breaches() []Breach {
	var out []Breach
	for d, c := range l.counts {
		if c.Unavailable() == 0 {
			continue
		}
		if limit := l.Limit(d); c.Unavailable() > limit {
			out = append(out, Breach{Domain: d, Limit: limit, Count: c})
		}
	}
	slices.SortFunc(out, func(a, b Breach) int { return cmp.Compare(a.Domain.String(), b.Domain.String()) })
	return out
}

// Domains returns the count of every domain that has hosts.
func (l *Ledger) Domains() map[Domain]Count {
	return l.counts
}
