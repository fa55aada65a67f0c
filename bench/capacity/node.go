package capacity

import (
	"github.com/godwitcross/godwitcross/bench/measure"
	"github.com/godwitcross/godwitcross/fleet/lease"
	"github.com/godwitcross/godwitcross/fleet/membership"
)

// Records written to the global stream on an ordinary day besides configuration
// changes.
const (
	// eventsPerDay is the number of hosts that are maintained, fail or restart.
	eventsPerDay = Workers/MaintenanceDays + FailuresPerDay + RestartsPerDay
	// recordsPerEvent counts grant, reboot, health twice, admission and hand-over, on
	// the assumption that each event has its own records.
	recordsPerEvent = 6
	// globalDuties counts the keeper and the snapshot writer, each on a separate host.
	globalDuties = 2
	// dataCentreDuties counts placement, usage and the snapshot writers of their streams
	// in each data centre, each on a separate host.
	dataCentreDuties = 4
)

// Rates of an entry host's calls to the platform, per second.
const (
	listPolls = 2
	// maxReads is the maximum number of responses with records of the global stream.
	maxReads = 4
)

// measureNode derives from the slopes the bytes that one entry host sends and receives
// for control at the target size on an ordinary day.
func measureNode(o measure.Options) ([]measure.Figure, error) {
	slopeByName, err := slopes(o)
	if err != nil {
		return nil, err
	}
	renewal := slopeByName["lease.renewal_bytes"] + slopeByName["lease.renewal_bytes_per_duty"]
	renewalsPerSecond := 1 / lease.RenewInterval.Seconds()
	overhead := slopeByName["wire.exchange_overhead"]
	changes := ChangesPerDay * slopeByName["fold.change_bytes_at_8600"] / secondsPerDay
	events := eventsPerDay * recordsPerEvent * slopeByName["fold.change_bytes_at_8600"] / secondsPerDay
	renewals := (globalDuties + dataCentreDuties) * renewalsPerSecond * renewal
	recordsPerSecond := float64(ChangesPerDay+eventsPerDay*recordsPerEvent)/secondsPerDay + globalDuties*renewalsPerSecond
	reading := (min(recordsPerSecond, maxReads) + dataCentreDuties*renewalsPerSecond) * overhead
	list := listPolls*(overhead+slopeByName["hostlist.bytes_without_change"]) + eventsPerDay*2*slopeByName["hostlist.bytes_per_host"]/secondsPerDay
	heartbeats := heartbeatBytes(slopeByName["wire.heartbeat_bytes"], overhead)
	bytes := func(name string, v float64) measure.Figure {
		return measure.Figure{Name: "node." + name + "_bytes_per_second", Value: v, Unit: measure.Bytes, Deterministic: true}
	}
	return []measure.Figure{
		bytes("changes", changes), bytes("events", events), bytes("renewals", renewals), bytes("reading", reading),
		bytes("hostlist", list), bytes("heartbeats", heartbeats),
		bytes("all", changes+events+renewals+reading+list+heartbeats),
		{Name: "node.records_per_day", Value: recordsPerSecond * secondsPerDay, Unit: measure.Count, Deterministic: true},
		{Name: "node.window_lasts", Value: 65_536 / recordsPerSecond, Unit: "s", Deterministic: true},
	}, nil
}

// heartbeatBytes returns the bytes per second of a host's own exchanges and of as many
// exchanges that its peers start, each with full messages.
func heartbeatBytes(heartbeat, overhead float64) float64 {
	perSecond := 2 / membership.HeartbeatInterval.Seconds()
	local := 2*(1+membership.GossipLocalPeers+membership.GossipRemotePeers)*heartbeat + overhead
	cross := 2*(1+3*membership.GossipRemotePeers)*heartbeat + overhead
	return perSecond * (local + cross/membership.RemoteExchangeRounds)
}

// slopes returns by name the figures that measureNode uses.
func slopes(o measure.Options) (map[string]float64, error) {
	s := make(map[string]float64)
	for _, run := range []func(measure.Options) ([]measure.Figure, error){measureLease, measureHostList, measureWire} {
		figures, err := run(o)
		if err != nil {
			return nil, err
		}
		for _, f := range figures {
			s[f.Name] = f.Value
		}
	}
	raw, err := encodeChange(0, targetSize, 1)
	s["fold.change_bytes_at_8600"] = float64(len(raw))
	return s, err
}
