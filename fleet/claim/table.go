package claim

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// KindGroup is the kind of the records of a claims stream.
const KindGroup journal.Kind = "Claim.Group"

// Limits of what is remembered of a service's keys.
const (
	// MaxClaims is how many claims hosts make before the oldest has reached
	// KeyWindow; then they make none.
	MaxClaims = 32_768
	// KeyRetention is how long a key is remembered at least. The log must keep
	// records for longer.
	KeyRetention = 10 * time.Minute
	// claimHeadroom are remembered beyond MaxClaims, for groups that hosts had on
	// their way when the limit was reached.
	claimHeadroom = 4096
	// deduplicatedRecords is how many records are remembered to drop their repeats.
	deduplicatedRecords = 4096
)

// Stream returns the stream of a service's claims.
func Stream(s inventory.ServiceID) journal.StreamID {
	return journal.StreamID("Claims." + string(s))
}

// Group is the claims and releases that one host sends together.
type Group struct {
	Claims   []Digest  `json:",omitempty"`
	Releases []Release `json:",omitempty"`
}

// Release gives a claim back under which nothing was executed.
type Release struct {
	Key Digest
	// Record is the record that claimed the key.
	Record journal.RecordID
}

// group is the record that its claims share.
type group struct {
	record journal.RecordID
	at     time.Time
}

// entry is a claim in order of its age.
type entry struct {
	key   Digest
	group *group
}

// Table is the claims of one service, folded from its stream. The same records
// give the same table on every host.
type Table struct {
	// holders has the group that claimed each key.
	holders map[Digest]*group
	// order has all claims, oldest first; released ones stay until their turn.
	order         []entry
	recentRecords *journal.Window[journal.RecordID]
}

// NewTable returns a table without claims.
func NewTable() *Table {
	return &Table{holders: make(map[Digest]*group), recentRecords: journal.NewWindow[journal.RecordID](deduplicatedRecords)}
}

// Apply folds one record. The first claim of a key holds it; a release counts
// only if it names the record that holds the key.
func (t *Table) Apply(r journal.Record) error {
	if r.Kind != KindGroup || t.recentRecords.Contains(r.ID) {
		return nil
	}
	g, err := journal.DecodeBody[Group](r)
	if err != nil {
		return err
	}
	t.recentRecords.Add(r.ID)
	own := &group{record: r.ID, at: r.At}
	for _, k := range g.Claims {
		if _, held := t.holders[k]; held {
			continue
		}
		t.holders[k] = own
		t.order = append(t.order, entry{key: k, group: own})
	}
	for _, l := range g.Releases {
		if h, ok := t.holders[l.Key]; ok && h.record == l.Record {
			delete(t.holders, l.Key)
		}
	}
	t.forget()
	return nil
}

// forget drops the oldest claims beyond what is remembered.
func (t *Table) forget() {
	for len(t.order) > MaxClaims+claimHeadroom {
		e := t.order[0]
		t.order = t.order[1:]
		if t.holders[e.key] == e.group {
			delete(t.holders, e.key)
		}
	}
}

// Holder returns the record that claimed the key.
func (t *Table) Holder(k Digest) (journal.RecordID, bool) {
	h, ok := t.holders[k]
	if !ok {
		return "", false
	}
	return h.record, true
}

// IsFull reports whether a further claim would push one out that is younger
// than KeyWindow.
func (t *Table) IsFull(now time.Time) bool {
	return len(t.order) >= MaxClaims && now.Sub(t.order[len(t.order)-MaxClaims].group.at) < KeyRetention
}
