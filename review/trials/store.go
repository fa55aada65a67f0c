package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, as in the settings of a small deployment.
const (
	recordBytes   = 262144
	callBytes     = 2097152
	appendTime    = 2 * time.Millisecond
	answersKept   = 5
	maxPageItems  = 500
	maxPageBytes  = 1 << 20
	defaultPageKB = 1024
)

// logStore is a stand-in for the platform's store. It keeps partition 0 of each topic.
type logStore struct {
	mu     sync.Mutex
	topics map[string]*topic
	// refused lists the appends that exceeded a limit.
	refused []string
	// largest is the size of the largest record of each topic.
	largest map[string]int
}

type topic struct {
	// busy serialises the appends.
	busy      sync.Mutex
	records   [][]byte
	newest    map[string]newestRecord
	producers map[string]*producer
	changed   chan struct{}
}

type newestRecord struct {
	value  []byte
	offset int64
}

type producer struct {
	epoch   int64
	hasSeq  bool
	lastSeq int64
	answers map[int64]map[string]int64
}

func newLogStore() *logStore {
	return &logStore{topics: make(map[string]*topic), largest: make(map[string]int)}
}

// topic returns a topic; mu is held.
func (l *logStore) topic(name string) *topic {
	t := l.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]newestRecord), producers: make(map[string]*producer), changed: make(chan struct{})}
		l.topics[name] = t
	}
	return t
}

// put writes a record as the operator or a minion does.
func (l *logStore) put(name, key string, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(name, l.topic(name), [][]byte{append(append([]byte{byte(len(key))}, key...), value...)})
}

// get returns the newest value of a key.
func (l *logStore) get(name, key string) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.topic(name).newest[key].value
}

// add appends records; mu is held.
func (l *logStore) add(name string, t *topic, contents [][]byte) {
	for _, c := range contents {
		l.largest[name] = max(l.largest[name], len(c))
		if len(c) > 0 && len(c) > int(c[0]) {
			key, value := string(c[1:1+int(c[0])]), c[1+int(c[0]):]
			if len(value) == 0 {
				delete(t.newest, key)
			} else {
				t.newest[key] = newestRecord{value: value, offset: int64(len(t.records))}
			}
		}
		t.records = append(t.records, c)
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

func (l *logStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch r.URL.Path {
	case "/v1/log-append":
		l.append(w, r, body)
	case "/v1/log-read":
		l.read(w, r)
	case "/v1/log-newest":
		l.newest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func intArg(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

func reply(w http.ResponseWriter, status int, body any) {
	b, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (l *logStore) append(w http.ResponseWriter, r *http.Request, body []byte) {
	name := r.URL.Query().Get("Topic")
	var contents [][]byte
	total := 0
	for b := body; len(b) > 0; {
		if len(b) < 4 || len(b)-4 < int(binary.BigEndian.Uint32(b)) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n := int(binary.BigEndian.Uint32(b))
		contents = append(contents, append([]byte(nil), b[4:4+n]...))
		total += n
		if n > recordBytes || total > callBytes {
			l.mu.Lock()
			key := string(b[5 : 5+int(b[4])])
			l.refused = append(l.refused, time.Now().Format("15:04:05.000")+" "+name+" record "+key+" of "+strconv.Itoa(n)+" bytes, call of "+strconv.Itoa(len(body)))
			l.mu.Unlock()
			reply(w, http.StatusBadRequest, map[string]string{"Reason": "size"})
			return
		}
		b = b[4+n:]
	}
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	l.mu.Lock()
	t := l.topic(name)
	l.mu.Unlock()
	t.busy.Lock()
	defer t.busy.Unlock()
	time.Sleep(appendTime)
	l.mu.Lock()
	defer l.mu.Unlock()
	q := r.URL.Query()
	end := int64(len(t.records))
	var p *producer
	if q.Has("Producer") {
		epoch, seq := intArg(r, "epoch"), intArg(r, "Seq")
		p = t.producers[q.Get("Producer")]
		switch {
		case p != nil && epoch < p.epoch:
			reply(w, http.StatusConflict, map[string]string{"Reason": "fenced"})
			return
		case p == nil || epoch > p.epoch:
			p = &producer{epoch: epoch, answers: make(map[int64]map[string]int64)}
			t.producers[q.Get("Producer")] = p
		case len(contents) > 0 && p.hasSeq:
			if a, ok := p.answers[seq]; ok {
				reply(w, http.StatusOK, a)
				return
			}
			if seq != p.lastSeq+1 {
				reply(w, http.StatusConflict, map[string]any{"Reason": "seq", "Seq": p.lastSeq + 1})
				return
			}
		}
	}
	if q.Has("At") && intArg(r, "At") != end {
		reply(w, http.StatusPreconditionFailed, map[string]int64{"End": end})
		return
	}
	a := map[string]int64{"Offset": end, "End": end}
	if len(contents) > 0 {
		l.add(name, t, contents)
		a["End"] = int64(len(t.records))
		if p != nil {
			seq := intArg(r, "Seq")
			p.hasSeq, p.lastSeq, p.answers[seq] = true, seq, a
			delete(p.answers, seq-answersKept)
		}
	}
	reply(w, http.StatusOK, a)
}

func (l *logStore) read(w http.ResponseWriter, r *http.Request) {
	name, from := r.URL.Query().Get("Topic"), intArg(r, "From")
	deadline := time.After(time.Duration(min(intArg(r, "WaitMs"), 30000)) * time.Millisecond)
	maxBytes := defaultPageKB << 10
	if kb := intArg(r, "MaxKb"); kb > 0 {
		maxBytes = int(kb) << 10
	}
	for isLast := false; ; {
		l.mu.Lock()
		t := l.topic(name)
		if end := int64(len(t.records)); from < end || isLast {
			b := binary.BigEndian.AppendUint64(nil, uint64(end))
			b = binary.BigEndian.AppendUint64(b, 0)
			size := 0
			for i := from; i < end; i++ {
				c := t.records[i]
				if size += len(c) + 4; size > maxBytes {
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

func (l *logStore) newest(w http.ResponseWriter, r *http.Request) {
	name, after := r.URL.Query().Get("Topic"), r.URL.Query().Get("After")
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	var keys []string
	for k := range t.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items := []map[string]any{}
	size, more := 0, false
	for _, k := range keys {
		v := t.newest[k]
		if len(items) == maxPageItems || len(items) > 0 && size+len(v.value) > maxPageBytes {
			more = true
			break
		}
		size += len(v.value)
		items = append(items, map[string]any{"Key": k, "Value": base64.StdEncoding.EncodeToString(v.value), "Offset": v.offset})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "More": more, "End": len(t.records)})
}

func (l *logStore) largestOf(name string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.largest[name]
}

func (l *logStore) refusedAppends() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.refused...)
}
