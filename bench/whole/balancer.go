package whole

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/standin/deployment"
)

// probeInterval is the time between two readiness probes of all hosts.
const probeInterval = 50 * time.Millisecond

// ReadyBalancer is a balancer that probes the readiness of each entry host.
type ReadyBalancer struct {
	http *fasthttp.Client
	mu   sync.Mutex
	// hosts are the probed hosts.
	hosts []*deployment.Entry
	// ready are the caller addresses of the hosts that were ready at the last probe.
	ready []string
}

// NewReadyBalancer returns a balancer over the hosts; none of them is ready until the
// first probe.
func NewReadyBalancer(hosts []*deployment.Entry) *ReadyBalancer {
	return &ReadyBalancer{
		hosts: append([]*deployment.Entry(nil), hosts...),
		http:  &fasthttp.Client{MaxIdemponentCallAttempts: 1, ReadTimeout: time.Second, NoDefaultUserAgentHeader: true},
	}
}

// Add adds a host to be probed.
func (b *ReadyBalancer) Add(e *deployment.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = append(b.hosts, e)
}

// Pick returns the address of a ready host, or an empty string if there is none.
func (b *ReadyBalancer) Pick(n int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return ""
	}
	return b.ready[n%len(b.ready)]
}

// Ready returns the number of hosts that were ready at the last probe.
func (b *ReadyBalancer) Ready() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.ready)
}

// Run probes the hosts until the context ends.
func (b *ReadyBalancer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		b.probe()
		time.Sleep(probeInterval)
	}
}

func (b *ReadyBalancer) probe() {
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
