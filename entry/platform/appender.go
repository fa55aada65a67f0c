package platform

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/journal"
)

// ErrNotAppended means that a record is not in the log and will not be.
var ErrNotAppended = eris.New("record was not appended")

// appendPause is the pause before a record is appended again.
const appendPause = 100 * time.Millisecond

// StreamAppender is the part of the log that an Appender needs.
type StreamAppender interface {
	Append(stream journal.StreamID, records []json.RawMessage) (journal.Offset, error)
}

// Appender adds records to the log. A record whose append had no answer is
// appended again under the same identity; the fold drops the repeat.
type Appender struct {
	target StreamAppender
}

// NewAppender returns an appender to the log.
func NewAppender(target StreamAppender) *Appender {
	return &Appender{target: target}
}

// Append adds the record and returns once the log has confirmed it. When the
// context ends first, the error is ErrNotAppended if every try was refused
// before it had an effect, and ErrUncertain otherwise.
func (a *Appender) Append(ctx context.Context, stream journal.StreamID, r journal.Record) error {
	raw, err := r.Encode()
	if err != nil {
		return eris.Wrapf(ErrNotAppended, "%s", err)
	}
	uncertain := false
	for {
		_, err := a.target.Append(stream, []json.RawMessage{raw})
		if err == nil {
			return nil
		}
		if errors.Is(err, ErrRefused) && !uncertain {
			return eris.Wrapf(ErrNotAppended, "%s", err)
		}
		uncertain = uncertain || errors.Is(err, ErrUncertain)
		pause(ctx, appendPause)
		if ctx.Err() == nil {
			continue
		}
		if uncertain {
			return eris.Wrapf(ErrUncertain, "record %s: %s", r.ID, err)
		}
		return eris.Wrapf(ErrNotAppended, "record %s: %s", r.ID, err)
	}
}
