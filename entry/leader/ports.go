// Package leader runs the scheduler on the entry host that is the leader. It feeds the
// scheduler with input from the store, the workers and the platform and carries out its
// decisions. One goroutine owns the scheduler; calls run in others and return their results
// to it as events. It belongs to the program godwitcross.
package leader

import (
	"context"
	"time"

	"github.com/godwitcross/godwitcross/entry/store"
	"github.com/godwitcross/godwitcross/fleet/queue"
	"github.com/godwitcross/godwitcross/fleet/scheduling"
)

// Workers sends orders to workers. A call is sent once and never retried.
type Workers interface {
	Start(ctx context.Context, o scheduling.Start) scheduling.Answer
	Stop(ctx context.Context, o scheduling.Stop) scheduling.Answer
	Hold(ctx context.Context, o scheduling.Hold) (scheduling.Answer, scheduling.Report)
	Pace(ctx context.Context, o scheduling.Pace) scheduling.Answer
}

// Hosts lists the hosts of the fleet and sends orders for them.
type Hosts interface {
	List(ctx context.Context) ([]scheduling.Host, error)
	Move(ctx context.Context, o scheduling.Move) scheduling.Outcome
	Maintain(ctx context.Context, o scheduling.Maintain) scheduling.Outcome
}

// Adviser returns the workers that may run a step and how long the answer is valid.
type Adviser interface {
	Advise(ctx context.Context, o scheduling.Advise) ([]scheduling.AllowedWorker, time.Duration, error)
}

// Publication is one decoded record of the operators.
type Publication struct {
	// Configuration is nil in other publications.
	Configuration *queue.Configuration
	// Wave is nil in other publications.
	Wave *scheduling.Wave
}

// Decoder converts records whose format the platform defines.
type Decoder interface {
	// Publication decodes a record of the operators. An empty record gives an empty
	// publication.
	Publication(r store.Record) (Publication, error)
	// Worker decodes a worker's registry entry.
	Worker(r store.Record) (scheduling.Entry, error)
	// WorkerID returns the worker that a registry record is about, also for a record that
	// deletes the entry.
	WorkerID(r store.Record) scheduling.WorkerID
	// WaveStatus encodes the status of a wave for the operators.
	WaveStatus(w scheduling.ReportWave) (store.Record, error)
}
