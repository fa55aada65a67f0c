package pool

import (
	"fmt"
	"time"

	"github.com/godwitcross/godwitcross/fleet/budget"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/label"
)

// Explanation describes why a host is in its pool and what blocks its next move or reboot.
type Explanation struct {
	Host    inventory.HostID
	Pool    inventory.PoolID
	Owner   inventory.OwnerID
	Desired inventory.PoolID
	// Why names the selector or the rule that chose Desired.
	Why    string
	Labels label.Set
	Phase  Phase     `json:",omitempty"`
	Failed bool      `json:",omitempty"`
	Since  time.Time `json:",omitzero"`
	// By is the offset of the record that put the host into Pool.
	By journal.Offset
	// Waits is the reason why neither a move nor a wave can drain the host now.
	Waits string `json:",omitempty"`
	// GivenBack is the reason why the host was last released.
	GivenBack string `json:",omitempty"`
}

// Explain returns the explanation of a host, or ErrHost if there is no such host.
func Explain(cfg configuration.Configuration, v *View, id inventory.HostID) (Explanation, error) {
	h, ok := v.Hosts[id]
	c := cfg.Hosts[id]
	if !ok {
		return Explanation{}, ErrHost
	}
	x := Explanation{
		Host: id, Pool: h.Pool, Owner: v.Pools[h.Pool].Owner, Desired: h.Desired,
		Why: desiredReason(cfg, id), Labels: c.AllLabels(id), Phase: h.Phase, Failed: h.Failed,
		Since: h.Owned, By: h.OwnedBy, GivenBack: h.Why,
	}
	switch err := v.ledger.Check(h.Place()); {
	case h.Failed:
		x.Waits = "the host has failed"
	case h.Phase == InService && err != nil:
		x.Waits = err.Error()
	}
	return x, nil
}

func desiredReason(cfg configuration.Configuration, id inventory.HostID) string {
	p := cfg.PoolOf(id)
	h := cfg.Hosts[id]
	if pool := cfg.Pools[p]; pool.Claims(id, h) {
		return fmt.Sprintf("the selector %q of pool %s claims the host", pool.Hosts, p)
	}
	return fmt.Sprintf("no selector claims the host, and %s is the spare pool of its owner %s", p, h.Owner)
}

// Status is a pool as reported to operators.
type Status struct {
	ID      inventory.PoolID
	Owner   inventory.OwnerID
	Retired bool `json:",omitempty"`
	// Limit is how many hosts may be unavailable at once.
	Limit       int
	Unavailable int
	Count       budget.Count
	// Breaches are the pool's domains over their limit, each with its cause.
	Breaches []BreachStatus `json:",omitempty"`
}

// BreachStatus is a domain over its limit.
type BreachStatus struct {
	Domain      string
	Limit       int
	Unavailable int
	// Cause is a readable text, for example "3 failed".
	Cause string
}

// NewStatus returns the status of a pool.
func NewStatus(v *View, id inventory.PoolID) Status {
	d := budget.Domain{Pool: id}
	c := v.Count(d)
	p := v.Pools[id]
	s := Status{ID: id, Owner: p.Owner, Retired: p.Retired, Limit: v.Limit(d), Unavailable: c.Unavailable(), Count: c}
	for _, b := range v.Breaches {
		if b.Domain.Pool == id {
			s.Breaches = append(s.Breaches, newBreachStatus(b))
		}
	}
	return s
}

func newBreachStatus(b budget.Breach) BreachStatus {
	s := BreachStatus{Domain: b.Domain.String(), Limit: b.Limit, Unavailable: b.Count.Unavailable()}
	s.Cause = fmt.Sprintf("%d failed", b.Count.Failed)
	if n := b.Count.Unavailable() - b.Count.Failed; n > 0 {
		s.Cause += fmt.Sprintf(", %d disturbed before that and coming back", n)
	}
	if b.Count.Failed == 0 {
		s.Cause = "the configuration lowered the limit or took hosts away"
	}
	return s
}
