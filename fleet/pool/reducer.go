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

// Pool is the state of a pool. A pool that was removed from the configuration is kept
// until its last host has left.
type Pool struct {
	Owner  inventory.OwnerID
	Budget configuration.Budget
	// Hosts is the number of hosts that belong to the pool, including joining ones.
	Hosts int
	// Retired pools are no longer in the configuration.
	Retired bool `json:",omitempty"`
}

// Reducer applies the records of pool membership, grants and waves. Every configured host
// has exactly one entry in hosts and therefore exactly one pool.
type Reducer struct {
	// hosts has values that are never modified in place, so that views can share them.
	hosts map[inventory.HostID]*Host
	pools map[inventory.PoolID]Pool
	// waves holds the progress of waves, including those no longer configured.
	waves map[inventory.WaveID]wave.Progress
	// configured holds the waves of the current configuration.
	configured map[inventory.WaveID]configuration.Wave
	// active holds exactly the hosts whose phase is not InService.
	active    map[inventory.HostID]struct{}
	ledger    *budget.Ledger
	observers []Observer
	// members caches the hosts of each pool, in order. It is nil after a change of them.
	members map[inventory.PoolID][]inventory.HostID
	// view caches the last view. It is nil after a change.
	view *View
}

// NewReducer returns a reducer without hosts. The observers receive each transfer.
func NewReducer(observers ...Observer) *Reducer {
	r := &Reducer{observers: observers}
	r.reset(savedState{})
	return r
}

// savedState is the encoded form of a reducer's state.
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

// Kinds returns the kinds of records that the reducer applies.
func (r *Reducer) Kinds() []journal.Kind {
	return []journal.Kind{KindGrant, KindReboot, KindHandOver, KindAdmit, KindRelease, KindHealth, KindPass, KindFinish}
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
	case KindRelease:
		return reduce(e, r.release)
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

// forEach calls step for each item. It returns the first error if all calls failed, and
// nil otherwise.
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
		return ErrNoChange
	}
	return first
}

// put replaces the state of a host and updates the counts.
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

// drop removes a host and its counts.
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

// removeEmptyPools removes retired pools without hosts.
func (r *Reducer) removeEmptyPools() {
	for id, p := range r.pools {
		if p.Retired && p.Hosts == 0 {
			delete(r.pools, id)
			r.ledger.RemoveBudget(id)
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

// MarshalState encodes the state.
func (r *Reducer) MarshalState() ([]byte, error) {
	return json.Marshal(savedState{Hosts: r.hosts, Pools: r.pools, Waves: r.waves, Configured: r.configured})
}

// UnmarshalState replaces the state with an encoded one.
func (r *Reducer) UnmarshalState(b []byte) error {
	var s savedState
	if err := json.Unmarshal(b, &s); err != nil {
		return err
	}
	r.reset(s)
	return nil
}
