package ownership

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

// Signs gives an owner's signs of life and proves with each that it still owns.
type Signs struct {
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

// ErrStronger says that the owner gave way to a host with more of a core.
var ErrStronger = eris.New("a stronger host is there")

// yieldAfter is how long an owner has owned before it gives way to a stronger host.
const yieldAfter = 3 * time.Second

// Run gives signs until the context ends or another owner is met, which is
// store.ErrFenced.
func (s *Signs) Run(ctx context.Context) error {
	began := s.Now()
	for ctx.Err() == nil {
		sentAt := s.Now()
		err := s.give(ctx, false, false)
		switch {
		case err == nil:
			s.Confirmed(sentAt)
			if s.Now().Sub(began) > time.Duration(s.Term+1)*yieldAfter && s.isWeak() {
				return ErrStronger
			}
		case errors.Is(err, store.ErrFenced):
			return err
		case ctx.Err() == nil:
			s.Log.WithField("Error", err.Error()).Debug("sign not given")
		}
		clock.Pause(ctx, SignEvery-s.Now().Sub(sentAt))
	}
	return ctx.Err()
}

// isWeak reports whether a much stronger host is there.
func (s *Signs) isWeak() bool {
	return slices.ContainsFunc(s.Peers(), func(p relay.Peer) bool { return p.Share > strongerBy*s.Self.Share })
}

// Release tells that this owner stops.
func (s *Signs) Release(ctx context.Context, stopping bool) error {
	return s.give(ctx, true, stopping)
}

func (s *Signs) give(ctx context.Context, released, stopping bool) error {
	b, err := json.Marshal(Sign{Epoch: s.Epoch, Host: s.Self, Peers: s.Peers(), Released: released, Stopping: stopping})
	if err != nil {
		return err
	}
	res, err := s.Store.Append(ctx, store.Append{
		Stream:  store.Owner,
		Records: []store.Record{{Key: keySign, Value: b}},
		Fence:   &store.Fence{Producer: Producer, Epoch: s.Epoch, Seq: s.seq},
	})
	switch {
	case err == nil:
		s.seq++
	case errors.Is(err, store.ErrSequence):
		// A sign without an answer was taken after all.
		s.seq = res.Seq
	}
	return err
}
