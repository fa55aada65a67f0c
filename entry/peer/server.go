package peer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	"github.com/godwitcross/godwitcross/entry/follower"
	"github.com/godwitcross/godwitcross/entry/listener"
	"github.com/godwitcross/godwitcross/entry/peer/wire"
	"github.com/godwitcross/godwitcross/entry/settings"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// Limits of the server.
const (
	maxHeaderBytes = 8 << 10
	maxBodyBytes   = 8 << 20
	// maxReadRecords and maxReadBytes bound one response of ReadRecords.
	maxReadRecords = 1000
	maxReadBytes   = 4 << 20
)

// Records reads the applied records and snapshots of this host.
type Records interface {
	Records(ctx context.Context, from journal.Offset, history uint64, limit int) ([][]byte, journal.Offset, error)
	Snapshot(ctx context.Context) (journal.Snapshot, error)
}

// Claims handles the claims of peers on idempotency keys.
type Claims interface {
	Claim(ctx context.Context, req *wire.ClaimRequest) (*wire.ClaimResponse, error)
}

// Loads exchanges reports of the load on backend servers with peers.
type Loads interface {
	TellLoad(ctx context.Context, in *wire.BackendLoads) (*wire.BackendLoads, error)
}

// ServerConfig configures a server.
type ServerConfig struct {
	Log       logrus.FieldLogger
	Exchanger *Exchanger
	Records   Records
	// Limits bound the resources that a client can use, whether or not it is a
	// genuine peer.
	Limits settings.Limits
	// Claims and Loads may be nil; a claim is then answered as unknown and a load
	// report with an empty one.
	Claims Claims
	Loads  Loads
}

// Server handles the calls of peers.
type Server struct {
	cfg  ServerConfig
	http *http.Server

	mu sync.Mutex
	// snapshotID and snapshotChunks belong to the snapshot that was requested last.
	snapshotID     journal.SnapshotID
	snapshotChunks []journal.Chunk
}

// NewServer returns a server with the limits of the configuration.
func NewServer(cfg ServerConfig) *Server {
	s := &Server{cfg: cfg}
	s.http = &http.Server{
		Handler:  http.MaxBytesHandler(wire.NewPeerServer(s), maxBodyBytes),
		ErrorLog: log.New(io.Discard, "", 0),
	}
	listener.BoundHTTP(s.http, cfg.Limits)
	return s
}

// Serve accepts connections on the listener until Close is called.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "serving peers")
	}
	return nil
}

// Close stops Serve and closes all connections.
func (s *Server) Close() {
	_ = s.http.Close()
}

// Exchange merges the heartbeats that a peer sent and returns those that this
// host knows.
func (s *Server) Exchange(ctx context.Context, in *wire.Heartbeats) (*wire.Heartbeats, error) {
	beats, err := s.cfg.Exchanger.handleExchange(ctx, Decode(in))
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return Encode(beats), nil
}

// ReadRecords returns applied records from an offset on, bounded by the limit of
// the request, maxReadRecords and maxReadBytes.
func (s *Server) ReadRecords(ctx context.Context, in *wire.ReadRecordsRequest) (*wire.ReadRecordsResponse, error) {
	limit := min(max(int(in.GetLimit()), 1), maxReadRecords)
	records, end, err := s.cfg.Records.Records(ctx, journal.Offset(in.GetFrom()), in.GetHistory(), limit)
	switch {
	case errors.Is(err, follower.ErrLogDiverged):
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	case errors.Is(err, follower.ErrNotRetained):
		return nil, twirp.NewError(twirp.OutOfRange, err.Error())
	case err != nil:
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	out := &wire.ReadRecordsResponse{First: in.GetFrom(), End: int64(end)}
	for n := 0; len(records) > 0 && (n == 0 || n+len(records[0]) <= maxReadBytes); records = records[1:] {
		n += len(records[0])
		out.Records = append(out.Records, records[0])
	}
	return out, nil
}

// ReadSnapshot returns one chunk of a snapshot. A request without an ID creates a
// new snapshot, which replaces the previous one; requests for a chunk of an older
// snapshot fail, and the peer starts again.
func (s *Server) ReadSnapshot(ctx context.Context, in *wire.ReadSnapshotRequest) (*wire.ReadSnapshotResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if in.GetId() == "" {
		if err := s.makeSnapshot(ctx); err != nil {
			return nil, twirp.NewError(twirp.Unavailable, err.Error())
		}
	} else if in.GetId() != string(s.snapshotID) {
		return nil, twirp.NewError(twirp.FailedPrecondition, "another snapshot was made meanwhile")
	}
	i := int(in.GetIndex())
	if i < 0 || i >= len(s.snapshotChunks) {
		return nil, twirp.NewError(twirp.OutOfRange, "no such chunk")
	}
	b, err := json.Marshal(s.snapshotChunks[i])
	if err != nil {
		return nil, twirp.NewError(twirp.Internal, err.Error())
	}
	if i == len(s.snapshotChunks)-1 {
		s.snapshotID, s.snapshotChunks = "", nil
	}
	return &wire.ReadSnapshotResponse{Chunk: b}, nil
}

func (s *Server) makeSnapshot(ctx context.Context) error {
	snap, err := s.cfg.Records.Snapshot(ctx)
	if err != nil {
		return err
	}
	id := newSnapshotID()
	chunks, err := journal.Split(snap, id)
	if err != nil {
		return err
	}
	s.snapshotID, s.snapshotChunks = id, chunks
	return nil
}

// Claim handles a claim on an idempotency key.
func (s *Server) Claim(ctx context.Context, in *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	if s.cfg.Claims == nil {
		return &wire.ClaimResponse{State: wire.ClaimResponse_STATE_UNKNOWN}, nil
	}
	return s.cfg.Claims.Claim(ctx, in)
}

// TellLoad exchanges reports of the load on backend servers.
func (s *Server) TellLoad(ctx context.Context, in *wire.BackendLoads) (*wire.BackendLoads, error) {
	if s.cfg.Loads == nil {
		return &wire.BackendLoads{}, nil
	}
	return s.cfg.Loads.TellLoad(ctx, in)
}
