package configuration

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/label"
)

func selector(t *testing.T, text string) label.Selector {
	t.Helper()
	s, err := label.Parse(text)
	require.NoError(t, err)
	return s
}

// twoPools returns one owner with a spare pool, a pool that selects by label, and
// three hosts.
func twoPools(t *testing.T) Objects {
	t.Helper()
	host := func(p string) Host {
		return Host{Owner: "Corchos", DataCentre: "Montevideo", Rack: "r1", Labels: label.Set{"Pool": p}}
	}
	return Objects{
		Owners:      map[inventory.OwnerID]Owner{"Corchos": {SparePool: "Administration"}},
		DataCentres: map[inventory.DataCentreID]DataCentre{"Montevideo": {Region: "Montevideo"}},
		Hosts:       map[inventory.HostID]Host{"h1": host("A"), "h2": host("A"), "h3": host("None")},
		Pools: map[inventory.PoolID]Pool{
			"Administration": {Owner: "Corchos"},
			"A":              {Owner: "Corchos", Hosts: selector(t, "Pool=A")},
		},
	}
}

func TestApplyErrorNamesTheObject(t *testing.T) {
	tests := map[string]struct {
		set  Objects
		want error
		text string
	}{
		"overlapping selectors": {
			set:  Objects{Pools: map[inventory.PoolID]Pool{"B": {Owner: "Corchos", Hosts: selector(t, "Pool in (A,B)")}}},
			want: ErrOverlap, text: "Host/h1 is claimed by Pool/A and Pool/B",
		},
		"selector without a match": {
			set:  Objects{Pools: map[inventory.PoolID]Pool{"B": {Owner: "Corchos", Hosts: selector(t, "Pool=B")}}},
			want: ErrNoMatch, text: "Pool/B",
		},
		"unknown owner": {
			set:  Objects{Teams: map[inventory.TeamID]Team{"T": {Owner: "Nobody"}}},
			want: ErrReference, text: `Team/T: Owner "Nobody"`,
		},
		"budget above 100 percent": {
			set:  Objects{Pools: map[inventory.PoolID]Pool{"Administration": {Owner: "Corchos", Budget: Budget{MaxUnavailable: 2_000_000}}}},
			want: ErrRange, text: "Budget.MaxUnavailable is 2000000",
		},
		"budget that allows all hosts to be unavailable": {
			set:  Objects{Pools: map[inventory.PoolID]Pool{"A": {Owner: "Corchos", Hosts: selector(t, "Pool=A"), Budget: Budget{MaxUnavailable: 1_000_000}}}},
			want: ErrBudget, text: "Pool/A: Budget.MaxUnavailable allows all 2 hosts",
		},
		"cycle of reserves": {
			set:  Objects{Pools: map[inventory.PoolID]Pool{"Administration": {Owner: "Corchos", Reserve: "A"}, "A": {Owner: "Corchos", Hosts: selector(t, "Pool=A"), Reserve: "Administration"}}},
			want: ErrCycle, text: "Reserve comes back",
		},
		"configured label with a derived name": {
			set:  Objects{Hosts: map[inventory.HostID]Host{"h4": {Owner: "Corchos", DataCentre: "Montevideo", Labels: label.Set{"Rack": "r9"}}}},
			want: ErrReserved, text: `Host/h4: label "Rack"`,
		},
		"negative size": {
			set:  Objects{Hosts: map[inventory.HostID]Host{"h4": {Owner: "Corchos", DataCentre: "Montevideo", Size: inventory.Size{Cores: -1}}}},
			want: ErrRange, text: "Cores is -1",
		},
		"empty change": {set: Objects{}, want: ErrEmpty, text: "change without objects"},
	}
	cfg, err := Configuration{}.Apply(Change{Set: twoPools(t)}, 1)
	require.NoError(t, err)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := cfg.Apply(Change{Base: 1, Set: test.set}, 2)
			require.ErrorIs(t, err, test.want)
			require.ErrorContains(t, err, test.text)
			require.Equal(t, cfg, got, "a rejected change must not modify the configuration")
		})
	}
}

func TestApplyDetectsConflictsPerObject(t *testing.T) {
	cfg, err := Configuration{}.Apply(Change{Set: twoPools(t)}, 1)
	require.NoError(t, err)
	team := func(w int) Objects {
		return Objects{Teams: map[inventory.TeamID]Team{"T": {Owner: "Corchos", Weight: w}}}
	}
	cfg, err = cfg.Apply(Change{Base: 1, Set: team(1)}, 2)
	require.NoError(t, err)
	_, err = cfg.Apply(Change{Base: 1, Set: team(2)}, 3)
	require.ErrorIs(t, err, ErrStale, "the object was changed after the base version")
	other := Objects{Teams: map[inventory.TeamID]Team{"U": {Owner: "Corchos"}}}
	cfg, err = cfg.Apply(Change{Base: 1, Set: other}, 3)
	require.NoError(t, err, "a change of another object is no conflict")
	require.Equal(t, Version(3), cfg.Version)
}

func TestParseErrorNamesTheByte(t *testing.T) {
	for name, text := range map[string]string{
		"unknown field":       `{"Pools":{"A":{"Budgte":{}}}}`,
		"second document":     `{} {}`,
		"bad selector":        `{"Pools":{"A":{"Hosts":"a in (b"}}}`,
		"bad duration":        `{"Waves":{"W":{"Window":"tomorrow"}}}`,
		"wrong type":          `{"Teams":{"T":{"Weight":"much"}}}`,
		"number out of range": `{"Teams":{"T":{"Weight":1e99}}}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ParseObjects([]byte(text))
			require.ErrorIs(t, err, ErrSyntax)
			require.ErrorContains(t, err, "at byte")
		})
	}
}
