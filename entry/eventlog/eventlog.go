// Package eventlog writes structured log lines without blocking the caller: lines that
// can't be written in time are dropped and counted, before they are formatted.
package eventlog

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/clock"
)

const (
	// maxQueuedLines bounds the queue; at 300 bytes a line it holds a third of a megabyte.
	maxQueuedLines = 1024
	// maxKeptBytes is the size up to which the memory of the queue is used again.
	maxKeptBytes = 512 << 10
	// flushInterval is the pause between writes, in which lines accumulate.
	flushInterval = 50 * time.Millisecond
	// maxWriteBytes bounds a single write to the output.
	maxWriteBytes = 16 << 10
	// maxLinesPerSecond is the rate limit of one process; lines above it are dropped and
	// counted.
	maxLinesPerSecond = 2000
	// reservedLines is the part of the queue, and reservedLinesPerSecond the part of the
	// rate, that lines about single jobs may not use. A leader under load has thousands of
	// them a second; what it says about itself must not be lost among them.
	reservedLines          = 256
	reservedLinesPerSecond = 400
)

// jobName is the name of the field that is in each line about a single job, and jobField how a line
// shows it.
const jobName = "Job"

var jobField = []byte(`"Job":`)

// Writer queues log lines, which Run writes to the output.
type Writer struct {
	out io.Writer
	// wake has Run look at the queue.
	wake chan struct{}

	mu sync.Mutex
	// The fields below are guarded by mu.
	// queue holds lines in their order, spare the memory of a queue that was written.
	queue, spare []byte
	// reserved counts the lines that are queued or were admitted and will be.
	reserved int
	// budget is the number of lines that may still be admitted in the second from windowStart.
	budget      int
	windowStart time.Time
	dropped     int64
}

// NewWriter returns a writer to out. Nothing is written until Run is called.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, wake: make(chan struct{}, 1)}
}

// Write queues a copy of one line, or drops the line if the queue is full or the rate exceeded. It
// never blocks and never fails.
func (w *Writer) Write(p []byte) (int, error) {
	if w.admit(time.Now(), bytes.Contains(p, jobField)) {
		w.enqueue(p)
	}
	return len(p), nil
}

// admit decides whether a line may be queued at a time. Each admitted line must be passed to enqueue;
// others count as dropped.
func (w *Writer) admit(now time.Time, isAboutJob bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.windowStart) >= time.Second {
		w.budget, w.windowStart = maxLinesPerSecond, now
	}
	isFull := w.reserved >= maxQueuedLines || w.budget <= 0
	if isAboutJob {
		isFull = isFull || w.reserved >= maxQueuedLines-reservedLines || w.budget <= reservedLinesPerSecond
	}
	if isFull {
		w.dropped++
		return false
	}
	w.reserved++
	w.budget--
	return true
}

// enqueue queues a copy of a line that was admitted.
func (w *Writer) enqueue(line []byte) {
	w.mu.Lock()
	w.queue = append(w.queue, line...)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Dropped returns the number of lines dropped since the writer was created.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Run writes queued lines until the context ends, then writes the lines still queued.
func (w *Writer) Run(ctx context.Context) {
	defer w.flush()
	reported := int64(0)
	for {
		select {
		case <-w.wake:
		case <-ctx.Done():
			return
		}
		w.flush()
		w.reportDropped(&reported)
		clock.Sleep(ctx, flushInterval)
	}
}

// flush writes the queued lines.
func (w *Writer) flush() {
	w.mu.Lock()
	lines := w.queue
	w.queue, w.reserved, w.spare = w.spare, 0, nil
	w.mu.Unlock()
	for rest := lines; len(rest) > 0; {
		n := min(len(rest), maxWriteBytes)
		_, _ = w.out.Write(rest[:n])
		rest = rest[n:]
	}
	if cap(lines) <= maxKeptBytes {
		w.mu.Lock()
		w.spare = lines[:0]
		w.mu.Unlock()
	}
}

// reportDropped writes a line with the number of dropped lines if it has changed since
// the last report.
func (w *Writer) reportDropped(reported *int64) {
	n := w.Dropped()
	if n == *reported {
		return
	}
	_, _ = fmt.Fprintf(w.out, "{\"Event\":\"log lines dropped\",\"Level\":\"warning\",\"Lines\":%d,\"Total\":%d}\n", n-*reported, n)
	*reported = n
}

// NewLogger returns a logger that writes JSON lines to w, each with the name of the
// entry host.
func NewLogger(w *Writer, level logrus.Level, host string) logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(admittedLines{w})
	l.SetLevel(level)
	l.SetFormatter(formatter{w})
	return l.WithField("EntryHost", host)
}

// admittedLines queues lines that the formatter has admitted; it passes over others, which are empty.
type admittedLines struct {
	w *Writer
}

// Write queues a line.
func (a admittedLines) Write(p []byte) (int, error) {
	if len(p) > 0 {
		a.w.enqueue(p)
	}
	return len(p), nil
}
