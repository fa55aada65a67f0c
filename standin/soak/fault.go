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

const (
	// restartTime is how long a worker is down when it restarts under its id.
	restartTime = 300 * time.Millisecond
	// maxUnregistered and maxUntilCut bound the times until the registry shows a restarted worker and
	// until it is cut off.
	maxUnregistered = 1500 * time.Millisecond
	maxUntilCut     = time.Second
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
	case 6:
		defer s.disturb(nil)()
	case 7: // no fault of a host
	default:
		defer s.disturb(p)()
	}
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
	if s.cfg.RestartWorkers && choice/2%4 > 0 {
		s.restartWorkers(ctx, workers, choice, duration)
		return
	}
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

// restartWorkers restarts every second worker under its id, and cuts the next incarnations off soon after. The
// registry may show them only after that.
func (s *soak) restartWorkers(ctx context.Context, workers []*estate.Worker, choice int, duration time.Duration) {
	unregistered := time.Duration(choice%10) * maxUnregistered / 10
	untilCut := time.Duration(choice/10%10) * maxUntilCut / 10
	s.reportFault(nil, fmt.Sprintf("workers restarted, registered after %s, cut off after %s", unregistered, untilCut), duration)
	var wg sync.WaitGroup
	defer wg.Wait()
	for i, w := range workers {
		if i%2 != choice%2 {
			continue
		}
		wg.Go(func() {
			next, err := s.estate.Restart(w, restartTime, unregistered)
			if err != nil {
				s.mu.Lock()
				s.recordViolation("restarting a worker failed: %s", err)
				s.mu.Unlock()
			}
			if err != nil || next == nil || !clock.Sleep(ctx, untilCut) {
				return
			}
			next.SetCutOff(true)
			clock.Sleep(ctx, duration)
			next.SetCutOff(false)
		})
	}
}

func (s *soak) restart(p *process) {
	if err := p.restart(); err != nil {
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
	fmt.Fprintf(s.cfg.Out, "%s %-16s %s for %s\n", time.Now().Format(timeFormat), target, description, duration.Round(time.Millisecond))
}
