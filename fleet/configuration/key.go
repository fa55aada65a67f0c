package configuration

import (
	"cmp"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrKey is returned for text that is not an object key.
var ErrKey = eris.New("not an object key")

// ObjectKind is the kind of a configuration object.
type ObjectKind string

// Object kinds, in order of validation.
const (
	KindOwner      ObjectKind = "Owner"
	KindOperator   ObjectKind = "Operator"
	KindDataCentre ObjectKind = "DataCentre"
	KindHost       ObjectKind = "Host"
	KindPool       ObjectKind = "Pool"
	KindService    ObjectKind = "Service"
	KindTenant     ObjectKind = "Tenant"
	KindTeam       ObjectKind = "Team"
	KindWave       ObjectKind = "Wave"
)

// Key identifies a configuration object.
type Key struct {
	Kind ObjectKind
	Name string
}

// String returns the key as Kind/Name.
func (k Key) String() string {
	return string(k.Kind) + "/" + k.Name
}

// MarshalText encodes the key as Kind/Name.
func (k Key) MarshalText() ([]byte, error) {
	return []byte(k.String()), nil
}

// UnmarshalText parses a key of the form Kind/Name.
func (k *Key) UnmarshalText(b []byte) error {
	kind, name, ok := strings.Cut(string(b), "/")
	if !ok || name == "" {
		return eris.Wrapf(ErrKey, "%q is not Kind/Name", b)
	}
	if _, known := accessors[ObjectKind(kind)]; !known {
		return eris.Wrapf(ErrKey, "unknown kind in %q", b)
	}
	*k = Key{Kind: ObjectKind(kind), Name: name}
	return nil
}

// Keys returns the keys of all objects, sorted.
func (o Objects) Keys() []Key {
	var keys []Key
	for kind, a := range accessors {
		for _, n := range a.names(o) {
			keys = append(keys, Key{Kind: kind, Name: n})
		}
	}
	SortKeys(keys)
	return keys
}

// SortKeys sorts keys by kind, then by name.
func SortKeys(keys []Key) {
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
}
