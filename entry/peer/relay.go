package peer

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	"github.com/godwitcross/godwitcross/entry/follower"
	"github.com/godwitcross/godwitcross/entry/metric"
	"github.com/godwitcross/godwitcross/entry/peer/wire"
	"github.com/godwitcross/godwitcross/entry/platform"
	"github.com/godwitcross/godwitcross/entry/view"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/membership"
)

// Pace of relaying.
const (
	// RelayEvery is the time between two looks at the peers.
	RelayEvery = 250 * time.Millisecond
	// RelayAfter is how long a peer must have been ahead before its records are
	// asked for: the log itself is the usual way.
	RelayAfter = 500 * time.Millisecond
	relayLimit = 500
)

func newSnapshotID() journal.SnapshotID {
	return journal.SnapshotID(uuid.NewString())
}

// RelayConfig is what a relay is built from.
type RelayConfig struct {
	Log     logrus.FieldLogger
	Metrics *metric.Registry
	Client  *Client
	Peers   *view.Box[View]
	State   *view.Box[follower.State]
	// Compare returns how each peer stands to this host.
	Compare func(ctx context.Context, peers []membership.Peer) ([]membership.Relation, error)
	// Restore brings the state to a snapshot, for a host that is further behind
	// than the records which peers keep.
	Restore platform.RestoreFunc
	Out     chan<- platform.Batch
}

// Relay brings records from peers that have applied more, so that a host which
// does not reach the platform has the configuration in force all the same.
type Relay struct {
	cfg RelayConfig
	// behind is since when some peer was ahead; zero while none is.
	behind time.Time
	// doubted are the peers that were found to contradict this host.
	doubted map[string]membership.Relation
	doubts  atomic.Int64
}

// NewRelay returns a task that hands records of peers on.
func NewRelay(cfg RelayConfig) *Relay {
	return &Relay{cfg: cfg, doubted: make(map[string]membership.Relation)}
}

// Name returns the task's name.
func (r *Relay) Name() string {
	return "relay of records from peers"
}

// Run relays until the context ends.
func (r *Relay) Run(ctx context.Context) error {
	t := time.NewTicker(RelayEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			r.step(ctx, time.Now())
		}
	}
}

func (r *Relay) step(ctx context.Context, now time.Time) {
	peers := r.cfg.Peers.Latest().Peers
	r.doubt(ctx, peers)
	st := r.cfg.State.Latest()
	best, ahead := membership.MostAdvanced(peers, st.Next)
	r.cfg.Metrics.Gauge("peers_ahead_records", int64(max(best.Applied-st.Next, 0)))
	if !ahead || st.Fault != "" {
		r.behind = time.Time{}
		return
	}
	if r.behind.IsZero() {
		r.behind = now
	}
	if now.Sub(r.behind) < RelayAfter {
		return
	}
	r.fetch(ctx, best, st)
}

// fetch asks the peer for the records behind those applied here.
func (r *Relay) fetch(ctx context.Context, p membership.Peer, st follower.State) {
	c, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	a, err := r.cfg.Client.At(p.Address).ReadRecords(c, &wire.ReadRecordsRequest{From: int64(st.Next), History: st.History, Limit: relayLimit})
	var te twirp.Error
	if errors.As(err, &te) && te.Code() == twirp.OutOfRange {
		r.cfg.Restore(ctx, st.Next)
		return
	}
	if err != nil {
		r.cfg.Log.WithError(err).WithField("Peer", p.Name).Info("no records from a peer")
		return
	}
	b := platform.Batch{First: journal.Offset(a.GetFirst()), End: journal.Offset(a.GetEnd()), Relayed: true}
	for _, raw := range a.GetRecords() {
		b.Records = append(b.Records, raw)
	}
	r.cfg.Metrics.Count("peer_records", int64(len(b.Records)))
	select {
	case r.cfg.Out <- b:
	case <-ctx.Done():
	}
}

// doubt reports peers whose state or log contradicts this host's.
func (r *Relay) doubt(ctx context.Context, peers []membership.Peer) {
	relations, err := r.cfg.Compare(ctx, peers)
	if err != nil {
		return
	}
	found := make(map[string]membership.Relation)
	for i, p := range peers {
		if relations[i] != membership.Diverged && relations[i] != membership.OtherLog {
			continue
		}
		found[string(p.Name)] = relations[i]
		if r.doubted[string(p.Name)] != relations[i] {
			r.cfg.Log.WithFields(logrus.Fields{"Peer": p.Name, "Relation": relations[i], "Applied": p.Applied}).Error("a peer contradicts this host")
		}
	}
	r.doubted = found
	r.doubts.Store(int64(len(found)))
	r.cfg.Metrics.Gauge("peers_diverged", int64(len(found)))
}

// Doubts returns how many peers contradict this host.
func (r *Relay) Doubts() int {
	return int(r.doubts.Load())
}

// Snapshots reads snapshots from peers.
type Snapshots struct {
	Client *Client
	Peers  *view.Box[View]
}

// ReadSnapshot returns a snapshot of the reachable peer that has applied most.
func (s *Snapshots) ReadSnapshot(ctx context.Context, beyond journal.Offset) (journal.Snapshot, error) {
	p, ok := membership.MostAdvanced(s.Peers.Latest().Peers, beyond)
	if !ok {
		return journal.Snapshot{}, eris.Wrapf(ErrUnreachable, "none that has applied more than %d", beyond)
	}
	a := journal.NewAssembler(journal.StreamFleet)
	req := &wire.ReadSnapshotRequest{}
	for {
		c, err := s.chunk(ctx, p.Address, req)
		if err != nil {
			return journal.Snapshot{}, eris.Wrapf(err, "chunk %d from %s", req.GetIndex(), p.Name)
		}
		if err := a.Add(c); err != nil {
			return journal.Snapshot{}, err
		}
		req = &wire.ReadSnapshotRequest{Id: string(c.Snapshot), Index: req.GetIndex() + 1}
		if int(req.GetIndex()) == c.Count {
			break
		}
	}
	whole, ok := a.Newest()
	if !ok {
		return whole, eris.Wrapf(journal.ErrInvalidSnapshot, "from %s", p.Name)
	}
	return whole, nil
}

func (s *Snapshots) chunk(ctx context.Context, address string, req *wire.ReadSnapshotRequest) (journal.Chunk, error) {
	c, cancel := context.WithTimeout(ctx, SnapshotTimeout)
	defer cancel()
	var chunk journal.Chunk
	a, err := s.Client.At(address).ReadSnapshot(c, req)
	var te twirp.Error
	if errors.As(err, &te) {
		return chunk, eris.Wrapf(journal.ErrInvalidSnapshot, "%s", te.Msg())
	}
	if err != nil {
		return chunk, eris.Wrapf(ErrUnreachable, "%s", err)
	}
	if err := json.Unmarshal(a.GetChunk(), &chunk); err != nil {
		return chunk, eris.Wrapf(journal.ErrInvalidSnapshot, "%s", err)
	}
	return chunk, nil
}
