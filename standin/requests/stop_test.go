package requests

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/lifecycle"
)

// newStopper returns the planned stop of the entry host. It calls notice in place of the
// notice time.
func (e *entryHost) newStopper(limit time.Duration, notice func()) *lifecycle.Stopper {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return lifecycle.NewStopper(lifecycle.StopConfig{
		Log: log, Readiness: lifecycle.NewReadiness(""), NoticeTime: 0, StopTime: limit,
		Callers: e.http, Operators: &fasthttp.Server{}, InFlight: e.server.InFlight,
		Wait: func(time.Duration) {
			e.stopping.Store(true)
			notice()
		},
	})
}

// TestPlannedStop stops an entry host with requests in flight, an idle connection and a
// request during the notice time. All requests must be answered.
func TestPlannedStop(t *testing.T) {
	tb := newTestbed(t)
	e := tb.addEntry("entry-1", "Palermo")
	s := tb.addScriptedServer("server-0")
	release, reached := make(chan struct{}), make(chan struct{}, 7)
	s.setScript(func(c net.Conn, r *http.Request, body string) bool {
		if r.URL.Path == "/slow" {
			reached <- struct{}{}
			<-release
		}
		return s.echo(c, r, body)
	})
	idle, err := net.Dial("tcp", e.address)
	require.NoError(t, err)
	_, err = io.WriteString(idle, "GET /services/Bells/x HTTP/1.1\r\nHost: x\r\nTenant: Secretaries\r\n\r\n")
	require.NoError(t, err)
	var wg sync.WaitGroup
	responses := make([]response, 7)
	for i := range responses {
		wg.Go(func() { responses[i] = e.send(request{method: post, path: "/services/Bells/slow"}) })
	}
	for range responses {
		<-reached
	}
	report := e.newStopper(time.Hour, func() {
		a := e.send(request{method: get})
		require.Equal(t, "Answered", a.outcome, "requests are accepted during the notice time")
		require.True(t, a.closes, "responses during the notice time announce the close")
		close(release)
	}).Stop()
	wg.Wait()
	require.Equal(t, lifecycle.Report{}, report)
	for _, a := range responses {
		require.Equal(t, "Answered", a.outcome)
	}
	_, err = io.Copy(io.Discard, idle)
	require.NoError(t, err, "the idle connection was closed")
}

// TestPlannedStopReportsRequestsInFlight limits the time of a stop while a request
// never ends.
func TestPlannedStopReportsRequestsInFlight(t *testing.T) {
	tb := newTestbed(t)
	e := tb.addEntry("entry-1", "Palermo")
	s := tb.addScriptedServer("server-0")
	reached := make(chan struct{})
	s.setScript(func(c net.Conn, _ *http.Request, _ string) bool {
		close(reached)
		_, _ = io.Copy(io.Discard, c)
		return false
	})
	go func() { _, _ = e.trySend(request{method: post}) }()
	<-reached
	require.Equal(t, lifecycle.Report{InFlight: 1}, e.newStopper(50*time.Millisecond, func() {}).Stop())
}
