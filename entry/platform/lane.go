package platform

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/godwitcross/godwitcross/fleet/journal"
)

// lane is the way of one stream's records to the log, one call at a time.
type lane struct {
	stream journal.StreamID
	buffer *journal.Buffer[*pending]
	// busy is set while a send is under way.
	busy bool
	// limit is how many records the next send carries.
	limit    int
	failures int
	// notBefore is when the next send may start.
	notBefore time.Time
	// end is an end of the stream that was seen; no record that waits is in the
	// log before it. It holds only if knowsEnd.
	end      journal.Offset
	knowsEnd bool
}

// next takes the next group and returns its send.
func (l *lane) next() send {
	l.busy = true
	s := send{stream: l.stream, end: l.end, knowsEnd: l.knowsEnd}
	for _, w := range l.buffer.Take(l.limit) {
		s.records = append(s.records, sendRecord{record: w.Record, waiting: w, uncertain: w.MaybeAppended})
	}
	return s
}

// sendRecord is a record on its way. Its fields are the send's own copies.
type sendRecord struct {
	record    journal.Record
	waiting   *journal.BufferedRecord[*pending]
	uncertain bool
}

// send is one try at a group of records.
type send struct {
	stream   journal.StreamID
	records  []sendRecord
	end      journal.Offset
	knowsEnd bool
}

// sendResult is how a send ended.
type sendResult struct {
	stream  journal.StreamID
	records int
	// uncertain is set if one of the records was uncertain before.
	uncertain bool
	end       journal.Offset
	knowsEnd  bool
	err       error
}

// run looks for uncertain records in the log, then appends those that are not
// there.
func (s *send) run(target StreamLog) sendResult {
	seen, err := s.readBack(target)
	if err == nil {
		err = s.append(target, seen)
	}
	return sendResult{stream: s.stream, records: len(s.records), uncertain: s.anyUncertain(), end: s.end, knowsEnd: s.knowsEnd, err: err}
}

// readBack reads from the known end on and returns the identities that are in
// the log. It only learns the end if nothing is uncertain.
func (s *send) readBack(target StreamLog) (map[journal.RecordID]bool, error) {
	if !s.knowsEnd {
		b, err := target.Read(s.stream, 0, 1, 0)
		if err != nil && !errors.Is(err, ErrForgotten) {
			return nil, notSent(err)
		}
		s.end, s.knowsEnd = b.End, true
		return nil, nil
	}
	seen := make(map[journal.RecordID]bool)
	for from := s.end; s.anyUncertain(); {
		b, err := target.Read(s.stream, from, readLimit, 0)
		if errors.Is(err, ErrForgotten) {
			from = b.Oldest
			continue
		}
		if err != nil {
			return nil, notSent(err)
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

// notSent is the error of a read that failed: it left no record behind.
func notSent(err error) error {
	if errors.Is(err, ErrUncertain) {
		return ErrUnavailable
	}
	return err
}

func (s *send) anyUncertain() bool {
	for _, r := range s.records {
		if r.uncertain {
			return true
		}
	}
	return false
}

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

// encode returns the record as it was sent first, or fixes its form now.
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
