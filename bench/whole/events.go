package whole

import (
	"fmt"
	"time"

	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/operation"
	"github.com/godwitcross/godwitcross/fleet/pool"
	"github.com/godwitcross/godwitcross/standin/deployment"
	"github.com/godwitcross/godwitcross/standin/fault"
	"github.com/godwitcross/godwitcross/standin/network"
)

// event is a fault or change that is triggered at a fraction of the run's duration.
type event struct {
	at   float64
	name string
	run  func(r *Run) error
}

// events are ordered by time.
var events = []event{
	{0.10, "the wave starts", (*Run).startWave},
	{0.20, "the host that drives the wave is killed and replaced", (*Run).killAndReplace},
	{0.25, "the log becomes unavailable", (*Run).stopLog},
	{0.35, "the log is available again, some of its answers are lost", (*Run).restoreLog},
	{0.40, "a data centre is isolated", (*Run).isolate},
	{0.50, "the data centre is reconnected", (*Run).healPartition},
	{0.55, "an entry host is stopped and replaced", (*Run).replaceEntry},
	{0.75, "connections to a backend server hang", (*Run).silenceServer},
	{0.80, "a backend server starts to leave", (*Run).startLeaving},
}

// isolatedDataCentre is the data centre that is isolated from all others.
const isolatedDataCentre = inventory.DataCentreID("Messina")

func (r *Run) startWave() error {
	w := deployment.Sample().Waves[waveID]
	w.Paused = false
	w.Pools = []inventory.PoolID{observedPool}
	w.Start = 0
	w.Window = configuration.Duration(24 * time.Hour)
	w.RebootTime = configuration.Duration(time.Second)
	return r.publish("wave", configuration.Objects{Waves: map[inventory.WaveID]configuration.Wave{waveID: w}})
}

func (r *Run) stopLog() error {
	r.deployment.Platform.Faults.Set(fault.Fault{Kind: fault.Down, Target: "log", Count: fault.Forever})
	return nil
}

func (r *Run) restoreLog() error {
	r.deployment.Platform.Faults.Set(fault.Fault{Kind: fault.Down, Target: "log", Count: 0})
	r.deployment.Platform.Faults.Set(fault.Fault{Kind: fault.AnswerLost, Target: "log", Count: 5})
	return nil
}

// otherZones returns all network zones except the isolated data centre.
func (r *Run) otherZones() []network.Zone {
	zones := []network.Zone{deployment.ZonePlatform}
	for dc := range deployment.Sample().DataCentres {
		if dc != isolatedDataCentre {
			zones = append(zones, network.Zone(dc))
		}
	}
	return zones
}

func (r *Run) isolate() error {
	for _, z := range r.otherZones() {
		r.deployment.Network.Cut(network.Zone(isolatedDataCentre), z)
		r.deployment.Network.Cut(z, network.Zone(isolatedDataCentre))
	}
	return nil
}

func (r *Run) healPartition() error {
	for _, z := range r.otherZones() {
		r.deployment.Network.Heal(network.Zone(isolatedDataCentre), z)
		r.deployment.Network.Heal(z, network.Zone(isolatedDataCentre))
	}
	return nil
}

func (r *Run) replaceEntry() error {
	e := r.entries()[0]
	r.observer.Exclude(e.Settings.Name)
	if err := r.startEntry("replacement-1", e.Settings.DataCentre); err != nil {
		return err
	}
	go func() {
		if err := e.Stop(); err != nil {
			r.options.Progress(fmt.Sprintf("stopping %s: %s", e.Settings.Name, err))
		}
	}()
	return nil
}

// killAndReplace kills the host that drives the wave, or another one if that host is
// the operator's or is to be stopped by a later event.
func (r *Run) killAndReplace() error {
	e := r.entryToKill()
	r.options.Progress("killing " + string(e.Settings.Name))
	r.observer.Exclude(e.Settings.Name)
	e.Kill()
	return r.startEntry("replacement-2", e.Settings.DataCentre)
}

func (r *Run) entryToKill() *deployment.Entry {
	entries := r.entries()
	var duties []operation.Duty
	if err := r.operator.Get("/duties", &duties); err != nil {
		return entries[1]
	}
	for _, d := range duties {
		for i, e := range entries {
			if d.Duty == pool.DutyKeeper && d.Holder == e.Settings.Name && i != operatorHost && i != 0 {
				return e
			}
		}
	}
	return entries[1]
}

func (r *Run) silenceServer() error {
	r.deployment.Network.Silence(r.deployment.Addresses[inventory.InstanceID(string(trafficTypes[0].service)+"-server-01")])
	return nil
}

func (r *Run) startLeaving() error {
	id := inventory.InstanceID(string(trafficTypes[0].service) + "-server-02")
	for _, s := range r.deployment.Backends {
		if s.ID() == id {
			s.Leave()
		}
	}
	r.deployment.Platform.Hosts.SetState(time.Now(), inventory.HostID(id), inventory.HostLeaving)
	return nil
}

// publishChange publishes a small configuration change. Errors are ignored, as changes
// may fail during a fault.
func (r *Run) publishChange(n int) {
	team := configuration.Team{Owner: "Campanella", Weight: n%100 + 1}
	_ = r.publish(journal.RecordID(fmt.Sprintf("change-%d", n)), configuration.Objects{
		Teams: map[inventory.TeamID]configuration.Team{inventory.TeamID(fmt.Sprintf("Team-%d", n%5)): team},
	})
}
