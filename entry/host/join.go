package host

import (
	"math/rand/v2"
	"time"

	"github.com/godwitcross/godwitcross/entry/follower"
	"github.com/godwitcross/godwitcross/entry/peer"
	"github.com/godwitcross/godwitcross/entry/platform"
	"github.com/godwitcross/godwitcross/entry/snapshot"
	"github.com/godwitcross/godwitcross/entry/view"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/membership"
	"github.com/godwitcross/godwitcross/fleet/state"
)

// maxPlatformSilence is the time without an answer from the log after which the host
// reports the platform as unreachable. It exceeds the 10 s that a long-polling read
// may take.
const maxPlatformSilence = 12 * time.Second

// initReplication builds the tasks that replicate the log's records, from the platform
// or from peers, and the peer server and client.
func (h *Host) initReplication(client *platform.Client, batches chan platform.Batch) {
	s := h.cfg.Settings
	h.peers = view.NewValue(peer.View{Asked: len(s.Peers) == 0})
	h.follower = follower.New(h.log, state.NewFleet(), batches, h.state)
	h.peerClient = peer.NewClient(h.dialPeer)
	incarnation := membership.Incarnation(time.Now().UnixMilli())
	h.exchanger = peer.NewExchanger(peer.ExchangerConfig{
		Log: h.log, Metrics: h.metrics, Client: h.peerClient, Seeds: s.Peers, Out: h.peers,
		Table: membership.NewTable(membership.Config{Name: s.Name, DataCentre: s.DataCentre, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}),
		Own:   func(now time.Time) membership.Heartbeat { return h.heartbeat(now, incarnation) },
	})
	h.loader = snapshot.NewLoader(snapshot.LoaderConfig{
		Log: h.log, Stream: journal.StreamFleet, Source: client, Target: h.follower,
		Peers: &peer.Snapshots{Client: h.peerClient, Peers: h.peers},
	})
	h.relay = peer.NewRelay(peer.RelayConfig{
		Log: h.log, Metrics: h.metrics, Client: h.peerClient, Peers: h.peers, State: h.state,
		Compare: h.follower.Compare, Restore: h.loader.Restore, Out: batches,
	})
	h.peerServer = peer.NewServer(peer.ServerConfig{Log: h.log, Limits: s.PeerListener.Limits, Exchanger: h.exchanger, Records: h.follower})
}

// heartbeat returns this host's heartbeat for its peers.
func (h *Host) heartbeat(now time.Time, incarnation membership.Incarnation) membership.Heartbeat {
	st := h.state.Latest()
	return membership.Heartbeat{
		Name: h.cfg.Settings.Name, DataCentre: h.cfg.Settings.DataCentre, Address: h.cfg.Settings.PeerAddress,
		Incarnation: incarnation, Applied: st.Next, Digest: st.Digest, History: st.History, KnownKinds: st.KnownKinds,
		Load:     membership.Load{InFlight: int(h.callerService.InFlight())},
		Platform: !st.ReadAt.IsZero() && now.Sub(st.ReadAt) < maxPlatformSilence,
	}
}

// peerLagReason returns why this host lags behind a reachable peer or can't know that
// yet; it is empty if the host does not lag.
func (h *Host) peerLagReason(st follower.State) string {
	v := h.peers.Latest()
	if !v.Asked {
		return "the peers of the settings were not asked yet"
	}
	if p, ahead := membership.MostAdvanced(v.Peers, st.Next); ahead {
		return "peer " + string(p.Name) + " has applied more of the log"
	}
	return ""
}

// streamStatus returns this host's position in the global stream and the range that
// the log retains.
func (h *Host) streamStatus() snapshot.Status {
	st := h.state.Latest()
	return snapshot.Status{Next: st.Next, End: st.End, Oldest: st.Oldest, Checkpoint: st.Checkpoint, Fault: st.Fault}
}

// snapshotWriter returns the duty that writes snapshots.
func (h *Host) snapshotWriter(records snapshot.RecordAppender) *snapshot.Writer {
	return snapshot.NewWriter(snapshot.WriterConfig{
		Log: h.log, Name: h.cfg.Settings.Name, Stream: journal.StreamFleet, Source: h.follower, Records: records,
		Status: h.streamStatus,
		InvalidReason: func() string {
			if h.relay.DivergedPeers() > 0 {
				return "state of this host differs from a peer's"
			}
			return ""
		},
	})
}
