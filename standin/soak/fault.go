package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/godwitcross/godwitcross/entry/clock"
	"github.com/godwitcross/godwitcross/standin/estate"
)

// injectFaults injects random faults, which may overlap, for the configured duration, and
// waits until all have ended.
func (s *soak) injectFaults(ctx context.Context) {
	start := time.Now()
	var wg sync.WaitGroup
	for time.Since(start) < s.cfg.Duration && ctx.Err() == nil {
		p := s.randomHost(s.rng)
		duration := time.Duration(s.rng.Int63n(int64(maxFaultTime))) + 200*time.Millisecond
		kind := s.rng.Intn(8)
		choice := s.rng.Intn(1000)
		wg.Go(func() { s.injectFault(ctx, p, kind, choice, duration) })
		clock.Sleep(ctx, time.Duration(s.rng.Int63n(int64(maxFaultGap))))
	}
	wg.Wait()
}

// injectFault injects one fault and ends it after the duration. The choice selects among the
// variants of a kind.
func (s *soak) injectFault(ctx context.Context, p *process, kind, choice int, duration time.Duration) {
	switch kind {
	case 0, 1:
		s.reportFault(p, "killed", duration)
		p.kill()
		clock.Sleep(ctx, duration)
		s.restart(p)
	case 2:
		s.reportFault(p, "shut down with SIGTERM", duration)
		p.signal(syscall.SIGTERM)
		p.wait()
		s.restart(p)
	case 3:
		s.reportFault(p, "paused", duration)
		p.signal(syscall.SIGSTOP)
		clock.Sleep(ctx, duration)
		p.signal(syscall.SIGCONT)
	case 4, 5:
		m := mode(1 + choice%int(modeCount-1))
		s.reportFault(p, "store "+modeNames[m], duration)
		p.proxy.setMode(m)
		clock.Sleep(ctx, duration)
		p.proxy.setMode(forward)
	case 6:
		m := []estate.Mode{estate.Busy, estate.Silent, estate.Lossy, estate.Slow}[choice%4]
		s.reportFault(nil, "store "+string(m), duration)
		s.estate.Log.SetMode(m)
		clock.Sleep(ctx, duration)
		s.estate.Log.SetMode(estate.Up)
	case 7:
		s.injectWorkerFault(ctx, choice, duration)
	}
}

// injectWorkerFault crashes a worker, or makes it unresponsive for the duration.
func (s *soak) injectWorkerFault(ctx context.Context, choice int, duration time.Duration) {
	workers := s.estate.Workers()
	if len(workers) == 0 {
		return
	}
	w := workers[choice%len(workers)]
	if choice%2 == 0 {
		s.reportFault(nil, "worker crashed", 0)
		s.estate.Crash(w)
		return
	}
	s.reportFault(nil, "worker unresponsive", duration)
	w.SetUnresponsive(true)
	clock.Sleep(ctx, duration)
	w.SetUnresponsive(false)
}

func (s *soak) restart(p *process) {
	// An overlapping fault may have restarted the process; it is killed first.
	p.kill()
	if err := p.start(); err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.recordViolation("restarting an entry host failed: %s", err)
	}
}

func (s *soak) reportFault(p *process, description string, duration time.Duration) {
	target := "platform"
	if p != nil {
		target = p.callerAddress
	}
	fmt.Fprintf(s.cfg.Out, "%s %-16s %s for %s\n", time.Now().Format("15:04:05.000"), target, description, duration.Round(time.Millisecond))
}
