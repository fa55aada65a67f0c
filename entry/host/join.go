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

// platformSilence is the time without an answer of the log after which the host
// says that it does not reach the platform. A waiting read takes up to 10 s.
const platformSilence = 12 * time.Second

// join builds the tasks that follow the log, from the platform or from peers.
func (h *Host) join(client *platform.Client, batches chan platform.Batch) {
	s := h.cfg.Settings
	h.peers = view.NewBox(peer.View{Asked: len(s.Peers) == 0})
	h.follower = follower.New(h.log, state.NewFleet(), batches, h.state)
	h.client = peer.NewClient(h.dialPeer)
	incarnation := membership.Incarnation(time.Now().UnixMilli())
	h.exchanger = peer.NewExchanger(peer.ExchangerConfig{
		Log: h.log, Metrics: h.metrics, Client: h.client, Seeds: s.Peers, Out: h.peers,
		Table: membership.NewTable(membership.Config{Name: s.Name, DataCentre: s.DataCentre, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}),
		Own:   func(now time.Time) membership.Heartbeat { return h.heartbeat(now, incarnation) },
	})
	h.loader = snapshot.NewLoader(snapshot.LoaderConfig{
		Log: h.log, Stream: journal.StreamFleet, Source: client, Target: h.follower,
		Peers: &peer.Snapshots{Client: h.client, Peers: h.peers},
	})
	h.relay = peer.NewRelay(peer.RelayConfig{
		Log: h.log, Metrics: h.metrics, Client: h.client, Peers: h.peers, State: h.state,
		Compare: h.follower.Compare, Restore: h.loader.Restore, Out: batches,
	})
	h.peering = peer.NewServer(peer.ServerConfig{Log: h.log, Limits: s.PeerListener.Limits, Exchanger: h.exchanger, Records: h.follower})
}

// heartbeat returns what this host says of itself.
func (h *Host) heartbeat(now time.Time, incarnation membership.Incarnation) membership.Heartbeat {
	st := h.state.Latest()
	return membership.Heartbeat{
		Name: h.cfg.Settings.Name, DataCentre: h.cfg.Settings.DataCentre, Address: h.cfg.Settings.PeerAddress,
		Incarnation: incarnation, Applied: st.Next, Digest: st.Digest, History: st.History, KnownKinds: st.KnownKinds,
		Load:     membership.Load{InFlight: int(h.caller.InFlight())},
		Platform: !st.ReadAt.IsZero() && now.Sub(st.ReadAt) < platformSilence,
	}
}

// behindPeer returns which reachable peer has applied more, or why that can't be
// told yet.
func (h *Host) behindPeer(st follower.State) string {
	v := h.peers.Latest()
	if !v.Asked {
		return "the peers of the settings were not asked yet"
	}
	if p, ahead := membership.MostAdvanced(v.Peers, st.Next); ahead {
		return "peer " + string(p.Name) + " has applied more of the log"
	}
	return ""
}

// streamStatus returns how far the global stream is folded and kept.
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
			if h.relay.Doubts() > 0 {
				return "this host contradicts a peer"
			}
			return ""
		},
	})
}
