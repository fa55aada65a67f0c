package caller

import (
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/metric"
	"github.com/godwitcross/godwitcross/fleet/admission"
	"github.com/godwitcross/godwitcross/fleet/dispatch"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/retry"
)

// statusByReason maps refusals caused by the caller or its quota to their HTTP status.
// All other refusals are 503.
var statusByReason = map[admission.Reason]int{
	ReasonTenant:                fasthttp.StatusUnauthorized,
	ReasonPath:                  fasthttp.StatusNotFound,
	ReasonService:               fasthttp.StatusNotFound,
	ReasonMessage:               fasthttp.StatusBadRequest,
	ReasonDeadline:              fasthttp.StatusBadRequest,
	ReasonKey:                   fasthttp.StatusBadRequest,
	ReasonKeyOther:              fasthttp.StatusUnprocessableEntity,
	ReasonTooLarge:              fasthttp.StatusRequestEntityTooLarge,
	admission.ReasonTenantQuota: fasthttp.StatusTooManyRequests,
}

// writeFailure writes the response to a request that no backend server answered.
func writeFailure(ctx *fasthttp.RequestCtx, e dispatch.Completion) {
	ctx.Response.Reset()
	status, mapped := statusByReason[e.Reason]
	switch {
	case e.Outcome == retry.Unknown:
		status = fasthttp.StatusGatewayTimeout
	case !mapped:
		status = fasthttp.StatusServiceUnavailable
	}
	ctx.SetStatusCode(status)
	if status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests {
		after := max(e.RetryAfter, admission.MinRetryAfter)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
	ctx.Response.Header.Set(HeaderReason, string(e.Reason))
	ctx.Response.Header.Set(HeaderOutcome, string(e.Outcome))
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(string(e.Outcome) + ": " + string(e.Reason) + "\n")
}

// prepareAnswer removes hop-by-hop headers and the headers of this interface from a
// backend server's answer and sets the outcome.
func prepareAnswer(r *fasthttp.Response) {
	for _, name := range hopByHopHeaders {
		r.Header.Del(name)
	}
	r.Header.ResetConnectionClose()
	r.Header.Del(HeaderReason)
	r.Header.Del(HeaderKept)
	r.Header.Set(HeaderOutcome, string(retry.Answered))
}

// meterKey identifies the requests that share one meter.
type meterKey struct {
	tenant  inventory.TenantID
	service inventory.ServiceID
	class   inventory.ClassID
}

func (k meterKey) labels() []metric.Label {
	return []metric.Label{{Name: "service", Value: string(k.service)}, {Name: "tenant", Value: string(k.tenant)}, {Name: "class", Value: string(k.class)}}
}

// outcomeKey identifies the requests that share one counter of a meter.
type outcomeKey struct {
	outcome retry.Outcome
	reason  admission.Reason
}

// meter has the histograms and counters of the requests with one meterKey.
type meter struct {
	total, queueTime, serverTime metric.Histogram
	mu                           sync.Mutex
	outcomes                     map[outcomeKey]metric.Counter
}

// meters holds the meters by key. It is safe for concurrent use.
type meters struct {
	registry *metric.Registry
	byKey    sync.Map
}

func (m *meters) meter(k meterKey) *meter {
	if v, ok := m.byKey.Load(k); ok {
		return v.(*meter)
	}
	v, _ := m.byKey.LoadOrStore(k, &meter{
		total:      m.registry.Histogram("request_microseconds", k.labels()...),
		queueTime:  m.registry.Histogram("request_queue_microseconds", k.labels()...),
		serverTime: m.registry.Histogram("request_server_microseconds", k.labels()...),
		outcomes:   make(map[outcomeKey]metric.Counter),
	})
	return v.(*meter)
}

// record records a finished request. Queue and server time are recorded only for requests
// that have one of them.
func (m *meters) record(k meterKey, e dispatch.Completion, took time.Duration) {
	t := m.meter(k)
	t.total.Observe(took)
	if e.QueueTime > 0 || e.ServerTime > 0 {
		t.queueTime.Observe(e.QueueTime)
		t.serverTime.Observe(e.ServerTime)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	key := outcomeKey{e.Outcome, e.Reason}
	c, ok := t.outcomes[key]
	if !ok {
		c = m.registry.Counter("requests", append(k.labels(),
			metric.Label{Name: "outcome", Value: string(key.outcome)}, metric.Label{Name: "reason", Value: string(key.reason)})...)
		t.outcomes[key] = c
	}
	c.Add(1)
}
