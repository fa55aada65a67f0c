package estate

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// An order that gets no answer is carried out minOrderDelay to maxOrderDelay after it was received.
	minOrderDelay = 2 * time.Second
	maxOrderDelay = 12 * time.Second
)

// lateOrders delays a share of the orders to all workers; guarded by the estate's mu.
type lateOrders struct {
	share float64
	// rng is nil while no order is delayed.
	rng *rand.Rand
	// pending counts the orders that are still delayed.
	pending int
	counts  LateOrderCounts
}

// LateOrderCounts counts the orders that got no answer and were accepted late.
type LateOrderCounts struct {
	// Accepted is the number of all of them, ByLater of those that a later incarnation accepted.
	Accepted, ByLater int
}

// DelayOrders makes the workers leave a share of their orders unanswered from now on, and carry them out 2 to
// 12 s later, after newer ones. An order names only the worker's id: if the worker has restarted by then, its
// next incarnation carries the order out, by its own clock, fencing token and runs. An order is lost if its worker is down
// at that time. A share of 0 ends it; orders that are delayed already are still carried out.
func (e *Estate) DelayOrders(share float64, rng *rand.Rand) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.late.share, e.late.rng = share, rng
}

// PendingOrders returns the number of orders that are to be carried out late.
func (e *Estate) PendingOrders() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.late.pending
}

// LateOrders returns the numbers of orders that were accepted late.
func (e *Estate) LateOrders() LateOrderCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.late.counts
}

// drawDelay returns the delay of an order, or reports false if it is carried out at once.
func (e *Estate) drawDelay() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.late.rng == nil || e.late.rng.Float64() >= e.late.share {
		return 0, false
	}
	e.late.pending++
	return minOrderDelay + time.Duration(e.late.rng.Int63n(int64(maxOrderDelay-minOrderDelay))), true
}

// delayOrder has an order to a worker carried out after the delay.
func (e *Estate) delayOrder(w *Worker, path string, req request, delay time.Duration) {
	receivedAt := time.Now()
	e.logEvent("%s received %s and delays it by %s", w.incarnation(), describe(path, req), delay.Round(time.Millisecond))
	time.AfterFunc(delay, func() {
		e.mu.Lock()
		current := e.workers[w.id]
		e.mu.Unlock()
		outcome, isAccepted := "lost, the worker has ended", false
		if current != nil {
			outcome, isAccepted = current.performLate(path, req)
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.late.pending--
		if isAccepted {
			e.late.counts.Accepted++
		}
		if isAccepted && current != w {
			e.late.counts.ByLater++
		}
		e.logEvent("%s received %s at %s: %s", w.incarnation(), describe(path, req), receivedAt.Format(eventTime), outcome)
	})
}

// performLate carries out an order and returns what came of it, and whether it was accepted.
func (w *Worker) performLate(path string, req request) (outcome string, isAccepted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isStopped {
		return "lost, the worker is down", false
	}
	reason, _ := w.perform(path, req)
	if reason != "" {
		return "rejected by " + w.incarnation() + ": " + reason, false
	}
	return "carried out by " + w.incarnation(), true
}

// describe describes an order in the log of events.
func describe(path string, req request) string {
	if path == pathHold {
		return fmt.Sprintf("%s token %d deadline %d acknowledging %d", path, req.FencingToken, req.DeadlineMs, req.SeenUpto)
	}
	return fmt.Sprintf("%s %s run %d token %d deadline %d", path, req.Task, req.Run, req.FencingToken, req.DeadlineMs)
}

// stayWithoutAnswer leaves a call without an answer until the caller closes the connection.
func stayWithoutAnswer(rc *fasthttp.RequestCtx) {
	rc.HijackSetNoResponse(true)
	rc.Hijack(func(c net.Conn) {
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	})
}
