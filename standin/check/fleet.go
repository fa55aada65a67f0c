package check

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/ctl/client"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/label"
	"github.com/godwitcross/godwitcross/fleet/pool"
	"github.com/godwitcross/godwitcross/standin/deployment"
)

// waveTimeout limits the wait for a label change or a wave to take effect. The wave
// reboots 10 hosts, 3 at a time.
const waveTimeout = 20 * time.Second

// moveHost changes the label of a host of Corchos and waits until the host
// is in service in its new pool.
func moveHost(d *deployment.Deployment) error {
	const id, to = inventory.HostID("Stock-01"), inventory.PoolID("Prices")
	c, cfg, err := activeConfiguration(d)
	if err != nil {
		return err
	}
	h := cfg.Hosts[id]
	h.Labels = label.Set{"Pool": string(to)}
	change := configuration.Change{Base: cfg.Version, Set: configuration.Objects{Hosts: map[inventory.HostID]configuration.Host{id: h}}}
	if err := Publish(d, "move-one-host", change, "corchos-operator"); err != nil {
		return err
	}
	return awaitFor(waveTimeout, func() error {
		var hosts []pool.HostStatus
		if err := c.Get("/hosts?Pool="+string(to), &hosts); err != nil {
			return err
		}
		for _, h := range hosts {
			if h.ID == id && h.Pool == to && h.Phase == pool.InService {
				return nil
			}
		}
		return eris.Wrapf(ErrCheckFailed, "%s is not in service in pool %s", id, to)
	})
}

// runWave publishes a wave over one pool of Campanella and waits until it is done. Each
// host of the pool must have been rebooted once, and no other host.
func runWave(d *deployment.Deployment) error {
	const id, over = inventory.WaveID("Check"), inventory.PoolID("Archive")
	c, cfg, err := activeConfiguration(d)
	if err != nil {
		return err
	}
	before := rebootCounts(d)
	p := cfg.Pools[over]
	p.Budget = configuration.Budget{MaxUnavailable: 300_000}
	w := configuration.Wave{
		Owner: "Campanella", Pools: []inventory.PoolID{over},
		Window: configuration.Duration(24 * time.Hour), RebootTime: configuration.Duration(time.Second),
	}
	change := configuration.Change{Base: cfg.Version, Set: configuration.Objects{
		Pools: map[inventory.PoolID]configuration.Pool{over: p},
		Waves: map[inventory.WaveID]configuration.Wave{id: w},
	}}
	if err := Publish(d, "one-wave", change, "campanella-operator"); err != nil {
		return err
	}
	err = awaitFor(waveTimeout, func() error {
		var waves []pool.WaveStatus
		if err := c.Get("/waves", &waves); err != nil {
			return err
		}
		for _, w := range waves {
			if w.ID == id && w.State == pool.WaveDone && !w.Finished.IsZero() {
				return nil
			}
		}
		return eris.Wrapf(ErrCheckFailed, "the wave is not done: %+v", waves)
	})
	if err != nil {
		return err
	}
	for host, n := range rebootCounts(d) {
		want := before[host]
		if cfg.PoolOf(host) == over {
			want++
		}
		if n != want {
			return eris.Wrapf(ErrCheckFailed, "%s was rebooted %d times and should have been %d times", host, n, want)
		}
	}
	return nil
}

// activeConfiguration returns a client for the first entry host and the configuration
// in force.
func activeConfiguration(d *deployment.Deployment) (*client.Client, configuration.Configuration, error) {
	c := client.New(d.Entries[0].Settings.OperatorAddress, "")
	var cfg configuration.Configuration
	err := c.Get("/configuration", &cfg)
	return c, cfg, err
}

// rebootCounts returns the number of reboots of each host.
func rebootCounts(d *deployment.Deployment) map[inventory.HostID]int {
	n := make(map[inventory.HostID]int)
	for _, w := range d.Platform.Fleet.Workers(time.Now()) {
		n[w.Facts.ID.Host()] = w.Reboots
	}
	return n
}
