package election

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/clock"
	"github.com/godwitcross/godwitcross/entry/relay"
	"github.com/godwitcross/godwitcross/entry/store"
)

// Producer is the name under which owners append their signs.
const Producer = "Owner"

// Heartbeater gives an owner's signs of life and proves with each that it still owns.
type Heartbeater struct {
	Epoch int64
	// Term numbers the owners; later ones give way later, so that ownership doesn't go
	// to and fro where the stronger host can't claim.
	Term  int64
	Self  relay.Peer
	Store store.Store
	Log   logrus.FieldLogger
	// Now is the clock on which the proof is judged.
	Now func() time.Time
	// Peers are told to all hosts.
	Peers func() []relay.Peer
	// Confirmed is told when a sign was sent that the store then took.
	Confirmed func(sentAt time.Time)

	seq int64
}

// ErrStrongerPeer says that the owner gave way to a host with more of a core.
var ErrStrongerPeer = eris.New("a stronger host is there")

// stepDownAfter is how long an owner has owned before it gives way to a stronger host.
const stepDownAfter = 3 * time.Second

// Run gives signs until the context ends or another owner is met, which is
// store.ErrFenced.
func (h *Heartbeater) Run(ctx context.Context) error {
	began := h.Now()
	for ctx.Err() == nil {
		sentAt := h.Now()
		err := h.send(ctx, false, false)
		switch {
		case err == nil:
			h.Confirmed(sentAt)
			if h.Now().Sub(began) > time.Duration(h.Term+1)*stepDownAfter && h.hasStrongerPeer() {
				return ErrStrongerPeer
			}
		case errors.Is(err, store.ErrFenced):
			return err
		case ctx.Err() == nil:
			h.Log.WithField("Error", err.Error()).Debug("sign not given")
		}
		clock.Pause(ctx, HeartbeatInterval-h.Now().Sub(sentAt))
	}
	return ctx.Err()
}

// hasStrongerPeer reports whether a much stronger host is there.
func (h *Heartbeater) hasStrongerPeer() bool {
	return slices.ContainsFunc(h.Peers(), func(p relay.Peer) bool { return p.Share > strongerFactor*h.Self.Share })
}

// Release tells that this owner stops.
func (h *Heartbeater) Release(ctx context.Context, stopping bool) error {
	return h.send(ctx, true, stopping)
}

func (h *Heartbeater) send(ctx context.Context, released, stopping bool) error {
	b, err := json.Marshal(Heartbeat{Epoch: h.Epoch, Host: h.Self, Peers: h.Peers(), Released: released, Stopping: stopping})
	if err != nil {
		return err
	}
	res, err := h.Store.Append(ctx, store.Append{
		Stream:  store.Leader,
		Records: []store.Record{{Key: keyHeartbeat, Value: b}},
		Fence:   &store.Fence{Producer: Producer, Epoch: h.Epoch, Seq: h.seq},
	})
	switch {
	case err == nil:
		h.seq++
	case errors.Is(err, store.ErrSequence):
		// A sign without an answer was taken after all.
		h.seq = res.Seq
	}
	return err
}
