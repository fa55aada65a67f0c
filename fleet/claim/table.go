package claim

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// KindGroup is the kind of the records in a claims stream.
const KindGroup journal.Kind = "Claim.Group"

// Limits of a service's table.
const (
	// MaxClaims is how many claims younger than KeyRetention a service may have. At this
	// limit hosts make no further claims.
	MaxClaims = 32_768
	// KeyRetention is the minimum time for which a claimed key is kept. The log must
	// keep records for longer.
	KeyRetention = 10 * time.Minute
	// claimHeadroom is how many claims are kept beyond MaxClaims, for records that hosts
	// had already sent when the limit was reached.
	claimHeadroom = 4096
	// deduplicatedRecords is how many record IDs are kept to drop repeated records.
	deduplicatedRecords = 4096
)

// Stream returns the ID of the stream of a service's claims.
func Stream(s inventory.ServiceID) journal.StreamID {
	return journal.StreamID("Claims." + string(s))
}

// Group is a batch of claims and releases that one host sends in one record.
type Group struct {
	Claims   []Digest  `json:",omitempty"`
	Releases []Release `json:",omitempty"`
}

// Release releases a claim under which no request was executed.
type Release struct {
	Key Digest
	// Record is the record that claimed the key.
	Record journal.RecordID
}

// claimRecord is a record with claims, shared by the table entries of these claims.
type claimRecord struct {
	id journal.RecordID
	at time.Time
}

// tableEntry is a claim of a key.
type tableEntry struct {
	key    Digest
	record *claimRecord
}

// Table has the claims of one service, built from the records of its stream. The same
// records give the same table on every host.
type Table struct {
	// holders has the record that claimed each key.
	holders map[Digest]*claimRecord
	// byAge has all claims, oldest first, with released ones until they are evicted.
	byAge         []tableEntry
	recentRecords *journal.Window[journal.RecordID]
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{holders: make(map[Digest]*claimRecord), recentRecords: journal.NewWindow[journal.RecordID](deduplicatedRecords)}
}

// Apply applies one record. The first claim of a key holds it; a release takes effect
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

// evictOldest removes the oldest claims beyond MaxClaims and claimHeadroom.
func (t *Table) evictOldest() {
	for len(t.byAge) > MaxClaims+claimHeadroom {
		oldest := t.byAge[0]
		t.byAge = t.byAge[1:]
		if t.holders[oldest.key] == oldest.record {
			delete(t.holders, oldest.key)
		}
	}
}

// Holder returns the ID of the record that holds the key.
func (t *Table) Holder(k Digest) (journal.RecordID, bool) {
	holder, ok := t.holders[k]
	if !ok {
		return "", false
	}
	return holder.id, true
}

// IsFull reports whether MaxClaims claims, with released ones, are younger than
// KeyRetention, so that further claims would evict a key too early.
func (t *Table) IsFull(now time.Time) bool {
	return len(t.byAge) >= MaxClaims && now.Sub(t.byAge[len(t.byAge)-MaxClaims].record.at) < KeyRetention
}
