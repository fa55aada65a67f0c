// Package local runs the platform's stand-in and entry hosts of the product on
// loopback addresses, in one process.
package local

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/platform"
	"github.com/godwitcross/godwitcross/standin/estate"
)

// queueHost is the host of the stand-in's queues.
const queueHost = "jobs.example"

// requestTimeout bounds a request to an entry host.
const requestTimeout = 5 * time.Second

// Bounds that the platform would tell.
const (
	graceS    = 2
	holdMaxMs = 6000
	leaseMs   = 300
	downtimeS = 0.05
	dutyPerS  = 200
)

// Host is an entry host.
type Host struct {
	Name    string
	Callers string
	Ready   string
	stop    func()
}

// loopbackIP is a loopback address of this process alone, so that ports which were found free
// aren't taken by other processes before they are used.
var loopbackIP = func() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&0x7f, pid>>8&0xff, 1+pid&0x7f)
}()

// FreeAddress returns a loopback address on which nobody listens.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", loopbackIP+":0")
	if err != nil {
		return "", eris.Wrap(err, "find a free port")
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// Settings returns the settings of an entry host that answers others at control.
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

// Start starts an entry host.
func Start(e *estate.Estate, log logrus.FieldLogger, name string, seeds []string, control string) (*Host, error) {
	s, err := Settings(e, name, seeds, control)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	p := platform.NewProcess(platform.Options{Log: log}, s)
	go func() { done <- p.Run(ctx) }()
	return &Host{Name: name, Callers: s.Listen.Front, Ready: s.Listen.Ready, stop: func() { cancel(); <-done }}, nil
}

// Stop stops the host as planned.
func (h *Host) Stop() {
	h.stop()
}

// IsReady reports whether the host takes callers.
func (h *Host) IsReady() bool {
	status, _, err := fasthttp.Get(nil, "http://"+h.Ready+"/v1/ready")
	return err == nil && status == fasthttp.StatusOK
}

// Ask sends one request of a caller. The status is 0 where there was no answer.
func (h *Host) Ask(method, path, body string) (int, []byte) {
	return Ask(h.Callers, method, path, body)
}

// Ask sends one request of a caller to an address.
func Ask(address, method, path, body string) (int, []byte) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	req.Header.SetHost(queueHost)
	req.UseHostHeader = true
	req.SetBodyString(body)
	req.Header.SetContentType("application/json")
	if err := fasthttp.DoTimeout(req, resp, requestTimeout); err != nil {
		return 0, nil
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...)
}

// State asks for a job's state; the text is the status where it isn't told.
func State(address, path string) string {
	status, body := Ask(address, fasthttp.MethodGet, path, "")
	if status != fasthttp.StatusOK {
		return fmt.Sprint(status)
	}
	var a struct{ State string }
	if err := json.Unmarshal(body, &a); err != nil {
		return err.Error()
	}
	return a.State
}

// State asks this host for a job's state.
func (h *Host) State(path string) string {
	return State(h.Callers, path)
}
