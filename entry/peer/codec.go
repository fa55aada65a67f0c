// Package peer implements the calls between entry hosts: the exchange of
// heartbeats, records and snapshots for hosts that cannot reach the platform,
// claims on idempotency keys, and reports of the load on backend servers.
package peer

import (
	"github.com/godwitcross/godwitcross/entry/peer/wire"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/membership"
)

// maxHeartbeatsPerMessage bounds the heartbeats that are read from one message.
const maxHeartbeatsPerMessage = 64

// Encode converts heartbeats to their wire format.
func Encode(beats []membership.Heartbeat) *wire.Heartbeats {
	out := &wire.Heartbeats{Known: make([]*wire.Heartbeat, len(beats))}
	for i, b := range beats {
		out.Known[i] = &wire.Heartbeat{
			Name: string(b.Name), DataCentre: string(b.DataCentre), Address: b.Address,
			Incarnation: int64(b.Incarnation), Sequence: b.Sequence,
			Applied: int64(b.Applied), Digest: b.Digest, History: b.History, KnownKinds: b.KnownKinds,
			InFlight: int32(b.Load.InFlight), Queued: int32(b.Load.Queued),
			Platform: b.Platform, View: b.View, Leaving: b.Leaving,
		}
	}
	return out
}

// Decode converts received heartbeats and drops those beyond
// maxHeartbeatsPerMessage.
func Decode(in *wire.Heartbeats) []membership.Heartbeat {
	known := in.GetKnown()
	known = known[:min(len(known), maxHeartbeatsPerMessage)]
	beats := make([]membership.Heartbeat, len(known))
	for i, w := range known {
		beats[i] = membership.Heartbeat{
			Name: inventory.EntryID(w.GetName()), DataCentre: inventory.DataCentreID(w.GetDataCentre()), Address: w.GetAddress(),
			Incarnation: membership.Incarnation(w.GetIncarnation()), Sequence: w.GetSequence(),
			Applied: journal.Offset(w.GetApplied()), Digest: w.GetDigest(), History: w.GetHistory(), KnownKinds: w.GetKnownKinds(),
			Load:     membership.Load{InFlight: int(w.GetInFlight()), Queued: int(w.GetQueued())},
			Platform: w.GetPlatform(), View: w.GetView(), Leaving: w.GetLeaving(),
		}
	}
	return beats
}
