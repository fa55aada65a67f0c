package claimer

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/platform"
	"github.com/godwitcross/godwitcross/fleet/claim"
	"github.com/godwitcross/godwitcross/fleet/dispatch"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// Rates and limits of a follower.
const (
	// groupInterval is the average time between two appends of one service; after an idle
	// time, up to groupBurst appends may follow without a wait.
	groupInterval = 50 * time.Millisecond
	groupBurst    = 10
	// retryDelay is the pause after a failed append or read.
	retryDelay = 200 * time.Millisecond
	readLimit  = 500
	readWait   = 10 * time.Second
)

// Grant is the result of a claim.
type Grant struct {
	Result dispatch.ClaimResult
	// Record is the record that holds the key after ClaimGranted.
	Record journal.RecordID
}

// event is an input from a Claimer to a follower.
type event interface {
	apply(f *follower, now time.Time)
}

// pendingClaim is a claim that waits for its result.
type pendingClaim struct {
	key   claim.Digest
	reply chan Grant
	// record is the record that holds the key once the claim is granted.
	record journal.RecordID
	// abandoned is true once the claim has no waiting request. If it then holds its key, it
	// is released.
	abandoned bool
}

// abandonment is the event that no request waits for the claim any more.
type abandonment struct{ *pendingClaim }

// readResult is the result of a read of the stream.
type readResult struct {
	batch platform.Batch
	err   error
}

// release is the event that a granted claim is released.
type release struct{ claim.Release }

// group has the claims and releases that go into one record.
type group struct {
	id     journal.RecordID
	claims []*pendingClaim
	// startedAt is when the first append of the group started.
	startedAt time.Time
	releases  []claim.Release
	raw       json.RawMessage
}

// follower handles the claims of one service. It appends groups one at a time and answers
// their claims once it has read them back in log order.
type follower struct {
	cfg    Config
	log    logrus.FieldLogger
	stream journal.StreamID
	events chan event
	table  *claim.Table
	// next is the offset of the first record that is not applied.
	next journal.Offset
	// caughtUp is true once the stream has been read to its end.
	caughtUp bool
	// appendFailing is true from a failed append to the next successful one.
	appendFailing bool
	// readFailing is true from a failed read to the next successful one.
	readFailing bool
	// deferred has the claims received before caughtUp.
	deferred []*pendingClaim
	// open collects the claims and releases of the next append.
	open group
	// appending is the group that is being appended, or nil.
	appending *group
	// sent has the groups that are not read back yet, by record.
	sent map[journal.RecordID]*group
	// pendingKeys has the keys of the open and the sent groups.
	pendingKeys map[claim.Digest]bool
	// pacedUntil is the time up to which appends have used their rate; each append moves
	// it by groupInterval.
	pacedUntil time.Time
}

func newFollower(cfg Config, s inventory.ServiceID) *follower {
	return &follower{
		cfg: cfg, log: cfg.Log.WithField("Service", s), stream: claim.Stream(s), events: make(chan event, maxQueuedEvents),
		table: claim.NewTable(), sent: make(map[journal.RecordID]*group), pendingKeys: make(map[claim.Digest]bool),
	}
}

// run follows the stream and handles events until the context ends.
func (f *follower) run(ctx context.Context) error {
	reads := make(chan readResult)
	go f.read(ctx, reads)
	appended := make(chan error)
	flush := time.NewTimer(0)
	defer flush.Stop()
	for {
		select {
		case <-ctx.Done():
			f.flushReleases(time.Now())
			return nil
		case e := <-f.events:
			e.apply(f, time.Now())
		case r := <-reads:
			f.handleRead(r, time.Now())
		case err := <-appended:
			f.handleAppend(err)
		case <-flush.C:
		}
		f.startAppend(ctx, appended, flush, time.Now())
	}
}

// read sends the stream's records to out in order. If records were deleted before they were
// read, it continues at the oldest retained one, where a new host starts as well.
func (f *follower) read(ctx context.Context, out chan<- readResult) {
	next, wait := journal.Offset(0), time.Duration(0)
	for ctx.Err() == nil {
		b, err := f.cfg.Records.Read(f.stream, next, readLimit, wait)
		if errors.Is(err, platform.ErrTruncated) {
			next = b.Oldest
			continue
		}
		select {
		case out <- readResult{b, err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			sleep(ctx, retryDelay)
			continue
		}
		next = b.First + journal.Offset(len(b.Records))
		wait = readWait
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (f *follower) handleRead(r readResult, now time.Time) {
	f.readFailing = r.err != nil
	if r.err != nil {
		f.log.WithError(r.err).Warn("reading claims failed")
		f.answerUnproven(f.deferred)
		f.deferred = nil
		return
	}
	f.apply(r.batch, now)
}

func (f *follower) apply(b platform.Batch, now time.Time) {
	for _, raw := range b.Records {
		r, err := journal.Decode(raw)
		if err == nil {
			err = f.table.Apply(r)
		}
		if err != nil {
			f.log.WithError(err).Warn("skipped an invalid record of claims")
			continue
		}
		if g, ok := f.sent[r.ID]; ok {
			delete(f.sent, r.ID)
			f.resolve(g)
		}
	}
	f.next = b.First + journal.Offset(len(b.Records))
	if !f.caughtUp && f.next >= b.End {
		f.caughtUp = true
		deferred := f.deferred
		f.deferred = nil
		for _, c := range deferred {
			c.apply(f, now)
		}
	}
}

// resolve answers the claims of a group that was read back. An abandoned claim that holds
// its key is released: nothing was sent under it.
func (f *follower) resolve(g *group) {
	for _, c := range g.claims {
		delete(f.pendingKeys, c.key)
		holder, _ := f.table.Holder(c.key)
		switch {
		case holder == g.id && c.abandoned:
			f.open.releases = append(f.open.releases, claim.Release{Key: c.key, Record: g.id})
		case holder == g.id:
			c.record = g.id
			c.reply <- Grant{Result: dispatch.ClaimGranted, Record: g.id}
		case !c.abandoned:
			c.reply <- Grant{Result: dispatch.ClaimUsed}
		}
	}
}

// apply answers a claim at once, defers it until the stream is read, or adds it to the next
// group.
func (c *pendingClaim) apply(f *follower, now time.Time) {
	_, held := f.table.Holder(c.key)
	switch {
	case held || f.pendingKeys[c.key]:
		c.reply <- Grant{Result: dispatch.ClaimUsed}
	case f.readFailing || f.isStalled(now) || f.table.IsFull(now):
		c.reply <- Grant{Result: dispatch.ClaimUnproven}
	case !f.caughtUp:
		f.deferred = append(f.deferred, c)
	default:
		f.pendingKeys[c.key] = true
		f.open.claims = append(f.open.claims, c)
	}
}

// isStalled reports whether a claim made now is unlikely to get a result in time: an append
// failed, or a group has not been read back within MaxWait.
func (f *follower) isStalled(now time.Time) bool {
	for _, g := range f.sent {
		if now.Sub(g.startedAt) > MaxWait {
			return true
		}
	}
	return f.appendFailing
}

func (a abandonment) apply(f *follower, _ time.Time) {
	if a.record != "" {
		f.open.releases = append(f.open.releases, claim.Release{Key: a.key, Record: a.record})
	}
	a.abandoned = true
}

func (r release) apply(f *follower, _ time.Time) {
	f.open.releases = append(f.open.releases, r.Release)
}

// startAppend appends the open group, unless another append is in progress. Above the rate
// it sets the flush timer instead.
func (f *follower) startAppend(ctx context.Context, done chan<- error, flush *time.Timer, now time.Time) {
	if f.appending != nil || len(f.open.claims)+len(f.open.releases) == 0 {
		return
	}
	burstStart := now.Add(-groupBurst * groupInterval)
	if f.pacedUntil.Before(burstStart) {
		f.pacedUntil = burstStart
	}
	if wait := f.pacedUntil.Add(groupInterval).Sub(now); wait > 0 {
		flush.Reset(wait)
		return
	}
	g := f.open
	f.open = group{}
	if err := g.encode(f.cfg.Name, now); err != nil {
		f.log.WithError(err).Error("encoding claims failed")
		f.answerUnproven(g.claims)
		return
	}
	f.pacedUntil, f.appending = f.pacedUntil.Add(groupInterval), &g
	f.sent[g.id] = &g
	go f.append(ctx, &g, done)
}

// append appends a group until the log confirms it. After a failure the record may be in
// the log or not, so the append is retried with the same record ID.
func (f *follower) append(ctx context.Context, g *group, done chan<- error) {
	for {
		_, err := f.cfg.Records.Append(f.stream, []json.RawMessage{g.raw})
		select {
		case done <- err:
		case <-ctx.Done():
			return
		}
		if err == nil {
			return
		}
		sleep(ctx, retryDelay)
	}
}

// handleAppend handles the result of one attempt to append. After a failure the follower
// can't determine in time whether a key is free, so all waiting claims are answered with
// ClaimUnproven.
func (f *follower) handleAppend(err error) {
	if err == nil {
		f.appending, f.appendFailing = nil, false
		return
	}
	if !f.appendFailing {
		f.log.WithError(err).Warn("claims unavailable: append to the log failed")
	}
	f.appendFailing = true
	for _, g := range f.sent {
		f.answerUnproven(g.claims)
	}
	for _, c := range f.open.claims {
		delete(f.pendingKeys, c.key)
	}
	f.answerUnproven(f.open.claims)
	f.open.claims = nil
}

// answerUnproven abandons the claims and answers them with ClaimUnproven.
func (f *follower) answerUnproven(claims []*pendingClaim) {
	for _, c := range claims {
		if !c.abandoned {
			c.abandoned = true
			c.reply <- Grant{Result: dispatch.ClaimUnproven}
		}
	}
}

// flushReleases appends the outstanding releases when the host stops.
func (f *follower) flushReleases(now time.Time) {
	for {
		select {
		case e := <-f.events:
			if r, ok := e.(release); ok {
				r.apply(f, now)
			}
			continue
		default:
		}
		break
	}
	g := group{releases: f.open.releases}
	if len(g.releases) == 0 || g.encode(f.cfg.Name, now) != nil {
		return
	}
	done := make(chan error, 1)
	go func() {
		_, err := f.cfg.Records.Append(f.stream, []json.RawMessage{g.raw})
		done <- err
	}()
	select {
	case err := <-done:
		if err != nil {
			f.log.WithError(err).Warn("releasing keys failed")
		}
	case <-time.After(MaxWait):
		f.log.Warn("releasing keys timed out")
	}
}

func (g *group) encode(host inventory.EntryID, now time.Time) error {
	g.id, g.startedAt = journal.RecordID(uuid.NewString()), now
	body := claim.Group{Releases: g.releases}
	for _, c := range g.claims {
		body.Claims = append(body.Claims, c.key)
	}
	r, err := journal.NewRecord(g.id, claim.KindGroup, now, string(host), body)
	if err != nil {
		return err
	}
	g.raw, err = r.Encode()
	return err
}
