// Package platform simulates the platform's services for the product's own path over plain
// HTTP with JSON in Pascal case: log streams, the host list, workers and pools of hosts.
package platform

import (
	"encoding/json"
	"sync"
	"time"
)

// logRecord is a record of a stream and the time of its append.
type logRecord struct {
	at   time.Time
	body json.RawMessage
}

// logStream is an append-only stream.
type logStream struct {
	// oldest is the offset of records[0].
	oldest  int64
	records []logRecord
	// appended is closed and replaced by each append.
	appended chan struct{}
}

// Log is a set of append-only streams with limited retention. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	streams map[string]*logStream
	// retention is the number of records that each stream keeps; 0 keeps all.
	retention int
	// appendsPerSecond is the maximum number of append calls in one second; 0 means no
	// limit.
	appendsPerSecond int
	// appendsInSecond is the number of append calls in currentSecond, in Unix time.
	currentSecond   int64
	appendsInSecond int
	totalAppends    int64
}

// NewLog returns an empty log.
func NewLog(retention, appendsPerSecond int) *Log {
	return &Log{streams: make(map[string]*logStream), retention: retention, appendsPerSecond: appendsPerSecond}
}

// Appends returns the number of append calls accepted so far.
func (l *Log) Appends() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totalAppends
}

// Append adds records in order and returns the offset of the first. It returns false if the
// limit of append calls in this second is reached.
func (l *Log) Append(now time.Time, name string, bodies []json.RawMessage) (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.allowAppend(now) {
		return 0, false
	}
	s := l.stream(name)
	first := s.oldest + int64(len(s.records))
	for _, b := range bodies {
		s.records = append(s.records, logRecord{at: now, body: append(json.RawMessage(nil), b...)})
	}
	if drop := len(s.records) - l.retention; l.retention > 0 && drop > 0 {
		s.records = append([]logRecord(nil), s.records[drop:]...)
		s.oldest += int64(drop)
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return first, true
}

// allowAppend reports whether another append call is allowed in this second, and counts it.
func (l *Log) allowAppend(now time.Time) bool {
	if s := now.Unix(); s != l.currentSecond {
		l.currentSecond, l.appendsInSecond = s, 0
	}
	if l.appendsPerSecond > 0 && l.appendsInSecond >= l.appendsPerSecond {
		return false
	}
	l.appendsInSecond++
	l.totalAppends++
	return true
}

// stream returns the stream of the name and creates it if it doesn't exist.
func (l *Log) stream(name string) *logStream {
	s, ok := l.streams[name]
	if !ok {
		s = &logStream{appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// Batch is the result of a read.
type Batch struct {
	// First is the offset of Records[0].
	First int64
	// End is the offset after the last record of the stream.
	End int64
	// Oldest is the offset of the oldest retained record.
	Oldest  int64
	Records []json.RawMessage
}

// Read returns up to limit records from the offset on, and a channel that is closed at the
// next append to the stream.
func (l *Log) Read(name string, from int64, limit int) (Batch, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	b := Batch{First: from, End: s.oldest + int64(len(s.records)), Oldest: s.oldest, Records: []json.RawMessage{}}
	for offset := max(from, s.oldest); offset < b.End && len(b.Records) < limit; offset++ {
		b.Records = append(b.Records, s.records[offset-s.oldest].body)
	}
	return b, s.appended
}

// Truncate deletes all records of a stream below the offset, as retention does.
func (l *Log) Truncate(name string, below int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	end := s.oldest + int64(len(s.records))
	below = min(max(below, s.oldest), end)
	s.records = append([]logRecord(nil), s.records[below-s.oldest:]...)
	s.oldest = below
}
