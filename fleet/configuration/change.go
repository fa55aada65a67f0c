package configuration

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/rotisserie/eris"
)

// MaxChangeBytes is the maximum size of a published change.
const MaxChangeBytes = 8 << 20

// Errors of parsing and applying changes.
var (
	ErrSyntax   = eris.New("not a readable configuration")
	ErrTooLarge = eris.New("configuration too large")
	ErrStale    = eris.New("stale base version")
	ErrEmpty    = eris.New("change without objects")
	ErrNotFound = eris.New("no such object")
)

// Change is one publication: objects to set and objects to delete, based on a
// version of the configuration.
type Change struct {
	// Base is the version on which the operator based the change. The change is
	// rejected if any object that it touches was changed after Base.
	Base Version
	// Set has complete objects; each replaces the one of the same kind and name.
	Set Objects
	// Delete has the keys of objects to delete, which must exist.
	Delete []Key `json:",omitempty"`
	// Comment is free text that is stored with the change.
	Comment string `json:",omitempty"`
}

// ParseObjects parses a configuration file. It returns an error for an unknown
// field, a value of the wrong type or out of range, data after the document, or input
// larger than MaxChangeBytes.
func ParseObjects(b []byte) (Objects, error) {
	var o Objects
	err := parse(b, &o)
	return o, err
}

// ParseChange parses a change as strictly as ParseObjects.
func ParseChange(b []byte) (Change, error) {
	var c Change
	err := parse(b, &c)
	return c, err
}

func parse(b []byte, into any) error {
	if len(b) > MaxChangeBytes {
		return eris.Wrapf(ErrTooLarge, "%d bytes are more than %d", len(b), MaxChangeBytes)
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return eris.Wrapf(ErrSyntax, "at byte %d: %s", d.InputOffset(), err)
	}
	if _, err := d.Token(); err != io.EOF {
		return eris.Wrapf(ErrSyntax, "at byte %d: text behind the end", d.InputOffset())
	}
	return nil
}

// Touched returns the sorted keys of all objects that the change sets or deletes.
func (c Change) Touched() []Key {
	keys := append(c.Set.Keys(), c.Delete...)
	SortKeys(keys)
	return keys
}

// Apply returns the configuration after the change, with defaults applied and the
// result validated. On failure it returns cfg unchanged and an error that names the
// object. The version is that of the change.
func (cfg Configuration) Apply(c Change, version Version) (Configuration, error) {
	touched := c.Touched()
	if len(touched) == 0 {
		return cfg, ErrEmpty
	}
	if err := cfg.checkStale(c); err != nil {
		return cfg, err
	}
	next := cfg
	next.Version = version
	next.Changed = maps.Clone(cfg.Changed)
	if next.Changed == nil {
		next.Changed = make(map[Key]Version, len(touched))
	}
	set := c.Set.WithDefaults()
	for _, a := range accessors {
		a.merge(&next.Objects, set)
	}
	for _, k := range c.Delete {
		if !accessors[k.Kind].has(cfg.Objects, k.Name) {
			return cfg, eris.Wrapf(ErrNotFound, "cannot delete %s", k)
		}
		accessors[k.Kind].remove(&next.Objects, k.Name)
	}
	for _, k := range touched {
		next.Changed[k] = version
	}
	if err := next.validateChange(cfg.Objects, touched, cfg.mustMatch(c)); err != nil {
		return cfg, err
	}
	return next, nil
}

// checkStale returns an error if an object that the change touches was changed after
// its base version.
func (cfg Configuration) checkStale(c Change) error {
	for _, k := range c.Touched() {
		if at := cfg.Changed[k]; at > c.Base {
			return eris.Wrapf(ErrStale, "%s was changed by version %d, after the base version %d", k, at, c.Base)
		}
	}
	return nil
}

// mustMatch returns a predicate for the pools whose selectors have to match a host
// after the change: those that it sets, and those of the owners whose hosts it touches.
// Other pools may end up empty, so that an owner can take back a lent host even if it
// was the last in the borrower's pool.
func (cfg Configuration) mustMatch(c Change) func(inventory.PoolID, Pool) bool {
	owners := make(map[inventory.OwnerID]bool)
	for _, k := range c.Touched() {
		if k.Kind != KindHost {
			continue
		}
		for _, o := range []Objects{cfg.Objects, c.Set} {
			owners[o.Hosts[inventory.HostID(k.Name)].Owner] = true
		}
	}
	return func(id inventory.PoolID, p Pool) bool {
		_, set := c.Set.Pools[id]
		return set || owners[p.Owner]
	}
}

// OwnerOf returns the owner of a host, pool, service, tenant, team or wave. It returns
// false for owners, operators and data centres, which count as common to all owners.
func (o Objects) OwnerOf(k Key) (inventory.OwnerID, bool) {
	switch k.Kind {
	case KindHost:
		return o.Hosts[inventory.HostID(k.Name)].Owner, true
	case KindPool:
		return o.Pools[inventory.PoolID(k.Name)].Owner, true
	case KindService:
		return o.Services[inventory.ServiceID(k.Name)].Owner, true
	case KindTenant:
		return o.Tenants[inventory.TenantID(k.Name)].Owner, true
	case KindTeam:
		return o.Teams[inventory.TeamID(k.Name)].Owner, true
	case KindWave:
		return o.Waves[inventory.WaveID(k.Name)].Owner, true
	}
	return "", false
}
