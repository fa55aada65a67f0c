// Package eventlog writes structured log lines without blocking the caller: lines that
// can't be written in time are dropped and counted.
package eventlog

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/clock"
)

const (
	// maxQueuedLines bounds the queue; at 300 bytes a line it holds a third of a megabyte.
	maxQueuedLines = 1024
	// flushInterval is the pause between writes, in which lines accumulate.
	flushInterval = 50 * time.Millisecond
	// bufferSize is the size of the output buffer in bytes, which bounds a single write.
	bufferSize = 16 << 10
	// maxLinesPerSecond is the rate limit of one process; lines above it are dropped and
	// counted.
	maxLinesPerSecond = 2000
	// reservedLines is the part of the queue, and reservedLinesPerSecond the part of the
	// rate, that lines about single jobs may not use. A leader under load has thousands of
	// them a second; what it says about itself must not be lost among them.
	reservedLines          = 256
	reservedLinesPerSecond = 400
)

// jobField is in each line about a single job.
var jobField = []byte(`"Job":`)

// Writer queues log lines, which Run writes to the output.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	out     io.Writer
}

// NewWriter returns a writer to out. Nothing is written until Run is called.
func NewWriter(out io.Writer) *Writer {
	return &Writer{lines: make(chan []byte, maxQueuedLines), out: out}
}

// Write queues a copy of one line, or drops the line if the queue is full. It never
// blocks and never fails.
func (w *Writer) Write(p []byte) (int, error) {
	if len(w.lines) >= maxQueuedLines-reservedLines && bytes.Contains(p, jobField) {
		w.dropped.Add(1)
		return len(p), nil
	}
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped since the writer was created.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Run writes queued lines until the context ends, then writes the lines still queued.
func (w *Writer) Run(ctx context.Context) {
	b := bufio.NewWriterSize(w.out, bufferSize)
	defer func() { _ = b.Flush() }()
	reported := int64(0)
	budget, windowStart := maxLinesPerSecond, time.Now()
	write := func(line []byte) {
		if now := time.Now(); now.Sub(windowStart) >= time.Second {
			budget, windowStart = maxLinesPerSecond, now
		}
		if budget <= 0 || budget <= reservedLinesPerSecond && bytes.Contains(line, jobField) {
			w.dropped.Add(1)
			return
		}
		budget--
		_, _ = b.Write(line)
	}
	for {
		select {
		case line := <-w.lines:
			write(line)
			w.drain(write)
			_ = b.Flush()
		case <-ctx.Done():
			w.drain(write)
			return
		}
		w.reportDropped(b, &reported)
		clock.Sleep(ctx, flushInterval)
	}
}

// reportDropped writes a line with the number of dropped lines if it has changed since
// the last report.
func (w *Writer) reportDropped(b *bufio.Writer, reported *int64) {
	n := w.dropped.Load()
	if n == *reported {
		return
	}
	_, _ = fmt.Fprintf(b, "{\"Event\":\"log lines dropped\",\"Level\":\"warning\",\"Lines\":%d,\"Total\":%d}\n", n-*reported, n)
	*reported = n
}

// drain passes all queued lines to write.
func (w *Writer) drain(write func([]byte)) {
	for {
		select {
		case line := <-w.lines:
			write(line)
		default:
			return
		}
	}
}

// NewLogger returns a logger that writes JSON lines to w, each with the name of the
// entry host.
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
