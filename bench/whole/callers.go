package whole

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/caller"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/retry"
	"github.com/godwitcross/godwitcross/standin/backend"
)

// Parameters of the callers.
const (
	// maxAttempts bounds the attempts of a request.
	maxAttempts = 3
	// attemptTimeout bounds one attempt.
	attemptTimeout = 8 * time.Second
	// answerSize is the size of each answer in bytes.
	answerSize = 4096
	// serviceMilliseconds is the service time of each request.
	serviceMilliseconds = 40
	// idempotentShare is the share of requests that are idempotent.
	idempotentShare = 0.3
	// maxInFlight bounds the concurrent requests.
	maxInFlight = 4000
)

// trafficType is a tenant and the service that it calls.
type trafficType struct {
	tenant  inventory.TenantID
	service inventory.ServiceID
}

// Balancer selects ready entry hosts. Like the platform's balancer, it learns of
// changes with a delay.
type Balancer interface {
	// Pick returns the caller address of a ready host, or an empty string if there is
	// none. The number n spreads the requests over the hosts.
	Pick(n int) string
}

// Callers send requests and record the outcomes.
type Callers struct {
	balancer     Balancer
	trafficTypes []trafficType
	http         *fasthttp.Client
	random       *rand.Rand
	mu           sync.Mutex
	completed    []Request
	// dropped counts requests that were not sent because maxInFlight was reached.
	dropped  int
	inFlight chan struct{}
	pending  sync.WaitGroup
}

// NewCallers returns callers that choose among the given traffic types at random.
func NewCallers(b Balancer, seed uint64, t []trafficType) *Callers {
	return &Callers{
		balancer: b, trafficTypes: t,
		random:   rand.New(rand.NewPCG(seed, 0)),
		inFlight: make(chan struct{}, maxInFlight),
		http: &fasthttp.Client{
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			MaxConnsPerHost:           maxInFlight,
			NoDefaultUserAgentHeader:  true,
		},
	}
}

// Send sends the n-th request without waiting for its completion.
func (c *Callers) Send(n int) {
	t := c.trafficTypes[c.random.IntN(len(c.trafficTypes))]
	r := Request{Key: fmt.Sprintf("request-%d", n), Idempotent: c.random.Float64() < idempotentShare}
	select {
	case c.inFlight <- struct{}{}:
	default:
		c.dropped++
		return
	}
	c.pending.Add(1)
	go func() {
		defer c.pending.Done()
		defer func() { <-c.inFlight }()
		c.run(n, t, &r)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.completed = append(c.completed, r)
	}()
}

// run sends a request until it is answered, is rejected with a permanent error or has
// used up its attempts. Each retry goes through another entry host with the same
// idempotency key.
func (c *Callers) run(n int, t trafficType, r *Request) {
	for try := range maxAttempts {
		address := c.balancer.Pick(n + try)
		if address == "" {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		a, wait := c.attempt(address, t, r)
		r.Attempts = append(r.Attempts, a)
		if a.Outcome == retry.Answered || a.Status/100 == 4 && a.Status != fasthttp.StatusTooManyRequests {
			return
		}
		time.Sleep(wait)
	}
	if len(r.Attempts) == 0 {
		r.Attempts = append(r.Attempts, Attempt{})
	}
}

// attempt sends the request once and returns the retry delay from the response.
func (c *Callers) attempt(address string, t trafficType, r *Request) (Attempt, time.Duration) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	if r.Idempotent {
		req.Header.SetMethod(fasthttp.MethodGet)
	}
	req.SetRequestURI("http://" + address + "/services/" + string(t.service) + "/whole")
	req.Header.Set(caller.HeaderTenant, string(t.tenant))
	req.Header.Set(backend.HeaderKey, r.Key)
	req.Header.Set(backend.HeaderWork, strconv.Itoa(serviceMilliseconds))
	req.Header.Set(backend.HeaderSize, strconv.Itoa(answerSize))
	if err := c.http.DoTimeout(req, resp, attemptTimeout); err != nil {
		return Attempt{}, 0
	}
	a := Attempt{Outcome: retry.Outcome(resp.Header.Peek(caller.HeaderOutcome)), Status: resp.StatusCode()}
	a.Complete = len(resp.Body()) == answerSize
	a.MatchesRequest = string(resp.Body()) == backend.Body(r.Key, answerSize)
	return a, retryAfter(resp)
}

// retryAfter returns the Retry-After delay of the response, limited to a second so that
// a run ends in time.
func retryAfter(resp *fasthttp.Response) time.Duration {
	text := strings.TrimSpace(string(resp.Header.Peek(fasthttp.HeaderRetryAfter)))
	s, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return min(time.Duration(s)*time.Second, time.Second)
}

// Wait waits for all requests and returns them with the number of dropped requests.
func (c *Callers) Wait() ([]Request, int) {
	c.pending.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.completed, c.dropped
}
