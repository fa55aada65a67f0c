// Package eventlog writes structured log lines without ever blocking the task that
// logs: what can't be written in time is dropped and counted.
package eventlog

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/clock"
)

const (
	// maxQueuedLines bounds the lines that wait; at 300 bytes each, a third of a megabyte.
	maxQueuedLines = 1024
	// flushEvery is how long a line may wait for others before it is written.
	flushEvery = 50 * time.Millisecond
	// bufferBytes is written at once at most.
	bufferBytes = 16 << 10
	// maxLinesPerSecond bounds the volume of one process; more is dropped and counted.
	maxLinesPerSecond = 2000
)

// Writer hands lines to a task that writes them.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	out     io.Writer
}

// NewWriter returns a writer in front of out. Run has to be called.
func NewWriter(out io.Writer) *Writer {
	return &Writer{lines: make(chan []byte, maxQueuedLines), out: out}
}

// Write takes one line. It never blocks and never fails.
func (w *Writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns how many lines were dropped since the start.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Run writes lines until the context ends, then what is left.
func (w *Writer) Run(ctx context.Context) {
	b := bufio.NewWriterSize(w.out, bufferBytes)
	defer func() { _ = b.Flush() }()
	reported := int64(0)
	budget, second := maxLinesPerSecond, time.Now()
	put := func(line []byte) {
		if now := time.Now(); now.Sub(second) >= time.Second {
			budget, second = maxLinesPerSecond, now
		}
		if budget <= 0 {
			w.dropped.Add(1)
			return
		}
		budget--
		_, _ = b.Write(line)
	}
	for {
		select {
		case line := <-w.lines:
			put(line)
			w.drain(put)
			_ = b.Flush()
		case <-ctx.Done():
			w.drain(put)
			return
		}
		w.reportDropped(b, &reported)
		clock.Pause(ctx, flushEvery)
	}
}

// reportDropped writes how many lines were dropped, when that has changed.
func (w *Writer) reportDropped(b *bufio.Writer, reported *int64) {
	n := w.dropped.Load()
	if n == *reported {
		return
	}
	_, _ = fmt.Fprintf(b, "{\"Event\":\"log lines dropped\",\"Level\":\"warning\",\"Lines\":%d,\"Total\":%d}\n", n-*reported, n)
	*reported = n
}

// drain passes on the lines that wait.
func (w *Writer) drain(put func([]byte)) {
	for {
		select {
		case line := <-w.lines:
			put(line)
		default:
			return
		}
	}
}

// NewLogger returns a logger of JSON lines that writes to w.
func NewLogger(w io.Writer, level logrus.Level, host string) logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(level)
	l.SetFormatter(&logrus.JSONFormatter{
		TimestampFormat: "2006-01-02T15:04:05.000Z07:00",
		FieldMap:        logrus.FieldMap{logrus.FieldKeyTime: "Time", logrus.FieldKeyMsg: "Event", logrus.FieldKeyLevel: "Level"},
	})
	return l.WithField("EntryHost", host)
}
