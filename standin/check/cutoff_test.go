package check

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/ctl/client"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/operation"
	"github.com/godwitcross/godwitcross/standin/deployment"
	"github.com/godwitcross/godwitcross/standin/fault"
	"github.com/godwitcross/godwitcross/standin/network"
)

// isolatedZone is the data centre that the tests isolate from the others and the platform.
const isolatedZone network.Zone = "Palermo"

// waitLimit limits each wait. It is generous: the tests check the state reached, not its speed.
const waitLimit = 30 * time.Second

// startDeployment starts a deployment with the sample configuration and waits until it is
// ready.
func startDeployment(t *testing.T) *deployment.Deployment {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	d, err := deployment.Start(deployment.Options{Log: log, EntryHosts: 1, StopTime: 5 * time.Second})
	require.NoError(t, err)
	t.Cleanup(d.Stop)
	require.NoError(t, publishSample(d))
	require.NoError(t, awaitReady(d))
	return d
}

// clients holds one client for each operator address, so that a host has one connection
// from the tests.
var clients sync.Map

// statusOf returns the status that the entry host reports to operators.
func statusOf(t *testing.T, e *deployment.Entry) operation.Status {
	t.Helper()
	c, ok := clients.Load(e.Settings.OperatorAddress)
	if !ok {
		c, _ = clients.LoadOrStore(e.Settings.OperatorAddress, client.New(e.Settings.OperatorAddress, "corchos-operator"))
	}
	var s operation.Status
	require.NoError(t, c.(*client.Client).Get("/status", &s))
	return s
}

// maxRefusals limits the attempts to publish a change through a host that has not noticed
// yet that the log is available again. A refusal means that nothing was appended.
const maxRefusals = 500

// isLogUnavailable reports whether the host refused the change because it can't reach the
// log.
func isLogUnavailable(err error) bool {
	return errors.Is(err, client.ErrRefused) && strings.Contains(err.Error(), "the log is away")
}

// A test that publishes again and again until the log is available used up the connections that an entry host
// allows one address (64), and was refused with 429.
func TestPublishingLeavesNoConnections(t *testing.T) {
	t.Parallel()
	d := startDeployment(t)
	d.Platform.Faults.Set(fault.Fault{Kind: fault.Down, Target: "log", Count: fault.Forever})
	for n := range 100 {
		err := Publish(d, journal.RecordID(fmt.Sprintf("refused-%d", n)), configuration.Change{}, "corchos-operator")
		require.ErrorIs(t, err, client.ErrRefused)
		require.NotContains(t, err.Error(), "429")
	}
}

// publishWeight publishes the n-th weight change through the first entry host and returns
// the resulting version. It retries while the log is unavailable.
func publishWeight(t *testing.T, d *deployment.Deployment, n int) configuration.Version {
	t.Helper()
	c := configuration.Change{
		Base: statusOf(t, d.Entries[0]).Version,
		Set:  configuration.Objects{Teams: map[inventory.TeamID]configuration.Team{"Pressing": {Owner: "Corchos", Weight: n + 2}}},
	}
	for try := 0; ; try++ {
		err := Publish(d, journal.RecordID(fmt.Sprintf("weight-%d-%d", n, try)), c, "corchos-operator")
		if try < maxRefusals && isLogUnavailable(err) {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		require.NoError(t, err)
		break
	}
	return statusOf(t, d.Entries[0]).Version
}

// entryIn returns the first entry host in the data centre, or nil.
func entryIn(d *deployment.Deployment, dc network.Zone) *deployment.Entry {
	for _, e := range d.Entries {
		if network.Zone(e.Settings.DataCentre) == dc {
			return e
		}
	}
	return nil
}

// awaitVersion waits until the host has at least the version, and checks that its version
// and offset never decrease.
func awaitVersion(t *testing.T, e *deployment.Entry, v configuration.Version) {
	t.Helper()
	var last operation.Status
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		s := statusOf(t, e)
		require.GreaterOrEqual(t, s.Version, last.Version, "%s went back", e.Settings.Name)
		require.GreaterOrEqual(t, s.Next, last.Next, "%s went back", e.Settings.Name)
		last = s
		if s.Version >= v {
			return
		}
	}
	require.Fail(t, "the change is not in force", "%s has version %d, not %d", e.Settings.Name, last.Version, v)
}

// awaitSameDigest waits until all entry hosts have the same digest at the same offset.
func awaitSameDigest(t *testing.T, d *deployment.Deployment) {
	t.Helper()
	same := func() bool {
		first := statusOf(t, d.Entries[0])
		for _, e := range d.Entries {
			if s := statusOf(t, e); s.Next != first.Next || s.Digest != first.Digest {
				return false
			}
		}
		return true
	}
	require.Eventually(t, same, waitLimit, 20*time.Millisecond)
}

// otherZones returns the zones of all data centres but the isolated one.
func otherZones() []network.Zone {
	var zones []network.Zone
	for dc := range deployment.Sample().DataCentres {
		if network.Zone(dc) != isolatedZone {
			zones = append(zones, network.Zone(dc))
		}
	}
	return zones
}

// links are pairs of zones, each the source and the destination of traffic.
type links [][2]network.Zone

// linksWith returns the links between the isolated zone and the others, in both directions.
func linksWith(zones ...network.Zone) links {
	var l links
	for _, z := range zones {
		l = append(l, [2]network.Zone{isolatedZone, z}, [2]network.Zone{z, isolatedZone})
	}
	return l
}

// TestCutOffs cuts links of one data centre. Its entry host must receive changes over the
// links that remain, keep serving without them, and reach the state of the other hosts
// once the links are restored, even if the log has deleted records meanwhile.
func TestCutOffs(t *testing.T) {
	everything := linksWith(append(otherZones(), deployment.ZonePlatform)...)
	tests := []struct {
		name string
		cut  links
		// reached is set if the isolated host applies a change during the cut.
		reached bool
		// trim deletes records from the log that the isolated host has not read.
		trim bool
	}{
		{"without the platform the change comes through peers", linksWith(deployment.ZonePlatform), true, false},
		{"without the other data centres it comes from the platform", linksWith(otherZones()...), true, false},
		{"answers of the platform lost", links{{deployment.ZonePlatform, isolatedZone}}, true, false},
		{"requests to the platform lost", links{{isolatedZone, deployment.ZonePlatform}}, true, false},
		{"without both it comes after healing", everything, false, false},
		{"without both for longer than the log keeps records", everything, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d := startDeployment(t)
			e := entryIn(d, isolatedZone)
			before := statusOf(t, e)
			for _, l := range test.cut {
				d.Network.Cut(l[0], l[1])
			}
			v := publishWeight(t, d, 0)
			awaitVersion(t, d.Entries[0], v)
			if test.reached {
				awaitVersion(t, e, v)
			} else {
				require.Less(t, statusOf(t, e).Version, v)
				require.Empty(t, statusOf(t, e).NotReady, "the isolated host keeps serving")
			}
			if test.trim {
				trimLog(t, d, before.Next)
				replaceOtherEntryHosts(t, d, e)
			}
			for _, l := range test.cut {
				d.Network.Heal(l[0], l[1])
			}
			awaitVersion(t, e, publishWeight(t, d, 100))
			awaitSameDigest(t, d)
		})
	}
}

// trimLog makes the log delete the records before its end once a snapshot covers them, and
// waits for that snapshot.
func trimLog(t *testing.T, d *deployment.Deployment, unread journal.Offset) {
	t.Helper()
	for n := range 5 {
		publishWeight(t, d, n+1)
	}
	end := statusOf(t, d.Entries[0]).Next
	require.Greater(t, end, unread)
	d.Platform.Log.Truncate(string(journal.StreamFleet), int64(end))
	publishWeight(t, d, 50)
	require.Eventually(t, func() bool { return newestSnapshot(t, d) >= end }, waitLimit, 20*time.Millisecond)
}

// replaceOtherEntryHosts replaces all entry hosts but one. The replacements start from
// a snapshot and so can't send earlier records to peers.
func replaceOtherEntryHosts(t *testing.T, d *deployment.Deployment, kept *deployment.Entry) {
	t.Helper()
	old := d.Entries
	d.Entries = nil
	for _, e := range old {
		if e != kept {
			require.NoError(t, e.Stop())
			_, err := d.StartEntry(e.Settings.Name+"-new", e.Settings.DataCentre)
			require.NoError(t, err)
		}
	}
	d.Entries = append(d.Entries, kept)
	require.Eventually(t, func() bool {
		for _, e := range d.Entries {
			if statusOf(t, e).NotReady != "" {
				return false
			}
		}
		return true
	}, waitLimit, 20*time.Millisecond)
}

// newestSnapshot returns the offset that follows the newest snapshot in the log.
func newestSnapshot(t *testing.T, d *deployment.Deployment) journal.Offset {
	t.Helper()
	a := journal.NewAssembler(journal.StreamFleet)
	b, _ := d.Platform.Log.Read(string(journal.StreamSnapshots(journal.StreamFleet)), 0, 1000)
	for _, raw := range b.Records {
		r, err := journal.Decode(raw)
		require.NoError(t, err)
		c, err := journal.DecodeBody[journal.Chunk](r)
		require.NoError(t, err)
		require.NoError(t, a.Add(c))
	}
	s, _ := a.Newest()
	return s.Next
}

// TestHostStartsFromPeerWhileLogUnavailable guards against a host that can't start while
// the log is unavailable: it must load its state from a peer that itself started from a
// snapshot, and follow the log once it is back.
func TestHostStartsFromPeerWhileLogUnavailable(t *testing.T) {
	t.Parallel()
	d := startDeployment(t)
	v := publishWeight(t, d, 0)
	for _, e := range d.Entries {
		awaitVersion(t, e, v)
	}
	oldest := d.Entries[0]
	replaceOtherEntryHosts(t, d, oldest)
	require.NoError(t, oldest.Stop())
	d.Entries = d.Entries[:len(d.Entries)-1]
	d.Platform.Faults.Set(fault.Fault{Kind: fault.Down, Target: "log", Count: fault.Forever})
	e, err := d.StartEntry("late-entry", "Palermo")
	require.NoError(t, err)
	awaitVersion(t, e, v)
	require.Eventually(t, func() bool { return statusOf(t, e).NotReady == "" }, waitLimit, 20*time.Millisecond)
	d.Platform.Faults.Clear()
	awaitVersion(t, e, publishWeight(t, d, 1))
	awaitSameDigest(t, d)
}
