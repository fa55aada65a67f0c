package load

import (
	"fmt"
	"net"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/bench/measure"
	"github.com/godwitcross/godwitcross/entry/caller"
)

// requests measures the overhead of an entry host compared with direct requests to
// the server.
var requests = measure.Measurement{
	Name:  "requests",
	Usage: "latency and rate through an entry host compared with direct requests to the server, and memory per connection",
	Run:   runRequests,
}

const (
	// concurrentCallers is the number of callers in the rate measurements.
	concurrentCallers = 32
	// connections is the number of connections in the memory measurement.
	connections = 500
	// phases is the number of equal parts that the duration is divided into.
	phases = 6
)

// errNotAnswered is returned when a request gets a status other than 200.
var errNotAnswered = eris.New("not answered")

func runRequests(o measure.Options) ([]measure.Figure, error) {
	env, err := newEnvironment()
	if err != nil {
		return nil, err
	}
	defer env.close()
	phase := o.Duration / phases
	o.Progress("one caller")
	direct, err := measureLatencies(env.server, fasthttp.MethodGet, 0, phase)
	if err != nil {
		return nil, err
	}
	proxied, err := measureLatencies(env.entry, fasthttp.MethodGet, 0, phase)
	if err != nil {
		return nil, err
	}
	nonIdempotent, err := measureLatencies(env.entry, fasthttp.MethodPost, 0, phase)
	if err != nil {
		return nil, err
	}
	keyed, err := measureLatencies(env.entry, fasthttp.MethodPost, keyPause, phase)
	if err != nil {
		return nil, err
	}
	o.Progress(fmt.Sprint(concurrentCallers, " callers"))
	directRate, err := measureRate(env.server, phase)
	if err != nil {
		return nil, err
	}
	proxiedRate, err := measureRate(env.entry, phase)
	if err != nil {
		return nil, err
	}
	o.Progress(fmt.Sprint(connections, " connections"))
	idle, busy, err := measureConnectionMemory(env)
	if err != nil {
		return nil, err
	}
	return []measure.Figure{
		{Name: "requests.straight_p50", Value: quantileMicroseconds(direct, 0.5), Unit: measure.Microseconds},
		{Name: "requests.through_p50", Value: quantileMicroseconds(proxied, 0.5), Unit: measure.Microseconds},
		{Name: "requests.added_p50", Value: quantileMicroseconds(proxied, 0.5) - quantileMicroseconds(direct, 0.5), Unit: measure.Microseconds},
		{Name: "requests.added_p99", Value: quantileMicroseconds(proxied, 0.99) - quantileMicroseconds(direct, 0.99), Unit: measure.Microseconds},
		{Name: "requests.latency_ratio", Value: quantileMicroseconds(proxied, 0.5) / quantileMicroseconds(direct, 0.5), Unit: measure.Ratio},
		{Name: "requests.new_connection_p50", Value: quantileMicroseconds(nonIdempotent, 0.5), Unit: measure.Microseconds},
		{Name: "requests.keyed_p50", Value: quantileMicroseconds(keyed, 0.5), Unit: measure.Microseconds},
		{Name: "requests.straight_rate", Value: directRate, Unit: measure.PerSecond},
		{Name: "requests.through_rate", Value: proxiedRate, Unit: measure.PerSecond},
		{Name: "requests.rate_ratio", Value: proxiedRate / directRate, Unit: measure.Ratio},
		{Name: "requests.idle_connection", Value: idle, Unit: measure.Bytes},
		{Name: "requests.busy_connection", Value: busy, Unit: measure.Bytes},
	}, nil
}

// quantileMicroseconds sorts the durations and returns their quantile q in
// microseconds.
func quantileMicroseconds(durations []time.Duration, q float64) float64 {
	slices.Sort(durations)
	return float64(durations[min(int(q*float64(len(durations))), len(durations)-1)]) / float64(time.Microsecond)
}

// keyPause is the time between two requests with an idempotency key. Without it, their
// claims would be written in groups.
const keyPause = 60 * time.Millisecond

// measureLatencies sends requests from one caller one after the other and returns their
// latencies. If pause is above 0, it waits that long before each request and gives each
// an idempotency key.
func measureLatencies(address, method string, pause, d time.Duration) ([]time.Duration, error) {
	client := &fasthttp.HostClient{Addr: address, MaxIdemponentCallAttempts: 1}
	defer client.CloseIdleConnections()
	req, resp := newRequest(address, method), &fasthttp.Response{}
	var latencies []time.Duration
	for end := time.Now().Add(d); time.Now().Before(end); {
		if pause > 0 {
			time.Sleep(pause)
			req.Header.Set(caller.HeaderKey, strconv.Itoa(len(latencies)))
		}
		began := time.Now()
		if err := client.Do(req, resp); err != nil {
			return nil, eris.Wrap(err, "sending a request")
		}
		if resp.StatusCode() != fasthttp.StatusOK {
			return nil, eris.Wrapf(errNotAnswered, "status %d %s", resp.StatusCode(), resp.Body())
		}
		latencies = append(latencies, time.Since(began))
	}
	return latencies, nil
}

// measureRate returns the number of answered requests per second with
// concurrentCallers callers.
func measureRate(address string, d time.Duration) (float64, error) {
	var wg sync.WaitGroup
	var answered atomic.Int64
	errs := make(chan error, concurrentCallers)
	began := time.Now()
	for range concurrentCallers {
		wg.Go(func() {
			latencies, err := measureLatencies(address, fasthttp.MethodGet, 0, d)
			answered.Add(int64(len(latencies)))
			if err != nil {
				errs <- err
			}
		})
	}
	wg.Wait()
	select {
	case err := <-errs:
		return 0, err
	default:
		return float64(answered.Load()) / time.Since(began).Seconds(), nil
	}
}

// measureConnectionMemory returns the bytes in use per idle connection and per
// connection with a request at the server. They include the caller's side of the
// connection, which is in the same process.
func measureConnectionMemory(env *environment) (idle, busy float64, err error) {
	before := memoryInUse()
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	for range connections {
		c, err := net.Dial("tcp", env.entry)
		if err != nil {
			return 0, 0, eris.Wrap(err, "connecting to the entry host")
		}
		conns = append(conns, c)
		if err := exchange(c, "0"); err != nil {
			return 0, 0, err
		}
	}
	idleBytes := memoryInUse()
	for _, c := range conns {
		if _, err := c.Write(encodeRequest("500")); err != nil {
			return 0, 0, eris.Wrap(err, "sending a request")
		}
	}
	time.Sleep(settleTime)
	busyBytes := memoryInUse()
	return (idleBytes - before) / connections, (busyBytes - before) / connections, nil
}

// settleTime is the time for all requests to reach the server.
const settleTime = 200 * time.Millisecond

// encodeRequest returns an HTTP request with the given service time in milliseconds.
func encodeRequest(serviceTime string) []byte {
	return []byte("GET /services/" + string(serviceName) + "/x HTTP/1.1\r\nHost: x\r\n" + caller.HeaderTenant + ": " + string(tenantName) + "\r\nStandin-Work: " + serviceTime + "\r\n\r\n")
}

// exchange sends a request and reads the first bytes of the response.
func exchange(c net.Conn, serviceTime string) error {
	if _, err := c.Write(encodeRequest(serviceTime)); err != nil {
		return eris.Wrap(err, "sending a request")
	}
	b := make([]byte, 4096)
	if _, err := c.Read(b); err != nil {
		return eris.Wrap(err, "reading the response")
	}
	return nil
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}
