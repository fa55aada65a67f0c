package platform

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/godwitcross/godwitcross/fleet/journal"
)

// streamQueue buffers the records of one stream on their way to the log. One send is in
// progress at a time.
type streamQueue struct {
	stream journal.StreamID
	buffer *journal.Buffer[*pendingRecord]
	// busy is set while a send is in progress.
	busy bool
	// limit bounds the records of the next send.
	limit    int
	failures int
	// notBefore is when the next send may start.
	notBefore time.Time
	// end is an end of the stream that was seen. No waiting record is in the log before
	// it. It is valid only if endKnown is set.
	end      journal.Offset
	endKnown bool
}

// takeBatch takes the next batch from the buffer and returns its send.
func (q *streamQueue) takeBatch() send {
	q.busy = true
	s := send{stream: q.stream, end: q.end, endKnown: q.endKnown}
	for _, w := range q.buffer.Take(q.limit) {
		s.records = append(s.records, sendRecord{record: w.Record, waiting: w, uncertain: w.MaybeAppended})
	}
	return s
}

// sendRecord is one record of a send. record and uncertain are copies, since the send runs
// on its own goroutine.
type sendRecord struct {
	record    journal.Record
	waiting   *journal.BufferedRecord[*pendingRecord]
	uncertain bool
}

// send is one attempt to append a batch of records.
type send struct {
	stream   journal.StreamID
	records  []sendRecord
	end      journal.Offset
	endKnown bool
}

// sendResult is the outcome of a send.
type sendResult struct {
	stream  journal.StreamID
	records int
	// uncertain is set if one of the records may have been appended by an earlier send.
	uncertain bool
	end       journal.Offset
	endKnown  bool
	err       error
}

// run looks for uncertain records in the log, then appends the records that are not there.
func (s *send) run(target StreamLog) sendResult {
	seen, err := s.findAppended(target)
	if err == nil {
		err = s.append(target, seen)
	}
	return sendResult{stream: s.stream, records: len(s.records), uncertain: s.hasUncertain(), end: s.end, endKnown: s.endKnown, err: err}
}

// findAppended reads from the known end on and returns the IDs of the records in the log,
// if a record is uncertain. If the end is not known yet, it only reads the end.
func (s *send) findAppended(target StreamLog) (map[journal.RecordID]bool, error) {
	if !s.endKnown {
		b, err := target.Read(s.stream, 0, 1, 0)
		if err != nil && !errors.Is(err, ErrTruncated) {
			return nil, readError(err)
		}
		s.end, s.endKnown = b.End, true
		return nil, nil
	}
	seen := make(map[journal.RecordID]bool)
	for from := s.end; s.hasUncertain(); {
		b, err := target.Read(s.stream, from, readLimit, 0)
		if errors.Is(err, ErrTruncated) {
			from = b.Oldest
			continue
		}
		if err != nil {
			return nil, readError(err)
		}
		for _, raw := range b.Records {
			if r, err := journal.Decode(raw); err == nil {
				seen[r.ID] = true
			}
		}
		from += journal.Offset(len(b.Records))
		if len(b.Records) == 0 || from >= b.End {
			break
		}
	}
	return seen, nil
}

// readError maps the error of a failed read. A read appends nothing, so ErrUncertain becomes
// ErrUnavailable.
func readError(err error) error {
	if errors.Is(err, ErrUncertain) {
		return ErrUnavailable
	}
	return err
}

// hasUncertain reports whether an earlier send may have appended one of the records.
func (s *send) hasUncertain() bool {
	for _, r := range s.records {
		if r.uncertain {
			return true
		}
	}
	return false
}

// append appends the records that are not in seen and advances the known end.
func (s *send) append(target StreamLog, seen map[journal.RecordID]bool) error {
	var raws []json.RawMessage
	for _, r := range s.records {
		if seen[r.record.ID] {
			continue
		}
		raw, err := s.encode(r)
		if err != nil {
			return err
		}
		raws = append(raws, raw)
	}
	if len(raws) == 0 {
		return nil
	}
	first, err := target.Append(s.stream, raws)
	if err == nil {
		s.end = first + journal.Offset(len(raws))
	}
	return err
}

// encode returns the encoding of an earlier send that may have been appended; otherwise it
// encodes the record with a limit on its offset and keeps the encoding.
func (s *send) encode(r sendRecord) ([]byte, error) {
	if r.uncertain {
		return r.waiting.Raw, nil
	}
	r.record.Before = s.end + journal.WindowSize
	raw, err := r.record.Encode()
	if err != nil {
		return nil, err
	}
	r.waiting.Raw = raw
	return raw, nil
}
