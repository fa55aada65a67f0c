package deployment

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/godwitcross/godwitcross/entry/host"
	"github.com/godwitcross/godwitcross/entry/settings"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/standin/backend"
	"github.com/godwitcross/godwitcross/standin/network"
	"github.com/godwitcross/godwitcross/standin/platform"
)

// Times of the sample configuration and of the simulated services.
const (
	urgentDeadline     = configuration.Duration(2 * time.Second)
	standardDeadline   = configuration.Duration(10 * time.Second)
	waveStart          = configuration.Duration(22 * time.Hour)
	waveWindow         = configuration.Duration(6 * time.Hour)
	backendServiceTime = 5 * time.Millisecond
	hostListDelay      = 300 * time.Millisecond
)

// ZonePlatform is the network zone of the platform's services.
const ZonePlatform network.Zone = "Platform"

// Options configure a deployment.
type Options struct {
	Log logrus.FieldLogger
	// EntryHosts is the number of entry hosts in each data centre, at least 1.
	EntryHosts int
	// Owner restricts entry hosts and backend servers to those of one owner; empty means
	// both owners.
	Owner inventory.OwnerID
	// NoticeTime and StopTime are settings of the entry hosts.
	NoticeTime time.Duration
	StopTime   time.Duration
	// Security configures how entry hosts authenticate their clients.
	Security Security
}

// Entry is a running entry host.
type Entry struct {
	Settings    settings.Settings
	stop        context.CancelFunc
	done        chan error
	connections *connectionTracker
}

// Stop stops the host gracefully and waits until it has ended.
func (e *Entry) Stop() error {
	e.stop()
	return <-e.done
}

// Kill closes the host's connections and stops it without waiting, as when a host loses power.
func (e *Entry) Kill() {
	e.connections.closeAll()
	e.stop()
}

// Deployment is a simulated platform with entry hosts and backend servers in one process.
type Deployment struct {
	options  Options
	Platform *platform.Platform
	Network  *network.Network
	Backends []*backend.Server
	// Addresses maps each backend server to its address.
	Addresses map[inventory.InstanceID]string
	Entries   []*Entry
	// PlatformAddress is the address of the platform's services.
	PlatformAddress string
	listeners       []net.Listener
	servers         *errgroup.Group
}

// Start starts the simulated platform, the backend servers and the entry hosts.
func Start(o Options) (*Deployment, error) {
	d := &Deployment{
		options:   o,
		Platform:  platform.New(platform.Options{AppendsPerSecond: 400, ListDelay: hostListDelay}),
		Network:   network.New(),
		Addresses: make(map[inventory.InstanceID]string),
		servers:   &errgroup.Group{},
	}
	l, err := d.listen(ZonePlatform)
	if err != nil {
		return nil, err
	}
	d.PlatformAddress = l.Addr().String()
	d.servers.Go(func() error { return d.Platform.Serve(l) })
	for _, s := range sites {
		if o.Owner != "" && o.Owner != s.owner {
			continue
		}
		if err := d.startSite(s); err != nil {
			return nil, err
		}
	}
	for id, h := range Sample().Hosts {
		d.Platform.Fleet.Put(inventory.WorkerInfo{ID: id.Worker(), DataCentre: h.DataCentre, Rack: h.Rack, Size: h.Size})
		d.Platform.Hosts.Put(time.Now(), inventory.ListedHost{ID: id, Role: inventory.RoleWorker, State: inventory.HostLive, DataCentre: h.DataCentre, Rack: h.Rack})
	}
	return d, nil
}

// startSite starts the backend servers and entry hosts of a site.
func (d *Deployment) startSite(s site) error {
	for _, v := range s.services {
		for i := range instancesPerService {
			dc := s.dataCentres[i%len(s.dataCentres)]
			if err := d.startBackend(v, inventory.InstanceID(fmt.Sprintf("%s-server-%02d", v, i+1)), dc); err != nil {
				return err
			}
		}
	}
	for _, dc := range s.dataCentres {
		for i := range d.options.EntryHosts {
			name := inventory.EntryID(fmt.Sprintf("%s-entry-%d", dc, i+1))
			if _, err := d.StartEntry(name, dc); err != nil {
				return err
			}
		}
	}
	return nil
}

// listen listens on a free loopback port that belongs to the network zone.
func (d *Deployment) listen(zone network.Zone) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listening on the loopback address")
	}
	d.listeners = append(d.listeners, l)
	d.Network.Place(l.Addr().String(), zone)
	return l, nil
}

// startBackend starts a backend server and adds it to the host list.
func (d *Deployment) startBackend(v inventory.ServiceID, id inventory.InstanceID, dc inventory.DataCentreID) error {
	l, err := d.listen(network.Zone(dc))
	if err != nil {
		return err
	}
	s := backend.New(backend.Options{ID: id, Service: v, Slots: configuration.DefaultSlots, Connections: configuration.DefaultConnections, ServiceTime: backendServiceTime})
	d.Backends = append(d.Backends, s)
	d.Addresses[id] = l.Addr().String()
	d.servers.Go(func() error { return s.Serve(l) })
	d.Platform.Hosts.Put(time.Now(), inventory.ListedHost{
		ID: inventory.HostID(id), Role: inventory.RoleBackend, State: inventory.HostLive,
		DataCentre: dc, Service: v, Address: l.Addr().String(),
	})
	return nil
}

// StartEntry starts another entry host.
func (d *Deployment) StartEntry(name inventory.EntryID, dc inventory.DataCentreID) (*Entry, error) {
	e, err := d.StartEntryWithSecurity(name, dc, d.options.Security)
	if err != nil {
		return nil, err
	}
	d.Entries = append(d.Entries, e)
	return e, nil
}

// StartEntryWithSecurity starts an entry host with security settings of its own. The host isn't among
// Entries; the caller stops it.
func (d *Deployment) StartEntryWithSecurity(name inventory.EntryID, dc inventory.DataCentreID, security Security) (*Entry, error) {
	callers, err := d.listen(network.Zone(dc))
	if err != nil {
		return nil, err
	}
	operators, err := d.listen(network.Zone(dc))
	if err != nil {
		return nil, err
	}
	peers, err := d.listen(network.Zone(dc))
	if err != nil {
		return nil, err
	}
	s := settings.Settings{
		Name: name, DataCentre: dc, Peers: d.peerAddresses(),
		CallerAddress: callers.Addr().String(), OperatorAddress: operators.Addr().String(),
		PeerAddress: peers.Addr().String(), PlatformAddress: d.PlatformAddress,
		NoticeTime: d.options.NoticeTime, StopTime: d.options.StopTime, LogLevel: "info",
	}
	security.apply(&s)
	d.Platform.Hosts.Put(time.Now(), inventory.ListedHost{
		ID: inventory.HostID(name), Role: inventory.RoleEntry, State: inventory.HostLive,
		DataCentre: dc, Address: callers.Addr().String(),
	})
	connections := newConnectionTracker()
	h := host.New(host.Config{Settings: s, Log: d.options.Log, Dial: connections.trackDialer(d.Network.Dialer(network.Zone(dc)))})
	ctx, stop := context.WithCancel(context.Background())
	e := &Entry{Settings: s, stop: stop, done: make(chan error, 1), connections: connections}
	go func() {
		e.done <- h.Serve(ctx, host.Listeners{Callers: connections.trackListener(callers), Operators: connections.trackListener(operators), Peers: connections.trackListener(peers)})
	}()
	return e, nil
}

// peerAddresses returns the peer addresses of the entry hosts started so far.
func (d *Deployment) peerAddresses() []string {
	var addresses []string
	for _, e := range d.Entries {
		addresses = append(addresses, e.Settings.PeerAddress)
	}
	return addresses
}

// Executions returns the number of executions of each request key on all backend servers.
func (d *Deployment) Executions() map[string]int {
	total := make(map[string]int)
	for _, s := range d.Backends {
		for k, n := range s.Executions() {
			total[k] += n
		}
	}
	return total
}

// Stop stops the entry hosts and closes all listeners. It doesn't wait for them to end.
func (d *Deployment) Stop() {
	for _, e := range d.Entries {
		e.stop()
	}
	for _, l := range d.listeners {
		_ = l.Close()
	}
}
