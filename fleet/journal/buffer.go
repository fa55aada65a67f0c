package journal

import (
	"slices"

	"github.com/rotisserie/eris"
)

// Errors of Buffer.
var (
	// ErrBufferFull means that the buffer already holds MaxRecords records.
	ErrBufferFull = eris.New("buffer of records is full")
	// ErrLogUnavailable refuses a record that must not be buffered during an outage of the
	// log.
	ErrLogUnavailable = eris.New("the log is away")
	// ErrSuperseded means that a later record of the same kind and writer replaced the
	// buffered one.
	ErrSuperseded = eris.New("superseded by a later record")
)

// BufferRule says how the buffer handles records of a kind while the log is unavailable.
type BufferRule string

// The buffering rules. A record that may be in the log already is kept under every rule.
const (
	// Keep buffers the record, in order, until the log is available or its writer
	// abandons it.
	Keep BufferRule = "Keep"
	// Coalesce is like Keep, but a later record of the same kind and writer replaces a
	// waiting record that is certainly not in the log.
	Coalesce BufferRule = "Coalesce"
	// Refuse returns the record to its writer at once; it is not appended.
	Refuse BufferRule = "Refuse"
)

// BufferedRecord is a buffered record. T is the writer's token.
type BufferedRecord[T comparable] struct {
	Record Record
	Token  T
	Rule   BufferRule
	// Raw is the encoded record of the first send, or nil before it.
	Raw []byte
	// MaybeAppended is set once a send ended without an answer. The record may then be in
	// the log, so it is neither replaced nor refused.
	MaybeAppended bool
}

// BufferConfig configures a Buffer.
type BufferConfig struct {
	// MaxRecords limits the number of buffered records.
	MaxRecords int
	// Rules maps kinds to their rules. The default is Keep.
	Rules map[Kind]BufferRule
}

// Buffer holds the records of one stream that are not yet in the log, oldest first.
type Buffer[T comparable] struct {
	cfg     BufferConfig
	waiting []*BufferedRecord[T]
	// inFlight is the batch that is being sent. Its records come before waiting.
	inFlight []*BufferedRecord[T]
	// logUnavailable is true from a failed send until the next successful one.
	logUnavailable bool
}

// NewBuffer returns an empty buffer for an available log.
func NewBuffer[T comparable](cfg BufferConfig) *Buffer[T] {
	return &Buffer[T]{cfg: cfg}
}

// Len returns the number of records that wait or are being sent.
func (b *Buffer[T]) Len() int {
	return len(b.waiting) + len(b.inFlight)
}

// Add appends a record to the buffer. If the record replaces another one, Add returns the
// other's token and true.
func (b *Buffer[T]) Add(r Record, token T) (superseded T, ok bool, err error) {
	w := &BufferedRecord[T]{Record: r, Token: token, Rule: b.ruleFor(r.Kind)}
	if b.logUnavailable && w.Rule == Refuse {
		return superseded, false, ErrLogUnavailable
	}
	if w.Rule == Coalesce {
		if i := slices.IndexFunc(b.waiting, func(o *BufferedRecord[T]) bool { return replaces(w, o) }); i >= 0 {
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

func (b *Buffer[T]) ruleFor(k Kind) BufferRule {
	if r, ok := b.cfg.Rules[k]; ok {
		return r
	}
	return Keep
}

func replaces[T comparable](w, old *BufferedRecord[T]) bool {
	return !old.MaybeAppended && old.Record.Kind == w.Record.Kind && old.Record.By == w.Record.By
}

// Take moves up to limit records to the batch in flight and returns them. Records
// that may already be in the log are at the front, so they are sent first.
func (b *Buffer[T]) Take(limit int) []*BufferedRecord[T] {
	n := min(limit, len(b.waiting))
	b.inFlight = slices.Clone(b.waiting[:n])
	b.waiting = slices.Delete(b.waiting, 0, n)
	return b.inFlight
}

// Succeed ends the send and returns the tokens of its records.
func (b *Buffer[T]) Succeed() []T {
	tokens := tokensOf(b.inFlight)
	b.inFlight, b.logUnavailable = nil, false
	return tokens
}

// Fail ends the send and puts its records back at the front. It drops all buffered records
// with the rule Refuse that are certainly not in the log, and returns their tokens.
func (b *Buffer[T]) Fail(maybeAppended bool) []T {
	for _, w := range b.inFlight {
		w.MaybeAppended = w.MaybeAppended || maybeAppended
	}
	b.waiting = append(b.inFlight, b.waiting...)
	b.inFlight, b.logUnavailable = nil, true
	var refused []*BufferedRecord[T]
	b.waiting = slices.DeleteFunc(b.waiting, func(w *BufferedRecord[T]) bool {
		refuse := w.Rule == Refuse && !w.MaybeAppended
		if refuse {
			refused = append(refused, w)
		}
		return refuse
	})
	return tokensOf(refused)
}

// Remove removes a record that its writer abandons. It reports whether the record may be
// in the log.
func (b *Buffer[T]) Remove(token T) (maybeAppended bool) {
	match := func(w *BufferedRecord[T]) bool { return w.Token == token }
	if i := slices.IndexFunc(b.inFlight, match); i >= 0 {
		b.inFlight = slices.Delete(slices.Clone(b.inFlight), i, i+1)
		return true
	}
	i := slices.IndexFunc(b.waiting, match)
	if i < 0 {
		return false
	}
	maybeAppended = b.waiting[i].MaybeAppended
	b.waiting = slices.Delete(b.waiting, i, i+1)
	return maybeAppended
}

func tokensOf[T comparable](ws []*BufferedRecord[T]) []T {
	tokens := make([]T, len(ws))
	for i, w := range ws {
		tokens[i] = w.Token
	}
	return tokens
}
