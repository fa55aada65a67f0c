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

// claimRecord is the record that its claims share.
type claimRecord struct {
	id journal.RecordID
	at time.Time
}

// tableEntry is a claim in order of its age.
type tableEntry struct {
	key    Digest
	record *claimRecord
}

// Table is the claims of one service, folded from its stream. The same records
// give the same table on every host.
type Table struct {
	// holders has the group that claimed each key.
	holders map[Digest]*claimRecord
	// byAge has all claims, oldest first; released ones stay until their turn.
	byAge         []tableEntry
	recentRecords *journal.Window[journal.RecordID]
}

// NewTable returns a table without claims.
func NewTable() *Table {
	return &Table{holders: make(map[Digest]*claimRecord), recentRecords: journal.NewWindow[journal.RecordID](deduplicatedRecords)}
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
	current := &claimRecord{id: r.ID, at: r.At}
	for _, k := range g.Claims {
		if _, held := t.holders[k]; held {
			continue
		}
		t.holders[k] = current
		t.byAge = append(t.byAge, tableEntry{key: k, record: current})
	}
	for _, release := range g.Releases {
		if holder, ok := t.holders[release.Key]; ok && holder.id == release.Record {
			delete(t.holders, release.Key)
		}
	}
	t.evictOldest()
	return nil
}

// evictOldest drops the oldest claims beyond what is remembered.
func (t *Table) evictOldest() {
	for len(t.byAge) > MaxClaims+claimHeadroom {
		oldest := t.byAge[0]
		t.byAge = t.byAge[1:]
		if t.holders[oldest.key] == oldest.record {
			delete(t.holders, oldest.key)
		}
	}
}

// Holder returns the record that claimed the key.
func (t *Table) Holder(k Digest) (journal.RecordID, bool) {
	holder, ok := t.holders[k]
	if !ok {
		return "", false
	}
	return holder.id, true
}

// IsFull reports whether a further claim would push one out that is younger
// than KeyWindow.
func (t *Table) IsFull(now time.Time) bool {
	return len(t.byAge) >= MaxClaims && now.Sub(t.byAge[len(t.byAge)-MaxClaims].record.at) < KeyRetention
}
