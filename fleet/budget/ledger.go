// Package budget counts the unavailable hosts of each pool and failure domain and
// decides whether one more host may become unavailable.
package budget

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// ErrLimitReached is returned when a domain already has as many unavailable hosts as its
// limit allows.
var ErrLimitReached = eris.New("availability budget used up")

// Status is the availability of a host.
type Status int

// The values of Status.
const (
	// Available hosts are members of their pool and in service.
	Available Status = iota
	// Failed hosts are members that became unavailable without a grant.
	Failed
	// Draining hosts have a grant and can still be returned to service at once.
	Draining
	// Rebooting hosts have a grant, and their reboot can no longer be cancelled.
	Rebooting
	// Returning hosts have been released and wait to be readmitted.
	Returning
	// Joining hosts have been transferred to another pool and have not served it yet,
	// so they count neither as members nor as unavailable.
	Joining
)

// Place is the pool and the failure domains that a host counts towards.
type Place struct {
	Pool       inventory.PoolID
	DataCentre inventory.DataCentreID
	// Rack is unique within its data centre. It is empty for a host without a rack.
	Rack inventory.RackID
}

// Domain is a whole pool, or the part of it in one data centre or rack.
type Domain struct {
	Pool inventory.PoolID
	// DataCentre is empty for the whole pool.
	DataCentre inventory.DataCentreID `json:",omitempty"`
	// Rack is empty for the whole pool and for a data centre.
	Rack inventory.RackID `json:",omitempty"`
}

// Domains returns the domains that contain the place, widest first.
func (p Place) Domains() []Domain {
	d := []Domain{{Pool: p.Pool}, {Pool: p.Pool, DataCentre: p.DataCentre}}
	if p.Rack != "" {
		d = append(d, Domain(p))
	}
	return d
}

// Count holds the number of hosts of a domain by status. No number is negative.
type Count struct {
	// Members counts all hosts except the joining ones.
	Members int
	Failed, Draining, Rebooting, Returning,
	Joining int
}

// Unavailable returns the number of members that are not in service.
func (c Count) Unavailable() int {
	return c.Failed + c.Draining + c.Rebooting + c.Returning
}

// unavailableWithoutReturning returns the number of unavailable members, without
// those that have been released and wait to be readmitted.
func (c Count) unavailableWithoutReturning() int {
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

// Ledger counts hosts by domain. It is deterministic and keeps only current counts.
type Ledger struct {
	budgets map[inventory.PoolID]configuration.Budget
	// counts has entries only for domains that have hosts.
	counts map[Domain]Count
}

// NewLedger returns a ledger without hosts.
func NewLedger() *Ledger {
	return &Ledger{budgets: make(map[inventory.PoolID]configuration.Budget), counts: make(map[Domain]Count)}
}

// Clone returns a copy that shares no state with l.
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

// RemoveBudget removes the budget of a pool that has no hosts left.
func (l *Ledger) RemoveBudget(p inventory.PoolID) {
	delete(l.budgets, p)
}

// Add counts a host with the status in all domains of the place.
func (l *Ledger) Add(p Place, s Status) {
	l.adjust(p, s, 1)
}

// Remove reverses Add for a host with the same place and status.
func (l *Ledger) Remove(p Place, s Status) {
	l.adjust(p, s, -1)
}

func (l *Ledger) adjust(p Place, s Status, n int) {
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

// Limit returns the maximum number of hosts of a domain that may be unavailable at
// once. The limit of the pool, and that of a data centre if it is set, is at least 1.
// Without a limit per rack or data centre, all members there may be unavailable.
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

// Check returns nil if one more available host at the place may become unavailable,
// and otherwise ErrLimitReached wrapped with the domain that is at its limit.
func (l *Ledger) Check(p Place) error {
	for _, d := range p.Domains() {
		c, limit := l.counts[d], l.Limit(d)
		if c.Unavailable() >= limit {
			return eris.Wrapf(ErrLimitReached, "%s: %d of at most %d hosts are unavailable, %d of them failed", d, c.Unavailable(), limit, c.Failed)
		}
	}
	return nil
}

// Allows reports whether one more available host at the place may become
// unavailable. Unlike Check, it doesn't name the domain that is at its limit.
func (l *Ledger) Allows(p Place) bool {
	for _, d := range p.Domains() {
		if l.counts[d].Unavailable() >= l.Limit(d) {
			return false
		}
	}
	return true
}

// MustRelease reports whether a draining host at the place must be released because
// failures or a lowered limit have put a domain over its limit.
func (l *Ledger) MustRelease(p Place) bool {
	for _, d := range p.Domains() {
		if l.counts[d].unavailableWithoutReturning() > l.Limit(d) {
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

// Breaches returns all breaches, sorted by domain name.
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
