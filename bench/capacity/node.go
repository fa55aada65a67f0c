package capacity

import (
	"github.com/godwitcross/godwitcross/bench/measure"
	"github.com/godwitcross/godwitcross/fleet/lease"
	"github.com/godwitcross/godwitcross/fleet/membership"
)

// What an ordinary day writes into the global stream besides changes of
// configuration.
const (
	// eventsPerDay are hosts that are maintained, fail, or are restarted.
	eventsPerDay = Workers/MaintenanceDays + FailuresPerDay + RestartsPerDay
	// recordsPerEvent are grant, reboot, health twice, admission and hand-over,
	// if each event had records of its own.
	recordsPerEvent = 6
	// globalDuties are the keeper and the writer of snapshots, each on a host of
	// its own.
	globalDuties = 2
	// siteDuties are placement, usage and the writers of their streams' snapshots
	// in each data centre, each on a host of its own.
	siteDuties = 4
)

// Pace of an entry host's talk with the platform, per second.
const (
	listPolls = 2
	// mostReads is the most answers with records of the global stream.
	mostReads = 4
)

// measureNode adds the slopes up to what one entry host sends and receives for
// control at the letter's size, on an ordinary day.
func measureNode(o measure.Options) ([]measure.Figure, error) {
	s, err := slopes(o)
	if err != nil {
		return nil, err
	}
	renewal := s["lease.renewal_bytes"] + s["lease.renewal_bytes_per_duty"]
	renewalsPerSecond := 1 / lease.RenewInterval.Seconds()
	overhead := s["wire.exchange_overhead"]
	changes := ChangesPerDay * s["fold.change_bytes_at_8600"] / secondsPerDay
	events := eventsPerDay * recordsPerEvent * s["fold.change_bytes_at_8600"] / secondsPerDay
	renewals := (globalDuties + siteDuties) * renewalsPerSecond * renewal
	recordsPerSecond := float64(ChangesPerDay+eventsPerDay*recordsPerEvent)/secondsPerDay + globalDuties*renewalsPerSecond
	reading := (min(recordsPerSecond, mostReads) + siteDuties*renewalsPerSecond) * overhead
	list := listPolls*(overhead+s["hostlist.bytes_without_change"]) + eventsPerDay*2*s["hostlist.bytes_per_host"]/secondsPerDay
	beats := heartbeatBytes(s["wire.heartbeat_bytes"], overhead)
	bytes := func(name string, v float64) measure.Figure {
		return measure.Figure{Name: "node." + name + "_bytes_per_second", Value: v, Unit: measure.Bytes, Deterministic: true}
	}
	return []measure.Figure{
		bytes("changes", changes), bytes("events", events), bytes("renewals", renewals), bytes("reading", reading),
		bytes("hostlist", list), bytes("heartbeats", beats),
		bytes("all", changes+events+renewals+reading+list+beats),
		{Name: "node.records_per_day", Value: recordsPerSecond * secondsPerDay, Unit: measure.Count, Deterministic: true},
		{Name: "node.window_lasts", Value: 65_536 / recordsPerSecond, Unit: "s", Deterministic: true},
	}, nil
}

// heartbeatBytes is what a host sends and receives in its own exchanges and in as
// many that others begin, each with full messages.
func heartbeatBytes(beat, overhead float64) float64 {
	perSecond := 2 / membership.HeartbeatInterval.Seconds()
	local := 2*(1+membership.GossipLocalPeers+membership.GossipRemotePeers)*beat + overhead
	cross := 2*(1+3*membership.GossipRemotePeers)*beat + overhead
	return perSecond * (local + cross/membership.RemoteExchangeRounds)
}

// slopes returns the figures that the sums are made of.
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
	raw, err := change(0, letter, 1)
	s["fold.change_bytes_at_8600"] = float64(len(raw))
	return s, err
}
