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

// injectFaults brings faults about, one after the other and overlapping, until the time is
// over and all have ended.
func (s *soak) injectFaults(ctx context.Context) {
	began := time.Now()
	var wg sync.WaitGroup
	for time.Since(began) < s.cfg.Duration && ctx.Err() == nil {
		p := s.randomHost(s.rng)
		lasts := time.Duration(s.rng.Int63n(int64(maxFaultTime))) + 200*time.Millisecond
		kind := s.rng.Intn(8)
		which := s.rng.Intn(1000)
		wg.Go(func() { s.injectFault(ctx, p, kind, which, lasts) })
		clock.Sleep(ctx, time.Duration(s.rng.Int63n(int64(maxFaultGap))))
	}
	wg.Wait()
}

// injectFault brings one fault about and ends it.
func (s *soak) injectFault(ctx context.Context, p *process, kind, which int, lasts time.Duration) {
	switch kind {
	case 0, 1:
		s.reportFault(p, "killed", lasts)
		p.kill()
		clock.Sleep(ctx, lasts)
		s.restart(p)
	case 2:
		s.reportFault(p, "stopped as planned", lasts)
		p.signal(syscall.SIGTERM)
		p.wait()
		s.restart(p)
	case 3:
		s.reportFault(p, "paused", lasts)
		p.signal(syscall.SIGSTOP)
		clock.Sleep(ctx, lasts)
		p.signal(syscall.SIGCONT)
	case 4, 5:
		m := mode(1 + which%int(modeCount-1))
		s.reportFault(p, "store "+modeNames[m], lasts)
		p.proxy.setMode(m)
		clock.Sleep(ctx, lasts)
		p.proxy.setMode(forward)
	case 6:
		m := []estate.Mode{estate.Busy, estate.Silent, estate.Lossy}[which%3]
		s.reportFault(nil, "store "+string(m), lasts)
		s.estate.Log.SetMode(m)
		clock.Sleep(ctx, lasts)
		s.estate.Log.SetMode(estate.Up)
	case 7:
		s.injectWorkerFault(ctx, which, lasts)
	}
}

// injectWorkerFault lets a worker answer nothing, or crash.
func (s *soak) injectWorkerFault(ctx context.Context, which int, lasts time.Duration) {
	all := s.estate.Workers()
	if len(all) == 0 {
		return
	}
	w := all[which%len(all)]
	if which%2 == 0 {
		s.reportFault(nil, "worker crashes", 0)
		s.estate.Crash(w)
		return
	}
	s.reportFault(nil, "worker mute", lasts)
	w.SetMute(true)
	clock.Sleep(ctx, lasts)
	w.SetMute(false)
}

func (s *soak) restart(p *process) {
	// Another fault may have started it again meanwhile; it is ended first.
	p.kill()
	if err := p.start(); err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.recordViolation("an entry host didn't start again: %s", err)
	}
}

func (s *soak) reportFault(p *process, what string, lasts time.Duration) {
	who := "platform"
	if p != nil {
		who = p.callerAddress
	}
	fmt.Fprintf(s.cfg.Out, "%s %-16s %s for %s\n", time.Now().Format("15:04:05.000"), who, what, lasts.Round(time.Millisecond))
}
