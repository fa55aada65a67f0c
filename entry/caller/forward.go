package caller

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/backend"
	"github.com/godwitcross/godwitcross/entry/claimer"
	"github.com/godwitcross/godwitcross/fleet/admission"
	"github.com/godwitcross/godwitcross/fleet/dispatch"
	"github.com/godwitcross/godwitcross/fleet/retry"
)

// forwarder executes the dispatcher's actions for one request.
type forwarder struct {
	server *Server
	target target
	id     admission.RequestID
	reply  chan dispatch.Action
	// request is sent to the backend server; answer receives its response.
	request *fasthttp.Request
	answer  *fasthttp.Response
	grant   claimer.Grant
	// sent is true from the first attempt on.
	sent bool
}

// run submits the request and executes the dispatcher's actions until it is finished.
func (f *forwarder) run(now time.Time) dispatch.Completion {
	r := dispatch.Request{
		Request: admission.Request{ID: f.id, Tenant: f.target.tenant, Class: f.target.class, Arrived: now, Deadline: f.target.deadline},
		Service: f.target.service, Idempotent: f.target.idempotent, Keyed: f.target.keyed,
	}
	if !f.server.cfg.Dispatcher.submit(arrival{request: r, reply: f.reply}) {
		return dispatch.Completion{Outcome: retry.NotRun, Reason: ReasonBusy, RetryAfter: admission.MinRetryAfter}
	}
	for {
		select {
		case a := <-f.reply:
			if a.Kind == dispatch.ActionFinish {
				f.finish(a.End)
				return a.End
			}
			f.execute(a)
		case <-f.server.cfg.Dispatcher.done:
			return f.stopped()
		}
	}
}

// execute executes an action and reports its result to the dispatcher.
func (f *forwarder) execute(a dispatch.Action) {
	if a.Kind == dispatch.ActionClaim {
		ctx, cancel := context.WithDeadline(context.Background(), a.Deadline)
		defer cancel()
		f.grant = f.server.cfg.Claims.Claim(ctx, f.target.service, f.target.key)
		f.server.cfg.Dispatcher.enqueue(claimCompleted{id: f.id, result: f.grant.Result})
		return
	}
	f.server.cfg.Dispatcher.enqueue(attemptCompleted{id: f.id, result: f.send(a)})
}

// send makes one attempt at the backend server that the action names.
func (f *forwarder) send(a dispatch.Action) dispatch.AttemptResult {
	f.sent = true
	now := time.Now()
	f.request.Header.SetHost(a.Instance.Address)
	f.request.Header.Set(HeaderDeadline, strconv.FormatInt(max(f.target.deadline.Sub(now).Milliseconds(), 0), 10))
	result, err := f.server.cfg.Pool.Do(context.Background(), backend.Request{
		Address: a.Instance.Address, Message: f.request, Answer: f.answer,
		MaxBody: int(f.target.spec.MaxBody), Deadline: a.Deadline, NewConnection: a.NewConnection, Connections: a.Connections,
	}, now)
	if err != nil {
		f.server.cfg.Log.WithError(err).WithField("Instance", a.Instance.ID).Debug("sending to a backend server failed")
	}
	return result
}

func (f *forwarder) finish(e dispatch.Completion) {
	if e.ReleaseClaim {
		f.server.cfg.Claims.Release(f.target.service, f.target.key, f.grant)
	}
}

// stopped returns the completion of a request that is unfinished when the host stops. Its
// outcome is unknown once an attempt was made.
func (f *forwarder) stopped() dispatch.Completion {
	if f.sent {
		return dispatch.Completion{Outcome: retry.Unknown, Reason: ReasonStopped}
	}
	return dispatch.Completion{Outcome: retry.NotRun, Reason: ReasonStopped, RetryAfter: admission.MinRetryAfter}
}

// hopByHopHeaders belong to one connection and are not forwarded in either direction.
var hopByHopHeaders = []string{
	fasthttp.HeaderConnection, "Keep-Alive", "Proxy-Connection", fasthttp.HeaderProxyAuthenticate,
	fasthttp.HeaderProxyAuthorization, fasthttp.HeaderTE, fasthttp.HeaderTrailer, fasthttp.HeaderUpgrade, fasthttp.HeaderExpect,
}

// newBackendRequest returns the caller's request in the form sent to a backend server.
func newBackendRequest(in *fasthttp.Request, t target) *fasthttp.Request {
	out := fasthttp.AcquireRequest()
	in.Header.CopyTo(&out.Header)
	for _, list := range in.Header.PeekAll(fasthttp.HeaderConnection) {
		for name := range strings.SplitSeq(string(list), ",") {
			if name = strings.TrimSpace(name); !isProtectedHeader(name) {
				out.Header.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		out.Header.Del(name)
	}
	out.Header.Del(fasthttp.HeaderTransferEncoding)
	out.Header.ResetConnectionClose()
	out.Header.SetNoDefaultContentType(true)
	out.Header.SetRequestURI(t.uri)
	out.SetBodyRaw(in.Body())
	return out
}

// isProtectedHeader reports whether the header stays even if the caller lists it in
// Connection.
func isProtectedHeader(name string) bool {
	for _, protected := range []string{HeaderTenant, HeaderKey, HeaderDeadline, fasthttp.HeaderHost, fasthttp.HeaderContentLength} {
		if strings.EqualFold(protected, name) {
			return true
		}
	}
	return false
}
