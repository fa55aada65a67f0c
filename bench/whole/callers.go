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

// Behaviour of callers.
const (
	// maxAttempts bounds how often a caller sends one request.
	maxAttempts = 3
	// attemptTimeout bounds one attempt.
	attemptTimeout = 8 * time.Second
	// answerSize is the size of each answer, in bytes.
	answerSize = 4096
	// workMilliseconds is the service time of each request.
	workMilliseconds = 40
	// idempotentShare is the share of requests that are idempotent.
	idempotentShare = 0.3
	// maxOutstanding bounds requests on their way at once.
	maxOutstanding = 4000
)

// traffic is one kind of request.
type traffic struct {
	tenant  inventory.TenantID
	service inventory.ServiceID
}

// Balancer names the entry hosts that are ready, as the platform's balancer
// knows them: late.
type Balancer interface {
	// Pick returns the callers' address of a ready host, or an empty text. The
	// number spreads requests.
	Pick(n int) string
}

// Callers send requests and note what they see.
type Callers struct {
	balancer Balancer
	traffic  []traffic
	http     *fasthttp.Client
	random   *rand.Rand
	mu       sync.Mutex
	done     []Request
	// dropped counts requests that were never sent because too many were on
	// their way.
	dropped int
	slots   chan struct{}
	pending sync.WaitGroup
}

// NewCallers returns callers that have sent nothing.
func NewCallers(b Balancer, seed uint64, t []traffic) *Callers {
	return &Callers{
		balancer: b, traffic: t,
		random: rand.New(rand.NewPCG(seed, 0)),
		slots:  make(chan struct{}, maxOutstanding),
		http: &fasthttp.Client{
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			MaxConnsPerHost:           maxOutstanding,
			NoDefaultUserAgentHeader:  true,
		},
	}
}

// Send sends the n-th request without waiting for its end.
func (c *Callers) Send(n int) {
	t := c.traffic[c.random.IntN(len(c.traffic))]
	r := Request{Key: fmt.Sprintf("request-%d", n), Idempotent: c.random.Float64() < idempotentShare}
	select {
	case c.slots <- struct{}{}:
	default:
		c.dropped++
		return
	}
	c.pending.Add(1)
	go func() {
		defer c.pending.Done()
		defer func() { <-c.slots }()
		c.run(n, t, &r)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.done = append(c.done, r)
	}()
}

// run sends a request until it is answered, is unknown for good, or has had its
// attempts. A repeat goes through another entry host under the same key.
func (c *Callers) run(n int, t traffic, r *Request) {
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

// attempt sends the request once and returns how long the caller was told to wait.
func (c *Callers) attempt(address string, t traffic, r *Request) (Attempt, time.Duration) {
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
	req.Header.Set(backend.HeaderWork, strconv.Itoa(workMilliseconds))
	req.Header.Set(backend.HeaderSize, strconv.Itoa(answerSize))
	if err := c.http.DoTimeout(req, resp, attemptTimeout); err != nil {
		return Attempt{}, 0
	}
	a := Attempt{Outcome: retry.Outcome(resp.Header.Peek(caller.HeaderOutcome)), Status: resp.StatusCode()}
	a.Whole = len(resp.Body()) == answerSize
	a.Own = string(resp.Body()) == backend.Body(r.Key, answerSize)
	return a, retryAfter(resp)
}

// retryAfter returns what the answer says, at most a second, so that a run ends.
func retryAfter(resp *fasthttp.Response) time.Duration {
	text := strings.TrimSpace(string(resp.Header.Peek(fasthttp.HeaderRetryAfter)))
	s, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return min(time.Duration(s)*time.Second, time.Second)
}

// Wait returns all requests once the last has ended.
func (c *Callers) Wait() ([]Request, int) {
	c.pending.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.done, c.dropped
}
