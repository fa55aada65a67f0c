package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

func TestCandidates(t *testing.T) {
	host := func(id inventory.HostID, dc inventory.DataCentreID, state inventory.HostState, role inventory.HostRole) inventory.ListedHost {
		return inventory.ListedHost{ID: id, DataCentre: dc, State: state, Role: role}
	}
	list := inventory.HostList{At: time.Unix(1, 0), Hosts: []inventory.ListedHost{
		host("me", "A", inventory.HostLive, inventory.RoleEntry),
		host("alive", "A", inventory.HostLive, inventory.RoleEntry),
		host("no heartbeat yet", "B", inventory.HostLive, inventory.RoleEntry),
		host("suspected", "A", inventory.HostLive, inventory.RoleEntry),
		host("stopping", "A", inventory.HostLive, inventory.RoleEntry),
		host("without platform", "A", inventory.HostLive, inventory.RoleEntry),
		host("leaving", "A", inventory.HostLeaving, inventory.RoleEntry),
		host("server", "A", inventory.HostLive, inventory.RoleBackend),
	}}
	peer := func(name inventory.EntryID, s State, leaving, platform bool) Peer {
		return Peer{Heartbeat: Heartbeat{Name: name, Leaving: leaving, Platform: platform}, State: s}
	}
	peers := []Peer{
		peer("alive", Alive, false, true), peer("suspected", Suspect, false, true),
		peer("stopping", Alive, true, true), peer("without platform", Alive, false, false),
	}
	require.Equal(t, []inventory.EntryID{"me", "alive", "no heartbeat yet"}, Candidates("me", "", list, peers))
	require.Equal(t, []inventory.EntryID{"me", "alive"}, Candidates("me", "A", list, peers))
	require.Empty(t, Candidates("me", "", inventory.HostList{}, nil), "no list was read yet")
}
