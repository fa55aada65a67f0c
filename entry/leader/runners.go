package leader

import "sync/atomic"

// maxIdleRunners bounds the goroutines that wait for calls.
const maxIdleRunners = 64

// runners run calls in goroutines that are used again. The stack of a new goroutine is too small for a call
// over HTTP and would be copied several times for each.
type runners struct {
	// next passes a call to an idle goroutine.
	next chan func()
	// idle counts the goroutines that wait for a call, or are about to.
	idle atomic.Int64
	// done ends idle goroutines.
	done <-chan struct{}
}

func newRunners(done <-chan struct{}) *runners {
	return &runners{next: make(chan func()), done: done}
}

// run runs a call without waiting for it.
func (r *runners) run(call func()) {
	select {
	case r.next <- call:
	default:
		go r.loop(call)
	}
}

// loop runs a call, and others while there are not too many idle goroutines.
func (r *runners) loop(call func()) {
	for {
		call()
		if r.idle.Add(1) > maxIdleRunners {
			r.idle.Add(-1)
			return
		}
		select {
		case call = <-r.next:
			r.idle.Add(-1)
		case <-r.done:
			return
		}
	}
}
