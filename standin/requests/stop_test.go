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

// stopper returns a planned stop of the entry host. During the notice time it
// calls notice.
func (e *entryHost) stopper(bound time.Duration, notice func()) *lifecycle.Stopper {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return lifecycle.NewStopper(lifecycle.StopConfig{
		Log: log, Readiness: lifecycle.NewReadiness(""), NoticeTime: 0, StopTime: bound,
		Callers: e.http, Operators: &fasthttp.Server{}, InFlight: e.server.InFlight,
		Wait: func(time.Duration) {
			e.stopping.Store(true)
			notice()
		},
	})
}

// TestPlannedStop stops an entry host with requests in flight, an idle
// connection and requests that come during the notice time.
func TestPlannedStop(t *testing.T) {
	w := newWorld(t)
	e := w.addEntry("entry-1", "Palermo")
	s := w.addScript("server-0")
	release, reached := make(chan struct{}), make(chan struct{}, 7)
	s.setScript(func(c net.Conn, r *http.Request, body string) bool {
		if r.URL.Path == "/slow" {
			reached <- struct{}{}
			<-release
		}
		return s.ok(c, r, body)
	})
	idle, err := net.Dial("tcp", e.address)
	require.NoError(t, err)
	_, err = io.WriteString(idle, "GET /services/Bells/x HTTP/1.1\r\nHost: x\r\nTenant: Secretaries\r\n\r\n")
	require.NoError(t, err)
	var wg sync.WaitGroup
	answers := make([]answer, 7)
	for i := range answers {
		wg.Go(func() { answers[i] = e.send(request{method: post, path: "/services/Bells/slow"}) })
	}
	for range answers {
		<-reached
	}
	report := e.stopper(time.Hour, func() {
		a := e.send(request{method: get})
		require.Equal(t, "Answered", a.outcome, "requests are taken during the notice time")
		require.True(t, a.closes, "and their connections are closed politely")
		close(release)
	}).Stop()
	wg.Wait()
	require.Equal(t, lifecycle.Report{}, report)
	for _, a := range answers {
		require.Equal(t, "Answered", a.outcome)
	}
	_, err = io.Copy(io.Discard, idle)
	require.NoError(t, err, "the idle connection was closed")
}

// TestPlannedStopReportsWhatRemains bounds a stop while a request never ends.
func TestPlannedStopReportsWhatRemains(t *testing.T) {
	w := newWorld(t)
	e := w.addEntry("entry-1", "Palermo")
	s := w.addScript("server-0")
	reached := make(chan struct{})
	s.setScript(func(c net.Conn, _ *http.Request, _ string) bool {
		close(reached)
		_, _ = io.Copy(io.Discard, c)
		return false
	})
	go func() { _, _ = e.trySend(request{method: post}) }()
	<-reached
	require.Equal(t, lifecycle.Report{InFlight: 1}, e.stopper(50*time.Millisecond, func() {}).Stop())
}
