package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/bench/measure"
	"github.com/godwitcross/godwitcross/entry/host"
	"github.com/godwitcross/godwitcross/entry/settings"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/standin/platform"
)

// Times of a run of a whole entry host.
const (
	settleTime  = 3 * time.Second
	observeTime = 6 * time.Second
	readyWithin = 30 * time.Second
)

// errNotReady means that the entry host did not become ready.
var errNotReady = eris.New("the entry host is not ready")

// measureProcess runs one entry host that holds every duty, with the platform's
// stand-in in the same process and no callers, while changes come at the rate of
// the letter. What the stand-in takes is part of the figures.
func measureProcess(o measure.Options) ([]measure.Figure, error) {
	var figures []measure.Figure
	for _, s := range fleetSizes {
		o.Progress(fmt.Sprintf("an entry host at %d hosts", s.hosts))
		u, err := observe(s)
		if err != nil {
			return nil, err
		}
		at := func(name string, v float64, unit measure.Unit) measure.Figure {
			return measure.Figure{Name: fmt.Sprintf("process.%s_at_%d", name, s.hosts), Value: v, Unit: unit}
		}
		figures = append(figures,
			at("time_to_ready", float64(u.ready.Milliseconds()), measure.Milliseconds),
			at("share_of_core", u.core, measure.Ratio),
			at("heap", u.heap, measure.Bytes),
			at("platform_bytes_per_second", u.bytes, measure.Bytes))
	}
	return figures, nil
}

// usage is what a process took.
type usage struct {
	ready time.Duration
	core  float64
	heap  float64
	// bytes is what went to and came from the platform, a second.
	bytes float64
}

func observe(s size) (usage, error) {
	p, address, err := startPlatform(s)
	if err != nil {
		return usage{}, err
	}
	before := heapInUse()
	began := time.Now()
	var bytes atomic.Int64
	h, l, err := newHost(address, &bytes)
	if err != nil {
		return usage{}, err
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- h.Serve(ctx, l) }()
	err = awaitReady(l.Operators.Addr().String())
	u := usage{ready: time.Since(began)}
	if err == nil {
		u.core, u.bytes, err = run(p, s, &bytes)
		u.heap = float64(heapInUse()) - float64(before)
	}
	stop()
	if stopped := <-ended; err == nil {
		err = stopped
	}
	return u, err
}

// startPlatform returns a stand-in that lists all hosts and has one record, which
// publishes the fleet.
func startPlatform(s size) (*platform.Platform, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	p := platform.New(platform.Options{AppendsPerSecond: 400})
	p.Hosts.Put(time.Now(), hostList(s.hosts).Hosts...)
	for i := range s.hosts {
		h := machine(i, s)
		p.Fleet.Put(inventory.WorkerInfo{ID: hostID(i).Worker(), DataCentre: h.DataCentre, Rack: h.Rack, Size: h.Size})
	}
	raw, err := first(s)
	if err != nil {
		return nil, "", err
	}
	p.Log.Append(time.Now(), string(journal.StreamFleet), []json.RawMessage{raw})
	go func() { _ = p.Serve(l) }()
	return p, l.Addr().String(), nil
}

// newHost returns a host whose bytes to and from the platform are counted.
func newHost(platformAddress string, bytes *atomic.Int64) (*host.Host, host.Listeners, error) {
	var l host.Listeners
	for _, at := range []*net.Listener{&l.Callers, &l.Operators, &l.Peers} {
		var err error
		if *at, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, l, err
		}
	}
	s := settings.Settings{
		Name: entryHost, DataCentre: dataCentre(1), PlatformAddress: platformAddress, PeerAddress: l.Peers.Addr().String(),
		CallerAddress: l.Callers.Addr().String(), OperatorAddress: l.Operators.Addr().String(), LogLevel: "error", StopTime: 5 * time.Second,
	}
	for _, listener := range []*settings.Listener{&s.CallerListener, &s.OperatorListener, &s.PeerListener} {
		listener.Transport = settings.TransportPlainText
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	var d net.Dialer
	return host.New(host.Config{Settings: s, Log: log, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, "tcp", address)
		return countingConn{c, bytes}, err
	}}), l, nil
}

func awaitReady(operators string) error {
	for end := time.Now().Add(readyWithin); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if status, _, err := fasthttp.Get(nil, "http://"+operators+"/ready"); err == nil && status == fasthttp.StatusOK {
			return nil
		}
	}
	return errNotReady
}

// run lets changes come and returns the share of a core that the process took
// and the bytes that it exchanged, a second.
func run(p *platform.Platform, s size, bytes *atomic.Int64) (core, bytesPerSecond float64, err error) {
	time.Sleep(settleTime)
	began, before, sent := time.Now(), processorUsed(), bytes.Load()
	for n := 0; time.Since(began) < observeTime; n++ {
		raw, err := change(n, s, 1<<40)
		if err != nil {
			return 0, 0, err
		}
		p.Log.Append(time.Now(), string(journal.StreamFleet), []json.RawMessage{raw})
		time.Sleep(min(secondsPerDay*time.Second/ChangesPerDay, observeTime-time.Since(began)))
	}
	seconds := time.Since(began).Seconds()
	return (processorUsed() - before).Seconds() / seconds, float64(bytes.Load()-sent) / seconds, nil
}

// processorUsed returns the processor time of this process.
func processorUsed() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
