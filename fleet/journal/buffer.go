package journal

import (
	"slices"

	"github.com/rotisserie/eris"
)

// Errors of buffered records.
var (
	// ErrBufferFull refuses a record that finds no room in the buffer.
	ErrBufferFull = eris.New("buffer of records is full")
	// ErrAway refuses a record that must not wait for the log.
	ErrAway = eris.New("the log is away")
	// ErrSuperseded means that a later record of the same key took the place.
	ErrSuperseded = eris.New("superseded by a later record")
)

// Rule says what becomes of a record while the log is away.
type Rule string

// The rules. A record that may be in the log already is kept under each of them.
const (
	// Keep holds the record in order until the log returns or its writer gives up.
	Keep Rule = "Keep"
	// Coalesce is Keep, but a later record of the same kind and writer takes the
	// place of one that was never sent.
	Coalesce Rule = "Coalesce"
	// Refuse gives the record back at once as not run.
	Refuse Rule = "Refuse"
)

// Waiting is a record that waits for the log. T is the writer's token.
type Waiting[T comparable] struct {
	Record Record
	Token  T
	Rule   Rule
	// Raw is the record as it was sent first; nil before.
	Raw []byte
	// Uncertain is set once a send had no answer. The record stays as it is then.
	Uncertain bool
}

// BufferConfig is what a buffer is built from.
type BufferConfig struct {
	// MaxRecords bounds the records that wait.
	MaxRecords int
	// Rules has the rule of each kind; Keep is the rule of all others.
	Rules map[Kind]Rule
}

// Buffer holds the records of one stream that wait for the log, oldest first.
type Buffer[T comparable] struct {
	cfg     BufferConfig
	waiting []*Waiting[T]
	// sent is the group that is under way; its records come before waiting.
	sent []*Waiting[T]
	// away is set from a failed send to the next one that succeeds.
	away bool
}

// NewBuffer returns an empty buffer for a log that is there.
func NewBuffer[T comparable](cfg BufferConfig) *Buffer[T] {
	return &Buffer[T]{cfg: cfg}
}

// Len returns how many records wait or are under way.
func (b *Buffer[T]) Len() int {
	return len(b.waiting) + len(b.sent)
}

// Add puts a record at the end. It returns the token of a record whose place it
// took, if there is one.
func (b *Buffer[T]) Add(r Record, token T) (superseded T, ok bool, err error) {
	w := &Waiting[T]{Record: r, Token: token, Rule: b.rule(r.Kind)}
	if b.away && w.Rule == Refuse {
		return superseded, false, ErrAway
	}
	if w.Rule == Coalesce {
		if i := slices.IndexFunc(b.waiting, func(o *Waiting[T]) bool { return replaces(w, o) }); i >= 0 {
			superseded = b.waiting[i].Token
			b.waiting[i] = w
			return superseded, true, nil
		}
	}
	if b.Len() >= b.cfg.MaxRecords {
		return superseded, false, ErrBufferFull
	}
	b.waiting = append(b.waiting, w)
	return superseded, false, nil
}

func (b *Buffer[T]) rule(k Kind) Rule {
	if r, ok := b.cfg.Rules[k]; ok {
		return r
	}
	return Keep
}

func replaces[T comparable](w, old *Waiting[T]) bool {
	return !old.Uncertain && old.Record.Kind == w.Record.Kind && old.Record.By == w.Record.By
}

// Take moves up to limit records under way and returns them. Uncertain ones are
// at the front, so they go first.
func (b *Buffer[T]) Take(limit int) []*Waiting[T] {
	n := min(limit, len(b.waiting))
	b.sent = slices.Clone(b.waiting[:n])
	b.waiting = slices.Delete(b.waiting, 0, n)
	return b.sent
}

// Succeed ends the send and returns the tokens of its records.
func (b *Buffer[T]) Succeed() []T {
	tokens := tokensOf(b.sent)
	b.sent, b.away = nil, false
	return tokens
}

// Fail ends the send and puts its records back at the front. It returns the
// tokens of those that are not kept: records of the rule Refuse that are
// certainly not in the log, here and among those that wait.
func (b *Buffer[T]) Fail(uncertain bool) []T {
	for _, w := range b.sent {
		w.Uncertain = w.Uncertain || uncertain
	}
	b.waiting = append(b.sent, b.waiting...)
	b.sent, b.away = nil, true
	var refused []*Waiting[T]
	b.waiting = slices.DeleteFunc(b.waiting, func(w *Waiting[T]) bool {
		out := w.Rule == Refuse && !w.Uncertain
		if out {
			refused = append(refused, w)
		}
		return out
	})
	return tokensOf(refused)
}

// Remove takes the record of a writer that gave up out of the buffer. It
// reports whether the record may be in the log.
func (b *Buffer[T]) Remove(token T) (uncertain bool) {
	match := func(w *Waiting[T]) bool { return w.Token == token }
	if i := slices.IndexFunc(b.sent, match); i >= 0 {
		b.sent = slices.Delete(slices.Clone(b.sent), i, i+1)
		return true
	}
	i := slices.IndexFunc(b.waiting, match)
	if i < 0 {
		return false
	}
	uncertain = b.waiting[i].Uncertain
	b.waiting = slices.Delete(b.waiting, i, i+1)
	return uncertain
}

func tokensOf[T comparable](ws []*Waiting[T]) []T {
	tokens := make([]T, len(ws))
	for i, w := range ws {
		tokens[i] = w.Token
	}
	return tokens
}
