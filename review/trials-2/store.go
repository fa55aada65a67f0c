package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as the platform's settings name them.
const (
	recordBytes   = 262_144
	callBytes     = 2_097_152
	writesPerS    = 600
	readsPerS     = 2000
	appendTime    = 2 * time.Millisecond
	keepTime      = 20 * time.Second
	answersKept   = 5
	slowTime      = 240 * time.Millisecond
	maxPageItems  = 500
	defaultPageKB = 1024
)

// logStore is the platform's store: partition 0 of each topic.
type logStore struct {
	rec *recorder

	mu     sync.Mutex
	topics map[string]*topic
	// second, writes and reads count the calls of the present second.
	second        int64
	writes, reads int
	// lastConditional is the body of the last append that was stored under a condition.
	lastConditional []byte
	// mode is how calls are handled: "" serves them, "down" resets, "busy" answers 503, "lost" stores appends and gives no
	// answer, "slow" adds slowTime.
	mode string
	// refused counts the appends that were rejected for their size.
	refused int
}

type topic struct {
	// appending serializes the appends.
	appending sync.Mutex
	records   [][]byte
	times     []time.Time
	first     int64
	newest    map[string]keyedRecord
	producers map[string]*producer
	changed   chan struct{}
}

type keyedRecord struct {
	value  []byte
	offset int64
}

type producer struct {
	epoch, next int64
	hasNext     bool
	answers     map[int64]map[string]any
}

func newLogStore(rec *recorder) *logStore {
	return &logStore{rec: rec, topics: make(map[string]*topic)}
}

func (l *logStore) topic(name string) *topic {
	t := l.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]keyedRecord), producers: make(map[string]*producer), changed: make(chan struct{})}
		l.topics[name] = t
	}
	return t
}

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

func (t *topic) add(contents [][]byte) {
	for _, c := range contents {
		if len(c) > 0 && len(c) >= 1+int(c[0]) {
			key, value := string(c[1:1+int(c[0])]), c[1+int(c[0]):]
			if len(value) == 0 {
				delete(t.newest, key)
			} else {
				t.newest[key] = keyedRecord{value, t.end()}
			}
		}
		t.records = append(t.records, c)
		t.times = append(t.times, time.Now())
	}
	for len(t.times) > 0 && time.Since(t.times[0]) > keepTime {
		t.records, t.times = t.records[1:], t.times[1:]
		t.first++
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// put writes a key as the operator or a minion does; an empty value deletes it.
func (l *logStore) put(name, key string, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	content := append([]byte{byte(len(key))}, key...)
	l.topic(name).add([][]byte{append(content, value...)})
}

func (l *logStore) setMode(mode string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = mode
}

// isOverRate counts a call and reports whether it is beyond the rate limit; mu is held.
func (l *logStore) isOverRate(isWrite bool) bool {
	if s := time.Now().Unix(); s != l.second {
		l.second, l.writes, l.reads = s, 0, 0
	}
	if isWrite {
		l.writes++
		return l.writes > writesPerS
	}
	l.reads++
	return l.reads > readsPerS
}

func (l *logStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	isWrite := r.URL.Path == "/v1/log-append"
	l.mu.Lock()
	over, mode := l.isOverRate(isWrite), l.mode
	l.mu.Unlock()
	switch {
	case mode == "down":
		panic(http.ErrAbortHandler)
	case mode == "busy":
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case mode == "slow":
		time.Sleep(slowTime)
	case mode == "lost" && isWrite && rand.Intn(3) == 0:
		l.append(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}
	if over {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	switch r.URL.Path {
	case "/v1/log-append":
		l.append(w, r)
	case "/v1/log-read":
		l.read(w, r)
	case "/v1/log-newest":
		l.newestPage(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func intArg(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

func (l *logStore) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	name := r.URL.Query().Get("Topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var contents [][]byte
	total, largest := len(body), 0
	for b := body; len(b) > 0; {
		if len(b) < 4 || len(b) < 4+int(binary.BigEndian.Uint32(b)) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n := int(binary.BigEndian.Uint32(b))
		contents = append(contents, slices.Clone(b[4:4+n]))
		largest = max(largest, n)
		b = b[4+n:]
	}
	if largest > recordBytes || total > callBytes {
		l.mu.Lock()
		l.refused++
		l.mu.Unlock()
		l.rec.log("store: append to %s refused with 400: largest record %d bytes (RecordBytes %d), call %d bytes (CallBytes %d)",
			name, largest, recordBytes, total, callBytes)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	t := l.topic(name)
	l.mu.Unlock()
	t.appending.Lock()
	time.Sleep(appendTime)
	status, answer := l.store(t, r, contents, body)
	t.appending.Unlock()
	reply(w, status, answer)
}

// store carries out an append and returns its answer.
func (l *logStore) store(t *topic, r *http.Request, contents [][]byte, body []byte) (int, map[string]any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := r.URL.Query()
	var p *producer
	seq := intArg(r, "Seq")
	if q.Has("Producer") {
		name, epoch := q.Get("Producer"), intArg(r, "epoch")
		p = t.producers[name]
		switch {
		case p != nil && epoch < p.epoch:
			return http.StatusConflict, map[string]any{"Reason": "fenced"}
		case p == nil || epoch > p.epoch:
			p = &producer{epoch: epoch, answers: make(map[int64]map[string]any)}
			t.producers[name] = p
		}
		if len(contents) > 0 {
			if a, ok := p.answers[seq]; ok {
				return http.StatusOK, a
			}
			if p.hasNext && seq != p.next {
				return http.StatusConflict, map[string]any{"Reason": "seq", "Seq": p.next}
			}
		}
	}
	if q.Has("At") && intArg(r, "At") != t.end() {
		return http.StatusPreconditionFailed, map[string]any{"End": t.end()}
	}
	a := map[string]any{"Offset": t.end(), "End": t.end() + int64(len(contents))}
	if len(contents) == 0 {
		return http.StatusOK, a
	}
	if q.Has("At") {
		l.lastConditional = body
	}
	t.add(contents)
	if p != nil {
		p.next, p.hasNext = seq+1, true
		p.answers[seq] = a
		delete(p.answers, seq-answersKept)
	}
	return http.StatusOK, a
}

func (l *logStore) read(w http.ResponseWriter, r *http.Request) {
	name, from := r.URL.Query().Get("Topic"), intArg(r, "From")
	wait := min(time.Duration(intArg(r, "WaitMs"))*time.Millisecond, 30*time.Second)
	deadline := time.After(wait)
	maxBytes := defaultPageKB << 10
	if kb := intArg(r, "MaxKb"); kb > 0 {
		maxBytes = int(kb) << 10
	}
	for isLast := wait == 0; ; {
		l.mu.Lock()
		t := l.topic(name)
		if from < t.first {
			first := t.first
			l.mu.Unlock()
			reply(w, http.StatusGone, map[string]int64{"First": first})
			return
		}
		if from < t.end() || isLast {
			b := binary.BigEndian.AppendUint64(nil, uint64(t.end()))
			b = binary.BigEndian.AppendUint64(b, uint64(t.first))
			for i := from; i < t.end(); i++ {
				c := t.records[i-t.first]
				if i > from && len(b)+4+len(c) > maxBytes {
					break
				}
				b = binary.BigEndian.AppendUint32(b, uint32(len(c)))
				b = append(b, c...)
			}
			l.mu.Unlock()
			w.Header().Set("Content-Length", strconv.Itoa(len(b)))
			_, _ = w.Write(b)
			return
		}
		changed := t.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			isLast = true
		case <-r.Context().Done():
			return
		}
	}
}

func (l *logStore) newestPage(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string
		Value  string
		Offset int64
	}
	name, after := r.URL.Query().Get("Topic"), r.URL.Query().Get("After")
	l.mu.Lock()
	t := l.topic(name)
	items := []item{}
	for k, v := range t.newest {
		if k > after {
			items = append(items, item{k, base64.StdEncoding.EncodeToString(v.value), v.offset})
		}
	}
	end := t.end()
	l.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	size, n := 0, 0
	for n < len(items) && n < maxPageItems && (n == 0 || size+len(items[n].Value) <= 1<<20) {
		size += len(items[n].Value)
		n++
	}
	reply(w, http.StatusOK, map[string]any{"items": items[:n], "More": n < len(items), "End": end})
}

// leaderName returns which of the names is in the last record that was stored under a condition.
func (l *logStore) leaderName(names []string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range names {
		if strings.Contains(string(l.lastConditional), `"`+n+`"`) {
			return n
		}
	}
	return ""
}
