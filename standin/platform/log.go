// Package platform stands in for the platform's services over plain HTTP with
// JSON in Pascal case: log streams, the host list, workers and pools of hosts.
package platform

import (
	"encoding/json"
	"sync"
	"time"
)

// logRecord is one kept record.
type logRecord struct {
	at   time.Time
	body json.RawMessage
}

// logStream is one append-only stream. The offset of records[0] is oldest.
type logStream struct {
	oldest  int64
	records []logRecord
	// grown is closed and replaced by each append.
	grown chan struct{}
}

// Log is an append-only log of streams with limited retention.
type Log struct {
	mu      sync.Mutex
	streams map[string]*logStream
	// retention is the number of records that each stream keeps at least; 0
	// keeps all.
	retention int
	// appendsPerSecond is the largest number of append calls that are taken in
	// one second; 0 means no limit.
	appendsPerSecond int
	second           int64
	appends          int
	total            int64
}

// NewLog returns an empty log.
func NewLog(retention, appendsPerSecond int) *Log {
	return &Log{streams: make(map[string]*logStream), retention: retention, appendsPerSecond: appendsPerSecond}
}

// Appends returns the number of append calls taken so far.
func (l *Log) Appends() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// Append adds records in order and returns the offset of the first. It returns
// false when the log has taken all appends of this second.
func (l *Log) Append(now time.Time, name string, bodies []json.RawMessage) (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.admit(now) {
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
	close(s.grown)
	s.grown = make(chan struct{})
	return first, true
}

func (l *Log) admit(now time.Time) bool {
	if s := now.Unix(); s != l.second {
		l.second, l.appends = s, 0
	}
	if l.appendsPerSecond > 0 && l.appends >= l.appendsPerSecond {
		return false
	}
	l.appends++
	l.total++
	return true
}

func (l *Log) stream(name string) *logStream {
	s, ok := l.streams[name]
	if !ok {
		s = &logStream{grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// Batch is the answer to a read.
type Batch struct {
	// First is the offset of Records[0].
	First int64
	// End is the offset behind the last record of the stream.
	End int64
	// Oldest is the offset of the oldest record that is kept.
	Oldest  int64
	Records []json.RawMessage
}

// Read returns up to limit records from the offset on, and a channel that is
// closed when the stream grows.
func (l *Log) Read(name string, from int64, limit int) (Batch, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	b := Batch{First: from, End: s.oldest + int64(len(s.records)), Oldest: s.oldest, Records: []json.RawMessage{}}
	for o := max(from, s.oldest); o < b.End && len(b.Records) < limit; o++ {
		b.Records = append(b.Records, s.records[o-s.oldest].body)
	}
	return b, s.grown
}

// Forget drops all records of a stream below the offset, as retention does.
func (l *Log) Forget(name string, below int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	end := s.oldest + int64(len(s.records))
	below = min(max(below, s.oldest), end)
	s.records = append([]logRecord(nil), s.records[below-s.oldest:]...)
	s.oldest = below
}
