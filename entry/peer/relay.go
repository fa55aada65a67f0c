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

// Timing and size of relayed reads.
const (
	// RelayInterval is the interval at which the peers' offsets are checked.
	RelayInterval = 250 * time.Millisecond
	// RelayDelay is how long a peer must have been ahead before its records are
	// read: records normally arrive from the log itself.
	RelayDelay = 500 * time.Millisecond
	// maxRelayedRecords bounds the records of one call.
	maxRelayedRecords = 500
)

func newSnapshotID() journal.SnapshotID {
	return journal.SnapshotID(uuid.NewString())
}

// RelayConfig configures a relay.
type RelayConfig struct {
	Log     logrus.FieldLogger
	Metrics *metric.Registry
	Client  *Client
	Peers   *view.Value[View]
	State   *view.Value[follower.State]
	// Compare returns the relation of each peer's state and log to those of this
	// host, in the order of the peers.
	Compare func(ctx context.Context, peers []membership.Peer) ([]membership.Relation, error)
	// Restore restores the state from a snapshot; it is used when peers no longer
	// keep the records that this host needs next.
	Restore platform.RestoreFunc
	Out     chan<- platform.Batch
}

// Relay reads records from peers that have applied more than this host, so that
// a host that cannot reach the platform still gets the current configuration.
type Relay struct {
	cfg RelayConfig
	// behindSince is when a peer was first seen ahead of this host; zero while none
	// is.
	behindSince time.Time
	// diverged holds the peers whose state or log contradicts this host's, with
	// their relation to it.
	diverged      map[string]membership.Relation
	divergedCount atomic.Int64
}

// NewRelay returns a relay that sends the records of peers to cfg.Out.
func NewRelay(cfg RelayConfig) *Relay {
	return &Relay{cfg: cfg, diverged: make(map[string]membership.Relation)}
}

// Name returns the task's name.
func (r *Relay) Name() string {
	return "relay of records from peers"
}

// Run relays records until the context ends.
func (r *Relay) Run(ctx context.Context) error {
	t := time.NewTicker(RelayInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			r.poll(ctx, time.Now())
		}
	}
}

func (r *Relay) poll(ctx context.Context, now time.Time) {
	peers := r.cfg.Peers.Latest().Peers
	r.checkDivergence(ctx, peers)
	state := r.cfg.State.Latest()
	mostAdvanced, ahead := membership.MostAdvanced(peers, state.Next)
	r.cfg.Metrics.Gauge("peers_ahead_records", int64(max(mostAdvanced.Applied-state.Next, 0)))
	if !ahead || state.Fault != "" {
		r.behindSince = time.Time{}
		return
	}
	if r.behindSince.IsZero() {
		r.behindSince = now
	}
	if now.Sub(r.behindSince) < RelayDelay {
		return
	}
	r.fetch(ctx, mostAdvanced, state)
}

// fetch reads from the peer the records that follow those applied on this host.
func (r *Relay) fetch(ctx context.Context, source membership.Peer, st follower.State) {
	callCtx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	response, err := r.cfg.Client.At(source.Address).ReadRecords(callCtx, &wire.ReadRecordsRequest{From: int64(st.Next), History: st.History, Limit: maxRelayedRecords})
	var twirpErr twirp.Error
	if errors.As(err, &twirpErr) && twirpErr.Code() == twirp.OutOfRange {
		r.cfg.Restore(ctx, st.Next)
		return
	}
	if err != nil {
		r.cfg.Log.WithError(err).WithField("Peer", source.Name).Info("reading records from a peer failed")
		return
	}
	b := platform.Batch{First: journal.Offset(response.GetFirst()), End: journal.Offset(response.GetEnd()), Relayed: true}
	for _, raw := range response.GetRecords() {
		b.Records = append(b.Records, raw)
	}
	r.cfg.Metrics.Count("peer_records", int64(len(b.Records)))
	select {
	case r.cfg.Out <- b:
	case <-ctx.Done():
	}
}

// checkDivergence logs and counts peers whose state or log contradicts this
// host's.
func (r *Relay) checkDivergence(ctx context.Context, peers []membership.Peer) {
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
		if r.diverged[string(p.Name)] != relations[i] {
			r.cfg.Log.WithFields(logrus.Fields{"Peer": p.Name, "Relation": relations[i], "Applied": p.Applied}).Error("peer state or log contradicts this host")
		}
	}
	r.diverged = found
	r.divergedCount.Store(int64(len(found)))
	r.cfg.Metrics.Gauge("peers_diverged", int64(len(found)))
}

// DivergedPeers returns the number of peers whose state or log contradicts this host's.
func (r *Relay) DivergedPeers() int {
	return int(r.divergedCount.Load())
}

// Snapshots reads snapshots from peers.
type Snapshots struct {
	Client *Client
	Peers  *view.Value[View]
}

// ReadSnapshot returns a snapshot from the reachable peer with the highest applied
// offset, which must be greater than beyond.
func (s *Snapshots) ReadSnapshot(ctx context.Context, beyond journal.Offset) (journal.Snapshot, error) {
	source, ok := membership.MostAdvanced(s.Peers.Latest().Peers, beyond)
	if !ok {
		return journal.Snapshot{}, eris.Wrapf(ErrUnreachable, "no peer has applied more than %d", beyond)
	}
	assembler := journal.NewAssembler(journal.StreamFleet)
	req := &wire.ReadSnapshotRequest{}
	for {
		chunk, err := s.readChunk(ctx, source.Address, req)
		if err != nil {
			return journal.Snapshot{}, eris.Wrapf(err, "chunk %d from %s", req.GetIndex(), source.Name)
		}
		if err := assembler.Add(chunk); err != nil {
			return journal.Snapshot{}, err
		}
		req = &wire.ReadSnapshotRequest{Id: string(chunk.Snapshot), Index: req.GetIndex() + 1}
		if int(req.GetIndex()) == chunk.Count {
			break
		}
	}
	snapshot, ok := assembler.Newest()
	if !ok {
		return snapshot, eris.Wrapf(journal.ErrInvalidSnapshot, "from %s", source.Name)
	}
	return snapshot, nil
}

func (s *Snapshots) readChunk(ctx context.Context, address string, req *wire.ReadSnapshotRequest) (journal.Chunk, error) {
	callCtx, cancel := context.WithTimeout(ctx, SnapshotTimeout)
	defer cancel()
	var chunk journal.Chunk
	response, err := s.Client.At(address).ReadSnapshot(callCtx, req)
	var twirpErr twirp.Error
	if errors.As(err, &twirpErr) {
		return chunk, eris.Wrapf(journal.ErrInvalidSnapshot, "%s", twirpErr.Msg())
	}
	if err != nil {
		return chunk, eris.Wrapf(ErrUnreachable, "%s", err)
	}
	if err := json.Unmarshal(response.GetChunk(), &chunk); err != nil {
		return chunk, eris.Wrapf(journal.ErrInvalidSnapshot, "%s", err)
	}
	return chunk, nil
}
