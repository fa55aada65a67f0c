package pool

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/budget"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/wave"
)

// Pool is what the fold keeps of a pool. A pool that was taken out of the
// configuration stays until its last host has left.
type Pool struct {
	Owner  inventory.OwnerID
	Budget configuration.Budget
	// Hosts counts the hosts that belong to the pool, joining ones included.
	Hosts int
	// Retired pools are no longer in the configuration.
	Retired bool `json:",omitempty"`
}

// Reducer folds ownership, grants and waves. Every host of the configuration has
// exactly one entry in hosts and so exactly one pool.
type Reducer struct {
	// hosts has values that are never changed in place, so that views share them.
	hosts map[inventory.HostID]*Host
	pools map[inventory.PoolID]Pool
	// waves holds the progress of waves, also of those no longer configured.
	waves map[inventory.WaveID]wave.Progress
	// configured are the waves of the configuration in force.
	configured map[inventory.WaveID]configuration.Wave
	// active holds exactly the hosts whose phase is not InService.
	active    map[inventory.HostID]struct{}
	ledger    *budget.Ledger
	observers []Observer
	// members holds the hosts of each pool, in order; nil after a change of one.
	members map[inventory.PoolID][]inventory.HostID
	// view is nil after a change.
	view *View
}

// NewReducer returns a reducer without hosts. The observers see each transfer.
func NewReducer(observers ...Observer) *Reducer {
	r := &Reducer{observers: observers}
	r.reset(savedState{})
	return r
}

// savedState is the marshalled form.
type savedState struct {
	Hosts      map[inventory.HostID]*Host
	Pools      map[inventory.PoolID]Pool
	Waves      map[inventory.WaveID]wave.Progress
	Configured map[inventory.WaveID]configuration.Wave
}

func (r *Reducer) reset(s savedState) {
	r.hosts, r.pools, r.waves, r.configured = orEmpty(s.Hosts), orEmpty(s.Pools), orEmpty(s.Waves), orEmpty(s.Configured)
	r.active = make(map[inventory.HostID]struct{})
	r.ledger = budget.NewLedger()
	r.view, r.members = nil, nil
	for id, p := range r.pools {
		r.ledger.SetBudget(id, p.Budget)
	}
	for id, h := range r.hosts {
		r.ledger.Add(h.Place(), h.Status())
		if h.Phase != InService {
			r.active[id] = struct{}{}
		}
	}
}

func orEmpty[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return m
}

// Kinds returns the kinds of records that the reducer folds.
func (r *Reducer) Kinds() []journal.Kind {
	return []journal.Kind{KindGrant, KindReboot, KindHandOver, KindAdmit, KindGiveBack, KindHealth, KindPass, KindFinish}
}

// Reduce applies one record of the keeper.
func (r *Reducer) Reduce(e journal.Entry) error {
	if e.Record.Duty != string(DutyKeeper) {
		return eris.Wrapf(ErrUnguarded, "duty %q", e.Record.Duty)
	}
	switch e.Record.Kind {
	case KindGrant:
		return reduce(e, r.grant)
	case KindReboot:
		return reduce(e, r.reboot)
	case KindHandOver:
		return reduce(e, r.handOver)
	case KindAdmit:
		return reduce(e, r.admit)
	case KindGiveBack:
		return reduce(e, r.giveBack)
	case KindHealth:
		return reduce(e, r.health)
	case KindPass:
		return reduce(e, r.startPass)
	}
	return reduce(e, r.finishPass)
}

// reduce decodes the body and applies it.
func reduce[T any](e journal.Entry, apply func(e journal.Entry, body T) error) error {
	body, err := journal.DecodeBody[T](e.Record)
	if err != nil {
		return err
	}
	return apply(e, body)
}

// forEach applies a step to each item. The error is that of the first item if
// all failed, and nil otherwise.
func forEach[T any](items []T, step func(T) error) error {
	var first error
	done := 0
	for _, item := range items {
		if err := step(item); err == nil {
			done++
		} else if first == nil {
			first = err
		}
	}
	if done > 0 {
		return nil
	}
	if first == nil {
		return ErrNothing
	}
	return first
}

// put replaces the state of a host and counts it.
func (r *Reducer) put(id inventory.HostID, h Host) {
	r.view = nil
	if old, ok := r.hosts[id]; !ok || old.Pool != h.Pool {
		r.members = nil
	}
	r.drop(id)
	r.hosts[id] = &h
	r.ledger.Add(h.Place(), h.Status())
	r.countHosts(h.Pool, 1)
	if h.Phase != InService {
		r.active[id] = struct{}{}
	}
}

// drop takes a host out of all counts.
func (r *Reducer) drop(id inventory.HostID) {
	h, ok := r.hosts[id]
	if !ok {
		return
	}
	r.view = nil
	r.ledger.Remove(h.Place(), h.Status())
	r.countHosts(h.Pool, -1)
	delete(r.active, id)
	delete(r.hosts, id)
}

func (r *Reducer) countHosts(id inventory.PoolID, n int) {
	p := r.pools[id]
	p.Hosts += n
	r.pools[id] = p
}

// forgetEmpty drops retired pools without hosts.
func (r *Reducer) forgetEmpty() {
	for id, p := range r.pools {
		if p.Retired && p.Hosts == 0 {
			delete(r.pools, id)
			r.ledger.Forget(id)
		}
	}
}

func (r *Reducer) host(id inventory.HostID) (Host, error) {
	h, ok := r.hosts[id]
	if !ok {
		return Host{}, eris.Wrapf(ErrHost, "%s", id)
	}
	return *h, nil
}

// MarshalState returns the state.
func (r *Reducer) MarshalState() ([]byte, error) {
	return json.Marshal(savedState{Hosts: r.hosts, Pools: r.pools, Waves: r.waves, Configured: r.configured})
}

// UnmarshalState replaces the state.
func (r *Reducer) UnmarshalState(b []byte) error {
	var s savedState
	if err := json.Unmarshal(b, &s); err != nil {
		return err
	}
	r.reset(s)
	return nil
}
