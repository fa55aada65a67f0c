// Package local runs entry hosts in one process, on loopback addresses and against the
// stand-in platform of package estate.
package local

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/platform"
	"github.com/godwitcross/godwitcross/standin/estate"
)

// queueHost is the Host header of requests to the stand-in's queues.
const queueHost = "jobs.example"

// maxPortTries bounds the search for a port that hasn't been returned before.
const maxPortTries = 1000

// requestTimeout bounds a request to an entry host.
const requestTimeout = 5 * time.Second

// Bounds and rates of the platform that a real deployment takes from its settings.
const (
	graceS    = 2
	holdMaxMs = 6000
	leaseMs   = 300
	downtimeS = 0.05
	dutyPerS  = 200
)

// Host is a running entry host with its name and the addresses for callers and readiness.
type Host struct {
	Name             string
	CallerAddress    string
	ReadinessAddress string
	stop             func()
}

// loopbackIP is a loopback address derived from the process id, so that another process
// doesn't take a port between its being found free and its use.
var loopbackIP = func() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&0x7f, pid>>8&0xff, 1+pid&0x7f)
}()

// usedAddresses are the addresses that FreeAddress has returned. The kernel may pick a free
// port again before its first user listens there.
var usedAddresses sync.Map

// FreeAddress returns a loopback address and port that are free and that no earlier call
// returned.
func FreeAddress() (string, error) {
	for range maxPortTries {
		l, err := net.Listen("tcp", loopbackIP+":0")
		if err != nil {
			return "", eris.Wrap(err, "finding a free port")
		}
		a := l.Addr().String()
		if err := l.Close(); err != nil {
			return "", eris.Wrap(err, "releasing a free port")
		}
		if _, isUsed := usedAddresses.LoadOrStore(a, true); !isUsed {
			return a, nil
		}
	}
	return "", eris.Errorf("no unused port after %d tries", maxPortTries)
}

// Settings returns the settings of an entry host that listens to the other entry hosts at
// control and finds them through seeds.
func Settings(e *estate.Estate, name string, seeds []string, control string) (platform.Settings, error) {
	var s platform.Settings
	s.Node, s.Zone, s.IP, s.Orders, s.Seeds = name, "z1", loopbackIP, "call", seeds
	var err error
	if s.Listen.Front, err = FreeAddress(); err != nil {
		return s, err
	}
	if s.Listen.Ready, err = FreeAddress(); err != nil {
		return s, err
	}
	s.Listen.Control = control
	s.Bounds.GraceS, s.Bounds.HoldMaxMs, s.Bounds.LeaseMs = graceS, holdMaxMs, leaseMs
	s.Bounds.MoveS, s.Bounds.UpkeepS = downtimeS, downtimeS
	s.Platform.Address, s.Cloud.Address, s.Advice = e.StoreAddress(), e.CloudAddress(), e.AdviceAddress()
	s.Cloud.DutyPerS = dutyPerS
	return s, nil
}

// Start starts an entry host in a goroutine and doesn't wait until it is ready.
func Start(e *estate.Estate, log logrus.FieldLogger, name string, seeds []string, control string) (*Host, error) {
	s, err := Settings(e, name, seeds, control)
	if err != nil {
		return nil, err
	}
	return StartWith(s, platform.Options{Log: log}), nil
}

// StartWith starts an entry host with the settings, like Start.
func StartWith(s platform.Settings, opt platform.Options) *Host {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	p := platform.NewProcess(opt, s)
	go func() { done <- p.Run(ctx) }()
	return &Host{Name: s.Node, CallerAddress: s.Listen.Front, ReadinessAddress: s.Listen.Ready, stop: func() { cancel(); <-done }}
}

// Stop shuts the host down and waits until it has ended.
func (h *Host) Stop() {
	h.stop()
}

// IsReady reports whether the host accepts requests of callers.
func (h *Host) IsReady() bool {
	status, _, err := fasthttp.Get(nil, "http://"+h.ReadinessAddress+"/v1/ready")
	return err == nil && status == fasthttp.StatusOK
}

// SendRequest sends a caller's request to the host. The status is 0 if there was no answer.
func (h *Host) SendRequest(method, path, body string) (int, []byte) {
	return SendRequest(h.CallerAddress, method, path, body)
}

// SendRequest sends a caller's request to an address. The status is 0 if there was no answer.
func SendRequest(address, method, path, body string) (int, []byte) {
	return SendWithKey(address, "", method, path, body)
}

// SendWithKey is SendRequest with a key, unless it is empty.
func SendWithKey(address, key, method, path, body string) (int, []byte) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	req.Header.SetHost(queueHost)
	req.UseHostHeader = true
	req.SetBodyString(body)
	req.Header.SetContentType("application/json")
	if key != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+key)
	}
	if err := fasthttp.DoTimeout(req, resp, requestTimeout); err != nil {
		return 0, nil
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...)
}

// State returns the state of the job at path, or the HTTP status if the answer isn't 200.
func State(address, path string) string {
	return StateWithKey(address, "", path)
}

// StateWithKey is State with a key, unless it is empty.
func StateWithKey(address, key, path string) string {
	status, body := SendWithKey(address, key, fasthttp.MethodGet, path, "")
	if status != fasthttp.StatusOK {
		return fmt.Sprint(status)
	}
	var answer struct{ State string }
	if err := json.Unmarshal(body, &answer); err != nil {
		return err.Error()
	}
	return answer.State
}

// State returns the state of the job at path as this host reports it.
func (h *Host) State(path string) string {
	return State(h.CallerAddress, path)
}
