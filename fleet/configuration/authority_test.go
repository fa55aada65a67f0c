package configuration

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/label"
)

// twoOwners returns a configuration with two owners, each with an operator, a spare
// pool, a pool and hosts.
func twoOwners(t *testing.T) Objects {
	t.Helper()
	o := Objects{
		Owners:      map[inventory.OwnerID]Owner{"Corchos": {SparePool: "Administration"}, "Campanella": {SparePool: "FrontDesk"}},
		Operators:   map[inventory.OperatorID]Operator{"ana": {Owner: "Corchos"}, "bea": {Owner: "Campanella"}},
		DataCentres: map[inventory.DataCentreID]DataCentre{"Montevideo": {Region: "Montevideo"}},
		Hosts: map[inventory.HostID]Host{
			"c1": {Owner: "Corchos", DataCentre: "Montevideo", Labels: label.Set{"Pool": "Prices"}},
			"c2": {Owner: "Corchos", DataCentre: "Montevideo"},
			"s1": {Owner: "Campanella", DataCentre: "Montevideo", Labels: label.Set{"Pool": "Schedules"}},
		},
		Pools: map[inventory.PoolID]Pool{
			"Administration": {Owner: "Corchos"},
			"FrontDesk":      {Owner: "Campanella"},
			"Prices":         {Owner: "Corchos", Hosts: selector(t, "Pool=Prices")},
			"Schedules":      {Owner: "Campanella", Hosts: selector(t, "Pool=Schedules")},
		},
	}
	return o.WithDefaults()
}

// recordLog passes records to a reducer at consecutive offsets, as the platform's log
// does.
type recordLog struct {
	t       *testing.T
	reducer *Reducer
	next    journal.Offset
}

func newRecordLog(t *testing.T, first Objects) *recordLog {
	t.Helper()
	h := &recordLog{t: t, reducer: NewReducer()}
	require.NoError(t, h.add("root", KindChange, Change{Set: first}))
	return h
}

// add appends a change that is based on the current version.
func (h *recordLog) add(by string, kind journal.Kind, c Change) error {
	h.t.Helper()
	c.Base = h.reducer.Current().Version
	return h.addAt(by, kind, c)
}

// addAt appends a change with the base version that is set in it.
func (h *recordLog) addAt(by string, kind journal.Kind, c Change) error {
	h.t.Helper()
	r, err := journal.NewRecord("r", kind, time.Unix(0, 0), by, c)
	require.NoError(h.t, err)
	h.next++
	return h.reducer.Reduce(journal.Entry{Offset: h.next - 1, Record: r})
}

// setHost returns objects with the one host, in Montevideo.
func setHost(id inventory.HostID, h Host) Objects {
	h.DataCentre = "Montevideo"
	return Objects{Hosts: map[inventory.HostID]Host{id: h}}
}

func TestOperatorChangesOnlyItsOwnersObjects(t *testing.T) {
	pool := func(id inventory.PoolID, w inventory.OwnerID) Objects {
		return Objects{Pools: map[inventory.PoolID]Pool{id: {Owner: w, Hosts: selector(t, "Pool=Prices")}}}
	}
	operator := func(id inventory.OperatorID, w inventory.OwnerID) Objects {
		return Objects{Operators: map[inventory.OperatorID]Operator{id: {Owner: w}}}
	}
	tests := map[string]struct {
		by     string
		change Change
		reason string
	}{
		"own host":           {by: "ana", change: Change{Set: setHost("c2", Host{Owner: "Corchos", Labels: label.Set{"A": "1"}})}},
		"other owner's host": {by: "bea", change: Change{Set: setHost("c2", Host{Owner: "Corchos"})}, reason: "Host/c2 needs the agreement of Corchos"},
		"other owner's host with Owner changed to the author's": {by: "bea", change: Change{Set: setHost("c2", Host{Owner: "Campanella"})}, reason: "Host/c2 needs the agreement of Corchos"},
		"own host transferred to the other owner":               {by: "ana", change: Change{Set: setHost("c2", Host{Owner: "Campanella"})}, reason: "Host/c2 needs the agreement of Campanella"},
		"delete other owner's host":                             {by: "bea", change: Change{Delete: []Key{{KindHost, "c2"}}}, reason: "Host/c2 needs the agreement of Corchos"},
		"new pool for the other owner":                          {by: "bea", change: Change{Set: pool("New", "Corchos")}, reason: "Pool/New needs the agreement of Corchos"},
		"other owner's pool with Owner changed to the author's": {by: "bea", change: Change{Set: pool("Prices", "Campanella")}, reason: "Pool/Prices needs the agreement of Corchos"},
		"no operator":                      {by: "", change: Change{Set: setHost("c2", Host{Owner: "Corchos"})}, reason: `operator "" is not known`},
		"unknown operator":                 {by: "eve", change: Change{Set: setHost("c2", Host{Owner: "Corchos"})}, reason: `operator "eve" is not known`},
		"new operator for the own owner":   {by: "ana", change: Change{Set: operator("carla", "Corchos")}},
		"new operator for the other owner": {by: "ana", change: Change{Set: operator("mole", "Campanella")}, reason: "Operator/mole needs the agreement of Campanella"},
		"other owner's operator with Owner changed to the author's": {by: "ana", change: Change{Set: operator("bea", "Corchos")}, reason: "Operator/bea needs the agreement of Campanella"},
		"delete other owner's operator":                             {by: "ana", change: Change{Delete: []Key{{KindOperator, "bea"}}}, reason: "Operator/bea needs the agreement of Campanella"},
		"delete own last operator":                                  {by: "ana", change: Change{Delete: []Key{{KindOperator, "ana"}}}, reason: "Owner/Corchos would be left without an operator"},
		"data centre without approval":                              {by: "ana", change: Change{Set: Objects{DataCentres: map[inventory.DataCentreID]DataCentre{"Montevideo": {Region: "South"}}}}, reason: "DataCentre/Montevideo needs the agreement of Campanella"},
		"third owner without approval":                              {by: "ana", change: Change{Set: Objects{Owners: map[inventory.OwnerID]Owner{"Third": {SparePool: "T"}}, Pools: map[inventory.PoolID]Pool{"T": {Owner: "Third"}}}}, reason: "Owner/Third needs the agreement of Campanella"},
		"delete own owner without approval":                         {by: "ana", change: Change{Delete: []Key{{KindOwner, "Corchos"}}}, reason: "Owner/Corchos needs the agreement of Campanella"},
		"own spare pool":                                            {by: "ana", change: Change{Set: Objects{Owners: map[inventory.OwnerID]Owner{"Corchos": {SparePool: "Prices"}}}}},
		"other owner's spare pool":                                  {by: "ana", change: Change{Set: Objects{Owners: map[inventory.OwnerID]Owner{"Campanella": {SparePool: "Schedules"}}}}, reason: "Owner/Campanella needs the agreement of Campanella"},
		"own host and other owner's host in one change":             {by: "ana", change: Change{Set: setHost("c2", Host{Owner: "Corchos"}), Delete: []Key{{KindHost, "s1"}}}, reason: "Host/s1 needs the agreement of Campanella"},
		"selector for other owner's unclaimed host":                 {by: "bea", change: Change{Set: Objects{Pools: map[inventory.PoolID]Pool{"Grab": {Owner: "Campanella", Hosts: selector(t, "Host=c2")}}}}, reason: "selector matches no host"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newRecordLog(t, twoOwners(t))
			before := h.reducer.Current()
			err := h.add(test.by, KindChange, test.change)
			if test.reason == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, test.reason)
			require.Equal(t, before, h.reducer.Current(), "a rejected change must not modify the configuration")
		})
	}
}

func TestChangeOfSharedObjectNeedsBothOwners(t *testing.T) {
	region := func(r inventory.RegionID) Change {
		return Change{Set: Objects{DataCentres: map[inventory.DataCentreID]DataCentre{"Montevideo": {Region: r}}}}
	}
	h := newRecordLog(t, twoOwners(t))
	require.ErrorIs(t, h.add("eve", KindProposal, region("South")), ErrNotAuthorized)
	require.NoError(t, h.add("ana", KindProposal, region("South")))
	require.ErrorIs(t, h.add("ana", KindChange, region("South")), ErrNotAuthorized, "a second approval of the same owner does not count")
	require.ErrorIs(t, h.add("bea", KindChange, region("North")), ErrNotAuthorized, "an approval covers only the proposed content")
	state, err := h.reducer.MarshalState()
	require.NoError(t, err)
	h.reducer = NewReducer()
	require.NoError(t, h.reducer.UnmarshalState(state), "proposals survive a snapshot")
	require.NoError(t, h.add("bea", KindChange, region("South")))
	require.Equal(t, inventory.RegionID("South"), h.reducer.Current().DataCentres["Montevideo"].Region)
	require.Empty(t, h.reducer.Proposals())
	require.ErrorIs(t, h.add("bea", KindChange, region("North")), ErrNotAuthorized, "an approval is used once")
}

func TestStaleProposalDoesNotApproveAChange(t *testing.T) {
	transfer := Change{Set: setHost("c2", Host{Owner: "Campanella"})}
	h := newRecordLog(t, twoOwners(t))
	require.NoError(t, h.add("ana", KindProposal, transfer))
	require.NoError(t, h.add("ana", KindChange, Change{Set: setHost("c2", Host{Owner: "Corchos", Labels: label.Set{"Kept": "yes"}})}))
	require.ErrorIs(t, h.add("bea", KindChange, transfer), ErrNotAuthorized, "the host changed after the proposal")
	stale := transfer
	require.ErrorIs(t, h.addAt("ana", KindProposal, stale), ErrStale)
	ahead := transfer
	ahead.Base = h.reducer.Current().Version + 1000
	require.ErrorIs(t, h.addAt("ana", KindProposal, ahead), ErrStale, "the base version is in the future")
	require.ErrorIs(t, h.addAt("ana", KindChange, ahead), ErrStale)
	require.NoError(t, h.add("ana", KindProposal, transfer))
	require.NoError(t, h.add("bea", KindChange, transfer))
	require.Equal(t, inventory.OwnerID("Campanella"), h.reducer.Current().Hosts["c2"].Owner)
}

func TestProposalLimitIsPerOwner(t *testing.T) {
	h := newRecordLog(t, twoOwners(t))
	require.NoError(t, h.add("ana", KindProposal, Change{Delete: []Key{{KindDataCentre, "A"}}}))
	for i := range 3 * MaxProposals {
		require.NoError(t, h.add("bea", KindProposal, Change{Delete: []Key{{KindDataCentre, strings.Repeat("b", i+1)}}}))
	}
	require.Len(t, h.reducer.Proposals(), MaxProposals+1)
	require.Equal(t, inventory.OwnerID("Corchos"), h.reducer.Proposals()[0].Owner)
}

func TestLentHostIsClaimedByTheBorrowersPool(t *testing.T) {
	h := newRecordLog(t, twoOwners(t))
	licences := Change{Set: Objects{Pools: map[inventory.PoolID]Pool{"Licences": {Owner: "Campanella", Hosts: selector(t, "Pool=Licences")}}}}
	lent := Host{Owner: "Corchos", Labels: label.Set{"Pool": "Licences", LabelLentTo: "Campanella"}}
	require.ErrorIs(t, h.add("bea", KindChange, licences), ErrNoMatch)
	require.ErrorIs(t, h.add("ana", KindChange, Change{Set: setHost("c2", Host{Owner: "Corchos", Labels: label.Set{LabelLentTo: "Nobody"}})}), ErrReference)
	require.ErrorIs(t, h.add("ana", KindChange, Change{Set: setHost("c2", Host{Owner: "Corchos", Labels: label.Set{LabelLentTo: "Corchos"}})}), ErrOwner)
	require.NoError(t, h.add("ana", KindChange, Change{Set: setHost("c2", lent)}))
	require.NoError(t, h.add("bea", KindChange, licences))
	require.True(t, h.reducer.Current().Pools["Licences"].Claims("c2", h.reducer.Current().Hosts["c2"]))
	require.NoError(t, h.add("ana", KindChange, Change{Set: setHost("c2", Host{Owner: "Corchos", Labels: label.Set{"Pool": "Licences"}})}))
	require.False(t, h.reducer.Current().Pools["Licences"].Claims("c2", h.reducer.Current().Hosts["c2"]))
}

func TestInvalidTokenDigestErrorNamesTheObject(t *testing.T) {
	good := DigestToken([]byte(strings.Repeat("x", MinTokenBytes))).String()
	for name, test := range map[string]struct {
		digests []string
		want    string
	}{
		"too short":       {[]string{"ab"}, "2 characters are not 64"},
		"not hexadecimal": {[]string{strings.Repeat("z", 64)}, "not hexadecimal"},
		"twice":           {[]string{good, good}, "TokenDigests 1 stands twice"},
	} {
		t.Run(name, func(t *testing.T) {
			o := twoOwners(t)
			o.Operators["ana"] = Operator{Owner: "Corchos", TokenDigests: test.digests}
			err := o.Validate()
			require.ErrorIs(t, err, ErrDigest)
			require.ErrorContains(t, err, "Operator/ana")
			require.ErrorContains(t, err, test.want)
		})
	}
}

func TestContentDigestDependsOnContentAlone(t *testing.T) {
	a := Change{Base: 1, Comment: "x", Delete: []Key{{KindHost, "a"}, {KindHost, "b"}}}
	b := Change{Base: 2, Comment: "y", Delete: []Key{{KindHost, "b"}, {KindHost, "a"}}}
	da, err := a.ContentDigest()
	require.NoError(t, err)
	db, err := b.ContentDigest()
	require.NoError(t, err)
	require.Equal(t, da, db)
	raw, err := json.Marshal(Change{Set: twoOwners(t)})
	require.NoError(t, err)
	var c Change
	require.NoError(t, json.Unmarshal(raw, &c))
	dc, err := c.ContentDigest()
	require.NoError(t, err)
	require.NotEqual(t, da, dc)
}
