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

// Pace of a follower.
const (
	// groupEvery is the time between two appends of one service in the long run,
	// and groupBurst how many may follow at once after a rest.
	groupEvery = 50 * time.Millisecond
	groupBurst = 10
	// retryEvery is the pause after an append that failed.
	retryEvery = 200 * time.Millisecond
	readLimit  = 500
	readWait   = 10 * time.Second
)

// Grant is the decision on a claim.
type Grant struct {
	Verdict dispatch.ClaimResult
	// Record holds the key after ClaimGranted.
	Record journal.RecordID
}

// message is what a follower is asked for.
type message interface {
	apply(f *follower, now time.Time)
}

// ask is a claim that waits for its verdict.
type ask struct {
	key   claim.Digest
	reply chan Grant
	// record is the one that holds the key once it is granted.
	record journal.RecordID
	// abandoned claims are given back if they turn out to hold their key.
	abandoned bool
}

// abandon says that nobody waits for a claim any more.
type abandon struct{ *ask }

// arrival is what a read of the stream returned.
type arrival struct {
	batch platform.Batch
	err   error
}

// giveBack is a release.
type giveBack struct{ claim.Release }

// group is claims that go into one record.
type group struct {
	id   journal.RecordID
	asks []*ask
	// began is when the first append of the group began.
	began    time.Time
	releases []claim.Release
	raw      json.RawMessage
}

// follower owns the claims of one service: it appends groups one at a time and
// answers when it has read them back in the log's order.
type follower struct {
	cfg    Config
	log    logrus.FieldLogger
	stream journal.StreamID
	in     chan message
	table  *claim.Table
	// next is the offset of the first record that is not applied.
	next journal.Offset
	// current is true once the stream was read to its end.
	current bool
	// down is true from a failed append to the next that works.
	down bool
	// unreadable is true from a failed read to the next that works.
	unreadable bool
	// early are claims that came before the stream was read to its end.
	early []*ask
	// open gathers what the next append takes.
	open group
	// sending is the group that is being appended, or nil.
	sending *group
	// sent are groups that are not read back yet, by record.
	sent map[journal.RecordID]*group
	// pending has the keys of open, sending and sent groups.
	pending map[claim.Digest]bool
	// paid is the moment up to which appends have used the pace.
	paid time.Time
}

func newFollower(cfg Config, s inventory.ServiceID) *follower {
	return &follower{
		cfg: cfg, log: cfg.Log.WithField("Service", s), stream: claim.Stream(s), in: make(chan message, queueLength),
		table: claim.NewTable(), sent: make(map[journal.RecordID]*group), pending: make(map[claim.Digest]bool),
	}
}

// run follows the stream until the context ends.
func (f *follower) run(ctx context.Context) error {
	arrivals := make(chan arrival)
	go f.read(ctx, arrivals)
	appended := make(chan error)
	flush := time.NewTimer(0)
	defer flush.Stop()
	for {
		select {
		case <-ctx.Done():
			f.sendLast(time.Now())
			return nil
		case m := <-f.in:
			m.apply(f, time.Now())
		case a := <-arrivals:
			f.arrived(a, time.Now())
		case err := <-appended:
			f.appendEnded(err)
		case <-flush.C:
		}
		f.startAppend(ctx, appended, flush, time.Now())
	}
}

// read hands the stream's records on in order. After a gap it starts again at
// the oldest record that is kept, which is what a new host knows.
func (f *follower) read(ctx context.Context, out chan<- arrival) {
	next, wait := journal.Offset(0), time.Duration(0)
	for ctx.Err() == nil {
		b, err := f.cfg.Records.Read(f.stream, next, readLimit, wait)
		if errors.Is(err, platform.ErrTruncated) {
			next = b.Oldest
			continue
		}
		select {
		case out <- arrival{b, err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			sleep(ctx, retryEvery)
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

func (f *follower) arrived(a arrival, now time.Time) {
	f.unreadable = a.err != nil
	if a.err != nil {
		f.log.WithError(a.err).Warn("reading claims failed")
		f.giveUp(f.early)
		f.early = nil
		return
	}
	f.fold(a.batch, now)
}

func (f *follower) fold(b platform.Batch, now time.Time) {
	for _, raw := range b.Records {
		r, err := journal.Decode(raw)
		if err == nil {
			err = f.table.Apply(r)
		}
		if err != nil {
			f.log.WithError(err).Warn("record of claims passed over")
			continue
		}
		if g, ok := f.sent[r.ID]; ok {
			delete(f.sent, r.ID)
			f.settle(g)
		}
	}
	f.next = b.First + journal.Offset(len(b.Records))
	if !f.current && f.next >= b.End {
		f.current = true
		early := f.early
		f.early = nil
		for _, a := range early {
			a.apply(f, now)
		}
	}
}

// settle answers the claims of a group that was read back. A claim that nobody
// waits for any more is given back: nothing was sent under it.
func (f *follower) settle(g *group) {
	for _, a := range g.asks {
		delete(f.pending, a.key)
		holder, _ := f.table.Holder(a.key)
		switch {
		case holder == g.id && a.abandoned:
			f.open.releases = append(f.open.releases, claim.Release{Key: a.key, Record: g.id})
		case holder == g.id:
			a.record = g.id
			a.reply <- Grant{Verdict: dispatch.ClaimGranted, Record: g.id}
		case !a.abandoned:
			a.reply <- Grant{Verdict: dispatch.ClaimUsed}
		}
	}
}

// apply decides on a claim or lets it join the next group.
func (a *ask) apply(f *follower, now time.Time) {
	_, held := f.table.Holder(a.key)
	switch {
	case held || f.pending[a.key]:
		a.reply <- Grant{Verdict: dispatch.ClaimUsed}
	case f.unreadable || f.isStalled(now) || f.table.IsFull(now):
		a.reply <- Grant{Verdict: dispatch.ClaimUnproven}
	case !f.current:
		f.early = append(f.early, a)
	default:
		f.pending[a.key] = true
		f.open.asks = append(f.open.asks, a)
	}
}

// isStalled reports whether a claim made now has no prospect of a verdict.
func (f *follower) isStalled(now time.Time) bool {
	for _, g := range f.sent {
		if now.Sub(g.began) > MaxWait {
			return true
		}
	}
	return f.down
}

func (a abandon) apply(f *follower, _ time.Time) {
	if a.record != "" {
		f.open.releases = append(f.open.releases, claim.Release{Key: a.key, Record: a.record})
	}
	a.abandoned = true
}

func (r giveBack) apply(f *follower, _ time.Time) {
	f.open.releases = append(f.open.releases, r.Release)
}

// startAppend sends the open group if its time has come and none is on its way.
func (f *follower) startAppend(ctx context.Context, done chan<- error, flush *time.Timer, now time.Time) {
	if f.sending != nil || len(f.open.asks)+len(f.open.releases) == 0 {
		return
	}
	rested := now.Add(-groupBurst * groupEvery)
	if f.paid.Before(rested) {
		f.paid = rested
	}
	if wait := f.paid.Add(groupEvery).Sub(now); wait > 0 {
		flush.Reset(wait)
		return
	}
	g := f.open
	f.open = group{}
	if err := g.encode(f.cfg.Name, now); err != nil {
		f.log.WithError(err).Error("encoding claims failed")
		f.giveUp(g.asks)
		return
	}
	f.paid, f.sending = f.paid.Add(groupEvery), &g
	f.sent[g.id] = &g
	go f.append(ctx, &g, done)
}

// append sends a group until the log has it. After a failure the record may be
// in the log, so it is sent again under the same identity until it surely is.
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
		sleep(ctx, retryEvery)
	}
}

// appendEnded takes in one try of an append. After a failure nobody can tell in
// time whether a key is free, and all who wait are told so.
func (f *follower) appendEnded(err error) {
	if err == nil {
		f.sending, f.down = nil, false
		return
	}
	if !f.down {
		f.log.WithError(err).Warn("claims can't be made: the log takes no records")
	}
	f.down = true
	for _, g := range f.sent {
		f.giveUp(g.asks)
	}
	for _, a := range f.open.asks {
		delete(f.pending, a.key)
	}
	f.giveUp(f.open.asks)
	f.open.asks = nil
}

// giveUp tells those who wait that their keys can't be claimed now.
func (f *follower) giveUp(asks []*ask) {
	for _, a := range asks {
		if !a.abandoned {
			a.abandoned = true
			a.reply <- Grant{Verdict: dispatch.ClaimUnproven}
		}
	}
}

// sendLast gives back what is still to be given back when the host stops.
func (f *follower) sendLast(now time.Time) {
	for {
		select {
		case m := <-f.in:
			if r, ok := m.(giveBack); ok {
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
			f.log.WithError(err).Warn("keys were not given back")
		}
	case <-time.After(MaxWait):
		f.log.Warn("keys were not given back in time")
	}
}

func (g *group) encode(by inventory.EntryID, now time.Time) error {
	g.id, g.began = journal.RecordID(uuid.NewString()), now
	body := claim.Group{Releases: g.releases}
	for _, a := range g.asks {
		body.Claims = append(body.Claims, a.key)
	}
	r, err := journal.NewRecord(g.id, claim.KindGroup, now, string(by), body)
	if err != nil {
		return err
	}
	g.raw, err = r.Encode()
	return err
}
