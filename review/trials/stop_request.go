package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// grace is GraceS, lossSlack LossSlackMs, stopGap the pause between two stops.
	grace     = 6 * time.Second
	lossSlack = 200 * time.Millisecond
	stopGap   = 1300 * time.Millisecond
	// checkInterval is the time between two checks of readiness, after misses of which a host is out of
	// rotation.
	checkInterval = time.Second
	misses        = 2
	// connectInterval is the time between two clients. Each connects connectAhead before its request.
	connectInterval = 10 * time.Millisecond
	connectAhead    = 2950 * time.Millisecond
	// clientTimeout is how long a client waits for the answer.
	clientTimeout = 3 * time.Second
)

// ingress is the platform's choice of the host for a client of the first zone.
type ingress struct {
	mu       sync.Mutex
	hosts    []*host
	missed   map[*host]int
	isEnding bool
}

// check asks all hosts for their readiness, each once per interval.
func (g *ingress) check() {
	for i, h := range g.hosts {
		go func() {
			time.Sleep(time.Duration(i) * checkInterval / time.Duration(len(g.hosts)))
			for range time.Tick(checkInterval) {
				isReady := h.isReady()
				g.mu.Lock()
				if g.isEnding {
					g.mu.Unlock()
					return
				}
				if g.missed[h]++; isReady {
					g.missed[h] = 0
				}
				g.mu.Unlock()
			}
		}()
	}
}

// choose returns the host for the client n: one in rotation, or any of the zone's if fewer than half of
// them are in rotation. It returns nil if none is, as the client then belongs to another zone.
func (g *ingress) choose(n int) *host {
	g.mu.Lock()
	defer g.mu.Unlock()
	var in []*host
	for _, h := range g.hosts {
		if g.missed[h] < misses {
			in = append(in, h)
		}
	}
	switch {
	case len(in) == 0:
		return nil
	case 2*len(in) < len(g.hosts):
		in = g.hosts
	}
	return in[n%len(in)]
}

// stopRequest stops and starts all entry hosts in turn, with SIGTERM and after the grace with SIGKILL.
// Clients of a zone with three hosts connect through the platform's ingress and send their first request
// some seconds later. It looks for requests that a stopping process has read whole, and whose connection
// ends without an answer. Without the trouble no host is stopped.
func stopRequest(t *trial) error {
	pools := []pool{{"desk", 6}, {"quotes", 6}, {"admin", 3}}
	if err := t.start(pools, "admin", []route{newRoute("checks", "desk"), newRoute("builds", "quotes")}, 7); err != nil {
		return err
	}
	t.rec.quiet = true
	time.Sleep(3 * time.Second)
	g := &ingress{missed: make(map[*host]int)}
	for i, h := range t.hosts {
		if i%len(zones) == 0 {
			g.hosts = append(g.hosts, h)
		}
	}
	g.check()
	stoppedAt := make(map[*host]time.Time)
	var mu sync.Mutex
	var wg sync.WaitGroup
	stopClients := make(chan struct{})
	var lost, sent atomic.Int64
	wg.Add(1)
	go func() {
		defer wg.Done()
		tick := time.NewTicker(connectInterval)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-stopClients:
				return
			case <-tick.C:
			}
			h := g.choose(n)
			if h == nil {
				continue
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				sent.Add(1)
				isLost := t.sendAhead(h, n, func() time.Duration {
					mu.Lock()
					defer mu.Unlock()
					if at, ok := stoppedAt[h]; ok {
						return time.Since(at)
					}
					return 0
				})
				if isLost {
					lost.Add(1)
				}
			}()
		}
	}()
	time.Sleep(4 * time.Second)
	var stops sync.WaitGroup
	// The hosts of the clients' zone come first.
	order := append(append([]*host{}, g.hosts...), t.hosts[1], t.hosts[2], t.hosts[4], t.hosts[5])
	for _, h := range order {
		if t.trouble {
			stops.Add(1)
			go func() {
				defer stops.Done()
				t.stopAsPlanned(h, func(at time.Time) {
					mu.Lock()
					defer mu.Unlock()
					stoppedAt[h] = at
				})
			}()
		}
		time.Sleep(stopGap)
	}
	stops.Wait()
	time.Sleep(3 * time.Second)
	close(stopClients)
	wg.Wait()
	g.mu.Lock()
	g.isEnding = true
	g.mu.Unlock()
	t.rec.note("%d requests, %d lost", sent.Load(), lost.Load())
	if lost.Load() > 0 {
		return fmt.Errorf("%w: %d of %d requests were read by a host that was stopped as planned, and had no answer", errBroken, lost.Load(), sent.Load())
	}
	return nil
}

// stopAsPlanned stops a host and starts it again.
func (t *trial) stopAsPlanned(h *host, began func(at time.Time)) {
	at := time.Now()
	began(at)
	t.rec.note("SIGTERM to %s", h.name)
	h.signal(syscall.SIGTERM)
	select {
	case <-h.ended():
		t.rec.note("%s has ended, %s after the SIGTERM", h.name, time.Since(at).Round(time.Millisecond))
	case <-time.After(grace):
		t.rec.note("SIGKILL to %s", h.name)
		h.kill()
	}
	if err := h.start(); err != nil {
		t.rec.note("%s wasn't started: %s", h.name, err)
	}
}

// sendAhead connects to a host, sends a request connectAhead later, and reports whether the connection ended
// later than lossSlack without an answer although the process had read the request: a connection that is
// closed with unread bytes is reset. sinceStop returns the time since the host's SIGTERM.
func (t *trial) sendAhead(h *host, n int, sinceStop func() time.Duration) bool {
	c, err := net.DialTimeout("tcp", h.front, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	connected := sinceStop()
	time.Sleep(connectAhead)
	body := `{"Spec":"ms=100 cpu=500 check","Steps":[{"Count":1,"Cpu":500,"MemMb":100,"EstimateMs":100}]}`
	sentAt, after := time.Now(), sinceStop()
	_, err = fmt.Fprintf(c, "POST /checks/%016x HTTP/1.1\r\nHost: jobs.example\r\nContent-Type: application/json\r\nX-Godwitcross-Timeout-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		0xf0000+n, clientTimeout.Milliseconds(), len(body), body)
	if err != nil {
		return false
	}
	_ = c.SetReadDeadline(sentAt.Add(clientTimeout))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	took := time.Since(sentAt).Round(time.Millisecond)
	if err == nil {
		_ = r.Body.Close()
		return false
	}
	how := err.Error()
	isEnd := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
	if isEnd {
		how = "closed, and not reset"
	}
	t.rec.note("request %d at %s: connected %s and sent %s after the SIGTERM; no answer, the connection was %s after %s",
		n, h.name, connected.Round(time.Millisecond), after.Round(time.Millisecond), how, took)
	return isEnd && took > lossSlack && after > 0
}
