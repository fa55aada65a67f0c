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

// forward takes one request through the decisions of the dispatcher.
type forward struct {
	s     *Server
	t     target
	id    admission.RequestID
	reply chan dispatch.Action
	// message is what goes to the backend server, answer what came back.
	message *fasthttp.Request
	answer  *fasthttp.Response
	grant   claimer.Grant
	// sent is true from the first sending on.
	sent bool
}

// run follows the dispatcher's actions until the request is finished.
func (f *forward) run(now time.Time) dispatch.Completion {
	r := dispatch.Request{
		Request: admission.Request{ID: f.id, Tenant: f.t.tenant, Class: f.t.class, Arrived: now, Deadline: f.t.deadline},
		Service: f.t.service, Idempotent: f.t.idempotent, Keyed: f.t.keyed,
	}
	if !f.s.cfg.Dispatcher.arrive(arrival{request: r, reply: f.reply}) {
		return dispatch.Completion{Outcome: retry.NotRun, Reason: ReasonBusy, RetryAfter: admission.MinRetryAfter}
	}
	for {
		select {
		case a := <-f.reply:
			if a.Kind == dispatch.ActionFinish {
				f.finish(a.End)
				return a.End
			}
			f.do(a)
		case <-f.s.cfg.Dispatcher.done:
			return f.abandoned()
		}
	}
}

// do carries an action out and tells the dispatcher how it ended.
func (f *forward) do(a dispatch.Action) {
	if a.Kind == dispatch.ActionClaim {
		ctx, cancel := context.WithDeadline(context.Background(), a.Deadline)
		defer cancel()
		f.grant = f.s.cfg.Claims.Claim(ctx, f.t.service, f.t.key)
		f.s.cfg.Dispatcher.tell(claimed{id: f.id, answer: f.grant.Verdict})
		return
	}
	f.s.cfg.Dispatcher.tell(ended{id: f.id, result: f.send(a)})
}

// send sends the request to one server.
func (f *forward) send(a dispatch.Action) dispatch.AttemptResult {
	f.sent = true
	now := time.Now()
	f.message.Header.SetHost(a.Instance.Address)
	f.message.Header.Set(HeaderDeadline, strconv.FormatInt(max(f.t.deadline.Sub(now).Milliseconds(), 0), 10))
	result, err := f.s.cfg.Pool.Do(context.Background(), backend.Request{
		Address: a.Instance.Address, Message: f.message, Answer: f.answer,
		MaxBody: int(f.t.spec.MaxBody), Deadline: a.Deadline, Fresh: a.NewConnection, Connections: a.Connections,
	}, now)
	if err != nil {
		f.s.cfg.Log.WithError(err).WithField("Instance", a.Instance.ID).Debug("sending to a backend server failed")
	}
	return result
}

func (f *forward) finish(e dispatch.Completion) {
	if e.ReleaseClaim {
		f.s.cfg.Claims.Release(f.t.service, f.t.key, f.grant)
	}
}

// abandoned returns what can be said when the host stopped under the request.
func (f *forward) abandoned() dispatch.Completion {
	if f.sent {
		return dispatch.Completion{Outcome: retry.Unknown, Reason: ReasonStopped}
	}
	return dispatch.Completion{Outcome: retry.NotRun, Reason: ReasonStopped, RetryAfter: admission.MinRetryAfter}
}

// hopHeaders belong to one connection and are not passed on, in either direction.
var hopHeaders = []string{
	fasthttp.HeaderConnection, "Keep-Alive", "Proxy-Connection", fasthttp.HeaderProxyAuthenticate,
	fasthttp.HeaderProxyAuthorization, fasthttp.HeaderTE, fasthttp.HeaderTrailer, fasthttp.HeaderUpgrade, fasthttp.HeaderExpect,
}

// newMessage returns the request as it goes to a backend server.
func newMessage(in *fasthttp.Request, t target) *fasthttp.Request {
	out := fasthttp.AcquireRequest()
	in.Header.CopyTo(&out.Header)
	for _, list := range in.Header.PeekAll(fasthttp.HeaderConnection) {
		for name := range strings.SplitSeq(string(list), ",") {
			if name = strings.TrimSpace(name); !isOwnHeader(name) {
				out.Header.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		out.Header.Del(name)
	}
	out.Header.Del(fasthttp.HeaderTransferEncoding)
	out.Header.ResetConnectionClose()
	out.Header.SetNoDefaultContentType(true)
	out.Header.SetRequestURI(t.uri)
	out.SetBodyRaw(in.Body())
	return out
}

// isOwnHeader reports whether a caller may not have the header taken away by
// naming it in Connection.
func isOwnHeader(name string) bool {
	for _, own := range []string{HeaderTenant, HeaderKey, HeaderDeadline, fasthttp.HeaderHost, fasthttp.HeaderContentLength} {
		if strings.EqualFold(own, name) {
			return true
		}
	}
	return false
}
