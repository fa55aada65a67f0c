package backend

import (
	"net"
	"sync"
	"time"
)

// answerReader reads answers from a connection and extends the deadline of one that has a Transfer with each of
// its bytes.
type answerReader struct {
	raw net.Conn
	// transfer and deadline are those of the present request. Only the goroutine of the request uses them and failed.
	transfer Transfer
	deadline time.Time
	// failed is the last error of a read.
	failed error

	mu sync.Mutex
	// isInterrupted is set once the request must end; guarded by mu.
	isInterrupted bool
}

// begin sets the deadline of a request and of the beginning of its answer.
func (r *answerReader) begin(deadline time.Time, t Transfer) error {
	r.transfer = t
	return r.setDeadline(deadline)
}

// Read reads bytes of the answer.
func (r *answerReader) Read(b []byte) (int, error) {
	n, err := r.raw.Read(b)
	if err != nil {
		r.failed = err
	}
	if n == 0 || r.transfer.Stall <= 0 {
		return n, err
	}
	if r.transfer.OnBytes != nil {
		r.transfer.OnBytes(n)
	}
	if next := r.transfer.extend(r.deadline, time.Now()); err == nil && !next.Equal(r.deadline) {
		err = r.setDeadline(next)
	}
	return n, err
}

func (r *answerReader) setDeadline(deadline time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deadline = deadline
	if r.isInterrupted {
		deadline = time.Unix(0, 0)
	}
	return r.raw.SetDeadline(deadline)
}

// interrupt lets the request fail at once.
func (r *answerReader) interrupt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isInterrupted = true
	_ = r.raw.SetDeadline(time.Unix(0, 0)) // fails only if the connection is closed
}
