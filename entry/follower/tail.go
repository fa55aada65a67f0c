package follower

import (
	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/journal"
)

// Bounds of the records that are retained for peers.
const (
	tailRecords = 4096
	tailBytes   = 2 << 20
)

// tail retains the last applied records for peers that can't reach the platform.
type tail struct {
	// first is the offset of records[0].
	first   journal.Offset
	records [][]byte
	// bytes is the total length of records.
	bytes int
}

// add appends a record and drops the oldest ones beyond the bounds.
func (t *tail) add(raw []byte) {
	t.records = append(t.records, raw)
	t.bytes += len(raw)
	drop := 0
	for len(t.records)-drop > tailRecords || (t.bytes > tailBytes && drop < len(t.records)) {
		t.bytes -= len(t.records[drop])
		t.records[drop] = nil
		drop++
	}
	t.records = t.records[drop:]
	t.first += journal.Offset(drop)
}

// from returns up to limit records, starting at the offset.
func (t *tail) from(o journal.Offset, limit int) ([][]byte, error) {
	end := t.first + journal.Offset(len(t.records))
	if o < t.first || o > end {
		return nil, eris.Wrapf(ErrNotRetained, "%d is not from %d to %d", o, t.first, end)
	}
	rest := t.records[o-t.first:]
	return append([][]byte(nil), rest[:min(limit, len(rest))]...), nil
}
