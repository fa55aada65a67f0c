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

// requests measures what an entry host adds to going straight to the server.
var requests = measure.Measurement{
	Name:  "requests",
	Usage: "latency and rate through an entry host against going straight to the server, and memory per connection",
	Run:   runRequests,
}

const (
	// callersAtOnce is the number of callers that measure the rate.
	callersAtOnce = 32
	// connections is the number that measures memory per connection.
	connections = 500
	// parts is how many equal parts the time is cut into.
	parts = 6
)

// errAnswer is returned when a request of a measurement was not answered.
var errAnswer = eris.New("not answered")

func runRequests(o measure.Options) ([]measure.Figure, error) {
	s, err := newSite()
	if err != nil {
		return nil, err
	}
	defer s.close()
	part := o.Duration / parts
	o.Progress("one caller")
	straight, err := one(s.server, fasthttp.MethodGet, 0, part)
	if err != nil {
		return nil, err
	}
	through, err := one(s.entry, fasthttp.MethodGet, 0, part)
	if err != nil {
		return nil, err
	}
	unsafe, err := one(s.entry, fasthttp.MethodPost, 0, part)
	if err != nil {
		return nil, err
	}
	keyed, err := one(s.entry, fasthttp.MethodPost, keyPause, part)
	if err != nil {
		return nil, err
	}
	o.Progress(fmt.Sprint(callersAtOnce, " callers"))
	straightRate, err := many(s.server, part)
	if err != nil {
		return nil, err
	}
	throughRate, err := many(s.entry, part)
	if err != nil {
		return nil, err
	}
	o.Progress(fmt.Sprint(connections, " connections"))
	idle, busy, err := memory(s)
	if err != nil {
		return nil, err
	}
	return []measure.Figure{
		{Name: "requests.straight_p50", Value: at(straight, 0.5), Unit: measure.Microseconds},
		{Name: "requests.through_p50", Value: at(through, 0.5), Unit: measure.Microseconds},
		{Name: "requests.added_p50", Value: at(through, 0.5) - at(straight, 0.5), Unit: measure.Microseconds},
		{Name: "requests.added_p99", Value: at(through, 0.99) - at(straight, 0.99), Unit: measure.Microseconds},
		{Name: "requests.latency_ratio", Value: at(through, 0.5) / at(straight, 0.5), Unit: measure.Ratio},
		{Name: "requests.new_connection_p50", Value: at(unsafe, 0.5), Unit: measure.Microseconds},
		{Name: "requests.keyed_p50", Value: at(keyed, 0.5), Unit: measure.Microseconds},
		{Name: "requests.straight_rate", Value: straightRate, Unit: measure.PerSecond},
		{Name: "requests.through_rate", Value: throughRate, Unit: measure.PerSecond},
		{Name: "requests.rate_ratio", Value: throughRate / straightRate, Unit: measure.Ratio},
		{Name: "requests.idle_connection", Value: idle, Unit: measure.Bytes},
		{Name: "requests.busy_connection", Value: busy, Unit: measure.Bytes},
	}, nil
}

// at returns the quantile of durations in microseconds.
func at(list []time.Duration, q float64) float64 {
	slices.Sort(list)
	return float64(list[min(int(q*float64(len(list))), len(list)-1)]) / float64(time.Microsecond)
}

// keyPause is the time between two requests with a key, whose claims would go in
// groups otherwise.
const keyPause = 60 * time.Millisecond

// one lets one caller send requests one after the other. With a pause between
// them each has a key.
func one(address, method string, pause, d time.Duration) ([]time.Duration, error) {
	c := &fasthttp.HostClient{Addr: address, MaxIdemponentCallAttempts: 1}
	defer c.CloseIdleConnections()
	req, resp := newRequest(address, method), &fasthttp.Response{}
	var list []time.Duration
	for end := time.Now().Add(d); time.Now().Before(end); {
		if pause > 0 {
			time.Sleep(pause)
			req.Header.Set(caller.HeaderKey, strconv.Itoa(len(list)))
		}
		began := time.Now()
		if err := c.Do(req, resp); err != nil {
			return nil, eris.Wrap(err, "sending")
		}
		if resp.StatusCode() != fasthttp.StatusOK {
			return nil, eris.Wrapf(errAnswer, "status %d %s", resp.StatusCode(), resp.Body())
		}
		list = append(list, time.Since(began))
	}
	return list, nil
}

// many returns the answered requests of many callers per second.
func many(address string, d time.Duration) (float64, error) {
	var wg sync.WaitGroup
	var answered atomic.Int64
	errs := make(chan error, callersAtOnce)
	began := time.Now()
	for range callersAtOnce {
		wg.Go(func() {
			list, err := one(address, fasthttp.MethodGet, 0, d)
			answered.Add(int64(len(list)))
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

// memory returns the bytes in use for each connection that is open and idle,
// and for each with a request at the server. The caller's side of the
// connection is in the same process and counts, too.
func memory(s *site) (idle, busy float64, err error) {
	before := inUse()
	var open []net.Conn
	defer func() {
		for _, c := range open {
			_ = c.Close()
		}
	}()
	for range connections {
		c, err := net.Dial("tcp", s.entry)
		if err != nil {
			return 0, 0, eris.Wrap(err, "connecting")
		}
		open = append(open, c)
		if err := exchange(c, "0"); err != nil {
			return 0, 0, err
		}
	}
	atRest := inUse()
	for _, c := range open {
		if _, err := c.Write(message("500")); err != nil {
			return 0, 0, eris.Wrap(err, "sending")
		}
	}
	time.Sleep(settleTime)
	atWork := inUse()
	return (atRest - before) / connections, (atWork - before) / connections, nil
}

// settleTime lets all requests reach the server.
const settleTime = 200 * time.Millisecond

// message is a request with a service time in milliseconds.
func message(work string) []byte {
	return []byte("GET /services/" + string(serviceName) + "/x HTTP/1.1\r\nHost: x\r\n" + caller.HeaderTenant + ": " + string(tenantName) + "\r\nStandin-Work: " + work + "\r\n\r\n")
}

// exchange sends a request and reads something of its answer.
func exchange(c net.Conn, work string) error {
	if _, err := c.Write(message(work)); err != nil {
		return eris.Wrap(err, "sending")
	}
	b := make([]byte, 4096)
	if _, err := c.Read(b); err != nil {
		return eris.Wrap(err, "reading")
	}
	return nil
}

// inUse returns the bytes of heap and stacks in use.
func inUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}
