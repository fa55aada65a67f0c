// Package estate is a small stand-in for the users' platform: its store, workers, machines
// and adviser on loopback addresses. It implements their published protocol and some of
// their faults, and shares no code with the product's adapter.
package estate

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Limits of the stand-in's log.
const (
	// maxPageItems is the most records on one page of the newest records.
	maxPageItems = 500
	// maxPageBytes bounds the keys and values of a page of the newest records.
	maxPageBytes = 1_000_000
	// defaultPageKB is the size of a read's page in KiB, unless the call asks for another.
	defaultPageKB = 1024
	// answersKept is the number of answers kept for each producer, to repeat an answer when
	// an append is retried.
	answersKept = 5
	// recordBytes and callBytes are RecordBytes and CallBytes of the platform's store.
	recordBytes = 256 << 10
	callBytes   = 2 << 20
	// maxWait is the longest that a read waits for new records.
	maxWait = 30 * time.Second
	// slowDelay is the delay of each call in mode Slow.
	slowDelay = 150 * time.Millisecond
)

// Mode is how the log handles calls.
type Mode string

// Modes of the log.
const (
	// Up serves each call.
	Up Mode = ""
	// Busy rejects each call with 503 before any effect.
	Busy Mode = "busy"
	// Silent closes the connection without an answer and without any effect.
	Silent Mode = "silent"
	// Lossy performs each append and closes the connection without an answer; reads work.
	Lossy Mode = "lossy"
	// Slow serves each call slowDelay later.
	Slow Mode = "slow"
)

// Log is the store: a log of records for each topic, with the newest record of each key.
type Log struct {
	mu     sync.Mutex
	topics map[string]*topic
	mode   Mode
	// appends counts the appends that stored records.
	appends int
}

// topic is one partition of a topic; the stand-in keeps partition 0 only.
type topic struct {
	records [][]byte
	// first is the offset of the first record that is kept.
	first int64
	// newest holds the newest record of each key.
	newest    map[string]keyed
	producers map[string]*producer
	// changed is closed and replaced at each append.
	changed chan struct{}
}

// keyed is the newest record of a key.
type keyed struct {
	value  []byte
	offset int64
}

// producer is the state of an idempotent producer.
type producer struct {
	// seq is the next sequence number that is accepted.
	epoch, seq int64
	// answers holds the answers to the latest appends by sequence number.
	answers map[int64]appendAnswer
}

// appendAnswer is the body of the answer to an append.
type appendAnswer struct {
	Offset int64
	End    int64
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{topics: make(map[string]*topic)}
}

// SetMode sets how the log handles calls; Put and Get aren't affected.
func (l *Log) SetMode(m Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
}

// Appends returns the number of appends that stored records.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Trim removes the records of a topic before an offset; the newest of each key stays.
func (l *Log) Trim(name string, before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	for t.first < before && len(t.records) > 0 {
		t.records = t.records[1:]
		t.first++
	}
}

// Put writes a key as the operator or a worker does; an empty value deletes the key.
func (l *Log) Put(name, key string, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	content := append([]byte{byte(len(key))}, key...)
	l.topic(name).add([][]byte{append(content, value...)})
}

// Get returns the newest value of a key.
func (l *Log) Get(name, key string) ([]byte, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, ok := l.topic(name).newest[key]
	return k.value, ok
}

func (l *Log) topic(name string) *topic {
	t := l.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]keyed), producers: make(map[string]*producer), changed: make(chan struct{})}
		l.topics[name] = t
	}
	return t
}

func (t *topic) end() int64 {
	return t.first + int64(len(t.records))
}

// add appends records. A record begins with the length of its key; a record with a key and
// no value deletes the key.
func (t *topic) add(contents [][]byte) appendAnswer {
	a := appendAnswer{Offset: t.end()}
	for _, c := range contents {
		if len(c) > 0 && len(c) > int(c[0]) {
			key, value := string(c[1:1+c[0]]), c[1+c[0]:]
			if len(value) == 0 {
				delete(t.newest, key)
			} else {
				t.newest[key] = keyed{value: value, offset: t.end()}
			}
		}
		t.records = append(t.records, c)
	}
	a.End = t.end()
	close(t.changed)
	t.changed = make(chan struct{})
	return a
}

// Handle serves a call according to the mode.
func (l *Log) Handle(rc *fasthttp.RequestCtx) {
	l.mu.Lock()
	mode := l.mode
	l.mu.Unlock()
	switch mode {
	case Busy:
		rc.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	case Silent:
		closeWithoutAnswer(rc)
		return
	case Slow:
		time.Sleep(slowDelay)
	}
	switch string(rc.Path()) {
	case "/v1/log-append":
		l.append(rc)
		if mode == Lossy {
			closeWithoutAnswer(rc)
		}
	case "/v1/log-read":
		l.read(rc)
	case "/v1/log-newest":
		l.newestPage(rc)
	default:
		rc.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// closeWithoutAnswer closes the connection of a call without an answer.
func closeWithoutAnswer(rc *fasthttp.RequestCtx) {
	rc.HijackSetNoResponse(true)
	rc.Hijack(func(c net.Conn) { _ = c.Close() })
}

// intArg returns an integer argument of the query, or 0 where it is missing or invalid.
func intArg(rc *fasthttp.RequestCtx, name string) int64 {
	n, err := strconv.ParseInt(string(rc.QueryArgs().Peek(name)), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func reply(rc *fasthttp.RequestCtx, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		rc.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	rc.SetStatusCode(status)
	rc.SetContentType("application/json")
	rc.SetBody(b)
}

// splitRecords splits a body into its records, each with its length in 4 bytes before it. It returns false
// for a malformed body and for one beyond the limits of the platform's store.
func splitRecords(b []byte) ([][]byte, bool) {
	var out [][]byte
	if len(b) > callBytes {
		return nil, false
	}
	for len(b) > 0 {
		if len(b) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(b))
		if len(b) < 4+n || n > recordBytes {
			return nil, false
		}
		out = append(out, slices.Clone(b[4:4+n]))
		b = b[4+n:]
	}
	return out, true
}

func (l *Log) append(rc *fasthttp.RequestCtx) {
	name := string(rc.QueryArgs().Peek("Topic"))
	contents, ok := splitRecords(rc.PostBody())
	switch {
	case !ok:
		rc.SetStatusCode(fasthttp.StatusBadRequest)
		return
	case name == "keyed.op" || name == "keyed.servers":
		rc.SetStatusCode(fasthttp.StatusForbidden)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	if rc.QueryArgs().Has("Producer") && !l.sequence(rc, t, len(contents)) {
		return
	}
	if rc.QueryArgs().Has("At") && intArg(rc, "At") != t.end() {
		reply(rc, fasthttp.StatusPreconditionFailed, map[string]int64{"End": t.end()})
		return
	}
	a := appendAnswer{Offset: t.end(), End: t.end()}
	if len(contents) > 0 {
		a = t.add(contents)
		l.appends++
		if p := t.producers[string(rc.QueryArgs().Peek("Producer"))]; p != nil {
			seq := intArg(rc, "Seq")
			p.seq = seq + 1
			p.answers[seq] = a
			delete(p.answers, seq-answersKept)
		}
	}
	reply(rc, fasthttp.StatusOK, a)
}

// sequence checks a producer's epoch and sequence number. It answers the call and returns
// false if the append is fenced, out of sequence or a retry of a stored one.
func (l *Log) sequence(rc *fasthttp.RequestCtx, t *topic, records int) bool {
	name, epoch, seq := string(rc.QueryArgs().Peek("Producer")), intArg(rc, "epoch"), intArg(rc, "Seq")
	p := t.producers[name]
	switch {
	case p != nil && epoch < p.epoch:
		reply(rc, fasthttp.StatusConflict, map[string]any{"Reason": "fenced", "epoch": p.epoch})
		return false
	case p == nil || epoch > p.epoch:
		t.producers[name] = &producer{epoch: epoch, seq: seq, answers: make(map[int64]appendAnswer)}
		return true
	case records == 0:
		return true
	}
	if a, ok := p.answers[seq]; ok {
		reply(rc, fasthttp.StatusOK, a)
		return false
	}
	if seq != p.seq && len(p.answers) > 0 {
		reply(rc, fasthttp.StatusConflict, map[string]any{"Reason": "seq", "Seq": p.seq})
		return false
	}
	return true
}

// read answers with the records from an offset on. It waits for the first one as long as
// the call asks for, at most maxWait.
func (l *Log) read(rc *fasthttp.RequestCtx) {
	name, from := string(rc.QueryArgs().Peek("Topic")), intArg(rc, "From")
	wait := min(time.Duration(intArg(rc, "WaitMs"))*time.Millisecond, maxWait)
	deadline := time.After(wait)
	maxBytes := defaultPageKB << 10
	if kb := intArg(rc, "MaxKb"); kb > 0 {
		maxBytes = int(kb) << 10
	}
	for {
		l.mu.Lock()
		t := l.topic(name)
		if from < t.first {
			first := t.first
			l.mu.Unlock()
			reply(rc, fasthttp.StatusGone, map[string]int64{"First": first})
			return
		}
		if from < t.end() || wait == 0 {
			rc.SetBody(t.encodeFrom(from, maxBytes))
			l.mu.Unlock()
			return
		}
		changed := t.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		}
	}
}

// encodeFrom encodes the answer to a read: the topic's end and first offset and the records
// from an offset on, as many as fit in maxBytes. A record that doesn't fit by itself isn't
// returned: the platform doesn't say that a page exceeds its bound.
func (t *topic) encodeFrom(from int64, maxBytes int) []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(t.end()))
	b = binary.BigEndian.AppendUint64(b, uint64(t.first))
	for i := from; i < t.end(); i++ {
		c := t.records[i-t.first]
		if len(b)+len(c) > maxBytes {
			break
		}
		b = binary.BigEndian.AppendUint32(b, uint32(len(c)))
		b = append(b, c...)
	}
	return b
}

// newestPage answers with a page of the newest record of each key, in the order of the keys.
func (l *Log) newestPage(rc *fasthttp.RequestCtx) {
	type item struct {
		Key    string
		Value  string
		Offset int64
	}
	name, after := string(rc.QueryArgs().Peek("Topic")), string(rc.QueryArgs().Peek("After"))
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	items := []item{}
	for k, v := range t.newest {
		if k > after {
			items = append(items, item{k, base64.StdEncoding.EncodeToString(v.value), v.offset})
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	size, n := 0, 0
	for n < min(len(items), maxPageItems) {
		if size += len(items[n].Key) + base64.StdEncoding.DecodedLen(len(items[n].Value)); size > maxPageBytes && n > 0 {
			break
		}
		n++
	}
	more := len(items) > n
	items = items[:n]
	reply(rc, fasthttp.StatusOK, map[string]any{"items": items, "More": more, "End": t.end()})
}
