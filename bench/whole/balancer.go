package whole

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/standin/deployment"
)

// probeEvery is the time between two looks at the readiness of all hosts.
const probeEvery = 50 * time.Millisecond

// ReadyHosts is a balancer that asks each entry host whether it is ready.
type ReadyHosts struct {
	http *fasthttp.Client
	mu   sync.Mutex
	// hosts are those that are asked.
	hosts []*deployment.Entry
	// ready are the callers' addresses of hosts that were ready when last asked.
	ready []string
}

// NewReadyHosts returns a balancer over the hosts; none counts as ready yet.
func NewReadyHosts(hosts []*deployment.Entry) *ReadyHosts {
	return &ReadyHosts{
		hosts: append([]*deployment.Entry(nil), hosts...),
		http:  &fasthttp.Client{MaxIdemponentCallAttempts: 1, ReadTimeout: time.Second, NoDefaultUserAgentHeader: true},
	}
}

// Add makes the balancer ask one more host.
func (b *ReadyHosts) Add(e *deployment.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = append(b.hosts, e)
}

// Pick returns the address of a ready host.
func (b *ReadyHosts) Pick(n int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return ""
	}
	return b.ready[n%len(b.ready)]
}

// Ready returns how many hosts were ready when last asked.
func (b *ReadyHosts) Ready() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.ready)
}

// Run asks until the context ends.
func (b *ReadyHosts) Run(ctx context.Context) {
	for ctx.Err() == nil {
		b.probe()
		time.Sleep(probeEvery)
	}
}

func (b *ReadyHosts) probe() {
	b.mu.Lock()
	hosts := append([]*deployment.Entry(nil), b.hosts...)
	b.mu.Unlock()
	ready := make([]string, 0, len(hosts))
	for _, e := range hosts {
		status, _, err := b.http.GetTimeout(nil, "http://"+e.Settings.OperatorAddress+"/ready", time.Second)
		if err == nil && status == fasthttp.StatusOK {
			ready = append(ready, e.Settings.CallerAddress)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}
