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

// Times of a measurement of an entry host.
const (
	settleTime   = 3 * time.Second
	measureTime  = 6 * time.Second
	readyTimeout = 30 * time.Second
)

// errNotReady is returned when the entry host is not ready within readyTimeout.
var errNotReady = eris.New("the entry host is not ready")

// measureProcess runs one entry host that holds every duty, without callers, while
// changes arrive at the target rate. The platform stand-in runs in the same process,
// so its resource use is included in the figures.
func measureProcess(o measure.Options) ([]measure.Figure, error) {
	var figures []measure.Figure
	for _, s := range fleetSizes {
		o.Progress(fmt.Sprintf("an entry host at %d hosts", s.hosts))
		used, err := measureEntryHost(s)
		if err != nil {
			return nil, err
		}
		at := func(name string, v float64, unit measure.Unit) measure.Figure {
			return measure.Figure{Name: fmt.Sprintf("process.%s_at_%d", name, s.hosts), Value: v, Unit: unit}
		}
		figures = append(figures,
			at("time_to_ready", float64(used.ready.Milliseconds()), measure.Milliseconds),
			at("share_of_core", used.core, measure.Ratio),
			at("heap", used.heap, measure.Bytes),
			at("platform_bytes_per_second", used.bytes, measure.Bytes))
	}
	return figures, nil
}

// usage is the resource use of an entry host.
type usage struct {
	ready time.Duration
	core  float64
	heap  float64
	// bytes is the number of bytes exchanged with the platform per second.
	bytes float64
}

func measureEntryHost(s size) (usage, error) {
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
	err = waitUntilReady(l.Operators.Addr().String())
	used := usage{ready: time.Since(began)}
	if err == nil {
		used.core, used.bytes, err = measureUnderChanges(p, s, &bytes)
		used.heap = float64(heapInUse()) - float64(before)
	}
	stop()
	if stopped := <-ended; err == nil {
		err = stopped
	}
	return used, err
}

// startPlatform starts a platform stand-in that lists all hosts and whose log has one
// record, which publishes the fleet.
func startPlatform(s size) (*platform.Platform, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	p := platform.New(platform.Options{AppendsPerSecond: 400})
	p.Hosts.Put(time.Now(), hostList(s.hosts).Hosts...)
	for i := range s.hosts {
		h := hostConfiguration(i, s)
		p.Fleet.Put(inventory.WorkerInfo{ID: hostID(i).Worker(), DataCentre: h.DataCentre, Rack: h.Rack, Size: h.Size})
	}
	raw, err := encodeFleetRecord(s)
	if err != nil {
		return nil, "", err
	}
	p.Log.Append(time.Now(), string(journal.StreamFleet), []json.RawMessage{raw})
	go func() { _ = p.Serve(l) }()
	return p, l.Addr().String(), nil
}

// newHost returns an entry host that adds the bytes it exchanges with the platform to
// bytes.
func newHost(platformAddress string, bytes *atomic.Int64) (*host.Host, host.Listeners, error) {
	var l host.Listeners
	for _, at := range []*net.Listener{&l.Callers, &l.Operators, &l.Peers} {
		var err error
		if *at, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, l, err
		}
	}
	s := settings.Settings{
		Name: entryHostName, DataCentre: dataCentre(1), PlatformAddress: platformAddress, PeerAddress: l.Peers.Addr().String(),
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

func waitUntilReady(operators string) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if status, _, err := fasthttp.Get(nil, "http://"+operators+"/ready"); err == nil && status == fasthttp.StatusOK {
			return nil
		}
	}
	return errNotReady
}

// measureUnderChanges appends changes at the target rate. It returns the share of a
// core that the process used and the bytes exchanged per second.
func measureUnderChanges(p *platform.Platform, s size, bytes *atomic.Int64) (core, bytesPerSecond float64, err error) {
	time.Sleep(settleTime)
	began, before, sent := time.Now(), processorTime(), bytes.Load()
	for n := 0; time.Since(began) < measureTime; n++ {
		raw, err := encodeChange(n, s, 1<<40)
		if err != nil {
			return 0, 0, err
		}
		p.Log.Append(time.Now(), string(journal.StreamFleet), []json.RawMessage{raw})
		time.Sleep(min(secondsPerDay*time.Second/ChangesPerDay, measureTime-time.Since(began)))
	}
	seconds := time.Since(began).Seconds()
	return (processorTime() - before).Seconds() / seconds, float64(bytes.Load()-sent) / seconds, nil
}

// processorTime returns the processor time that this process has used, or 0 if it
// can't be read.
func processorTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
