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
	// maxReadRecords and maxReadBytes bound one answer with records.
	maxReadRecords = 1000
	maxReadBytes   = 4 << 20
)

// Records gives the applied records and snapshots of this host.
type Records interface {
	Records(ctx context.Context, from journal.Offset, history uint64, limit int) ([][]byte, journal.Offset, error)
	Snapshot(ctx context.Context) (journal.Snapshot, error)
}

// Claims answers claims of peers on idempotency keys.
type Claims interface {
	Claim(ctx context.Context, req *wire.ClaimRequest) (*wire.ClaimResponse, error)
}

// Loads takes and gives hints of the load on backend servers.
type Loads interface {
	TellLoad(ctx context.Context, in *wire.BackendLoads) (*wire.BackendLoads, error)
}

// ServerConfig is what a server is built from.
type ServerConfig struct {
	Log       logrus.FieldLogger
	Exchanger *Exchanger
	Records   Records
	// Limits bound what one peer, or who pretends to be one, can take.
	Limits settings.Limits
	// Claims and Loads may be nil; claims are then answered as unknown.
	Claims Claims
	Loads  Loads
}

// Server answers peers.
type Server struct {
	cfg  ServerConfig
	http *http.Server

	mu sync.Mutex
	// id and chunks are of the snapshot that was asked for last.
	id     journal.SnapshotID
	chunks []journal.Chunk
}

// NewServer returns a server.
func NewServer(cfg ServerConfig) *Server {
	s := &Server{cfg: cfg}
	s.http = &http.Server{
		Handler:  http.MaxBytesHandler(wire.NewPeerServer(s), maxBodyBytes),
		ErrorLog: log.New(io.Discard, "", 0),
	}
	listener.BoundHTTP(s.http, cfg.Limits)
	return s
}

// Serve answers on the listener until Close.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "serving peers")
	}
	return nil
}

// Close ends Serve.
func (s *Server) Close() {
	_ = s.http.Close()
}

// Exchange takes the heartbeats that a peer knows and returns those known here.
func (s *Server) Exchange(ctx context.Context, in *wire.Heartbeats) (*wire.Heartbeats, error) {
	beats, err := s.cfg.Exchanger.answer(ctx, Decode(in))
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return Encode(beats), nil
}

// ReadRecords returns applied records.
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

// ReadSnapshot returns one chunk. The first call makes a new snapshot; asking for
// a chunk of an older one ends with an error, and the peer begins anew.
func (s *Server) ReadSnapshot(ctx context.Context, in *wire.ReadSnapshotRequest) (*wire.ReadSnapshotResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if in.GetId() == "" {
		if err := s.makeSnapshot(ctx); err != nil {
			return nil, twirp.NewError(twirp.Unavailable, err.Error())
		}
	} else if in.GetId() != string(s.id) {
		return nil, twirp.NewError(twirp.FailedPrecondition, "another snapshot was made meanwhile")
	}
	i := int(in.GetIndex())
	if i < 0 || i >= len(s.chunks) {
		return nil, twirp.NewError(twirp.OutOfRange, "no such chunk")
	}
	b, err := json.Marshal(s.chunks[i])
	if err != nil {
		return nil, twirp.NewError(twirp.Internal, err.Error())
	}
	if i == len(s.chunks)-1 {
		s.id, s.chunks = "", nil
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
	s.id, s.chunks = id, chunks
	return nil
}

// Claim answers a claim on an idempotency key.
func (s *Server) Claim(ctx context.Context, in *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	if s.cfg.Claims == nil {
		return &wire.ClaimResponse{State: wire.ClaimResponse_STATE_UNKNOWN}, nil
	}
	return s.cfg.Claims.Claim(ctx, in)
}

// TellLoad exchanges hints of the load on backend servers.
func (s *Server) TellLoad(ctx context.Context, in *wire.BackendLoads) (*wire.BackendLoads, error) {
	if s.cfg.Loads == nil {
		return &wire.BackendLoads{}, nil
	}
	return s.cfg.Loads.TellLoad(ctx, in)
}
