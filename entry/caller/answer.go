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

// statuses are those of refusals that are the caller's own fault or quota. All
// other refusals are 503.
var statuses = map[admission.Reason]int{
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

// writeEnd writes the answer of a request that no server answered.
func writeEnd(ctx *fasthttp.RequestCtx, e dispatch.Completion) {
	ctx.Response.Reset()
	status, own := statuses[e.Reason]
	switch {
	case e.Outcome == retry.Unknown:
		status = fasthttp.StatusGatewayTimeout
	case !own:
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

// cleanAnswer takes out of a server's answer what belongs to its connection or
// to this interface.
func cleanAnswer(r *fasthttp.Response) {
	for _, name := range hopHeaders {
		r.Header.Del(name)
	}
	r.Header.ResetConnectionClose()
	r.Header.Del(HeaderReason)
	r.Header.Del(HeaderKept)
	r.Header.Set(HeaderOutcome, string(retry.Answered))
}

// kind is the tenant, service and class of requests that are counted together.
type kind struct {
	tenant  inventory.TenantID
	service inventory.ServiceID
	class   inventory.ClassID
}

func (k kind) labels() []metric.Label {
	return []metric.Label{{Name: "service", Value: string(k.service)}, {Name: "tenant", Value: string(k.tenant)}, {Name: "class", Value: string(k.class)}}
}

// end is how requests ended that are counted together.
type end struct {
	outcome retry.Outcome
	reason  admission.Reason
}

// meter is the histograms and counters of one kind of requests.
type meter struct {
	total, waited, served metric.Histogram
	mu                    sync.Mutex
	ends                  map[end]metric.Counter
}

// meters has a meter for each kind of requests.
type meters struct {
	registry *metric.Registry
	byKind   sync.Map
}

func (m *meters) of(k kind) *meter {
	if v, ok := m.byKind.Load(k); ok {
		return v.(*meter)
	}
	v, _ := m.byKind.LoadOrStore(k, &meter{
		total:  m.registry.Histogram("request_microseconds", k.labels()...),
		waited: m.registry.Histogram("request_queue_microseconds", k.labels()...),
		served: m.registry.Histogram("request_server_microseconds", k.labels()...),
		ends:   make(map[end]metric.Counter),
	})
	return v.(*meter)
}

// count takes a finished request in.
func (m *meters) count(k kind, e dispatch.Completion, took time.Duration) {
	t := m.of(k)
	t.total.Observe(took)
	if e.QueueTime > 0 || e.ServerTime > 0 {
		t.waited.Observe(e.QueueTime)
		t.served.Observe(e.ServerTime)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	x := end{e.Outcome, e.Reason}
	c, ok := t.ends[x]
	if !ok {
		c = m.registry.Counter("requests", append(k.labels(),
			metric.Label{Name: "outcome", Value: string(x.outcome)}, metric.Label{Name: "reason", Value: string(x.reason)})...)
		t.ends[x] = c
	}
	c.Add(1)
}
