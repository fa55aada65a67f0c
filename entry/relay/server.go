package relay

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/clock"
	"github.com/godwitcross/godwitcross/entry/store"
)

const (
	// busyRetryDelay is the delay before a relayed append that the store has rejected is tried
	// again, busyRetryTime for how long that is done. An append may then still take
	// coalesceTimeout less busyRetryTime.
	busyRetryDelay = 60 * time.Millisecond
	busyRetryTime  = 1200 * time.Millisecond
)

// StateResolver answers lookups that only the leader can answer.
type StateResolver interface {
	State(ctx context.Context, r StateRequest) (StateAnswer, error)
	Waiting(ctx context.Context, r WaitingRequest) (WaitingAnswer, error)
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Log logrus.FieldLogger
	// Store is this host's direct path to the store: a relayed call is not relayed again.
	Store    store.Store
	Resolver StateResolver
	// Hello is called with each host that announces itself.
	Hello func(p Peer)
	// Leading answers whether this process leads under a claim.
	Leading func(r LeadingRequest) LeadingAnswer
}

// Server answers calls of other entry hosts.
type Server struct {
	cfg ServerConfig
}

// NewServer returns a server.
func NewServer(cfg ServerConfig) *Server {
	return &Server{cfg: cfg}
}

// Handle answers one request.
func (s *Server) Handle(rc *fasthttp.RequestCtx) {
	body, err := s.answer(rc, string(rc.Path()), rc.PostBody())
	r := newReply{Body: body}
	if err != nil {
		r.Error = errorName(err)
		s.cfg.Log.WithField("Path", string(rc.Path())).WithField("Error", err.Error()).Debug("relayed call failed")
	}
	out, err := json.Marshal(r)
	if err != nil {
		rc.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	rc.SetContentType("application/json")
	rc.SetBody(out)
}

func (s *Server) answer(ctx context.Context, path string, body []byte) (any, error) {
	switch path {
	case pathState:
		return decodeAndAnswer(body, func(r StateRequest) (StateAnswer, error) { return s.cfg.Resolver.State(ctx, r) })
	case pathWaiting:
		return decodeAndAnswer(body, func(r WaitingRequest) (WaitingAnswer, error) { return s.cfg.Resolver.Waiting(ctx, r) })
	case pathAppend:
		return decodeAndAnswer(body, func(r store.Append) (store.Appended, error) { return s.Append(ctx, r) })
	case pathRead:
		return decodeAndAnswer(body, func(r ReadRequest) (store.Page, error) { return s.cfg.Store.Read(ctx, r.Stream, r.From, r.Wait) })
	case pathNewest:
		return decodeAndAnswer(body, func(r NewestRequest) (store.Page, error) { return s.cfg.Store.Newest(ctx, r.Stream, r.After) })
	case pathHello:
		return decodeAndAnswer(body, func(p Peer) (struct{}, error) { s.cfg.Hello(p); return struct{}{}, nil })
	case pathLeading:
		return decodeAndAnswer(body, func(r LeadingRequest) (LeadingAnswer, error) { return s.cfg.Leading(r), nil })
	}
	return nil, store.ErrRefused
}

// Append appends for another host. While the stream's queue is full it tries again, since the other
// host would only add to the queue.
func (s *Server) Append(ctx context.Context, a store.Append) (store.Appended, error) {
	until := time.Now().Add(busyRetryTime)
	for {
		out, err := s.cfg.Store.Append(ctx, a)
		if !errors.Is(err, store.ErrBusy) || time.Now().After(until) || !clock.Sleep(ctx, busyRetryDelay) {
			return out, err
		}
	}
}

// decodeAndAnswer decodes a request body of type In and answers it.
func decodeAndAnswer[In, Out any](body []byte, answer func(In) (Out, error)) (any, error) {
	var in In
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, store.ErrRefused
	}
	return answer(in)
}
