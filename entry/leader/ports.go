// Package leader runs the scheduler on the entry host that is the owner: it feeds
// it with what the store, the workers and the platform say and carries out what it
// decides. The scheduler belongs to one task; calls run beside it and answer by
// messages.
package leader

import (
	"context"
	"time"

	"github.com/godwitcross/godwitcross/entry/store"
	"github.com/godwitcross/godwitcross/fleet/queue"
	"github.com/godwitcross/godwitcross/fleet/scheduling"
)

// Workers carries out orders to workers. Each call is sent once.
type Workers interface {
	Start(ctx context.Context, o scheduling.Start) scheduling.Answer
	Stop(ctx context.Context, o scheduling.Stop) scheduling.Answer
	Hold(ctx context.Context, o scheduling.Hold) (scheduling.Answer, scheduling.Report)
	Pace(ctx context.Context, o scheduling.Pace) scheduling.Answer
}

// Hosts lists and orders the hosts of the fleet.
type Hosts interface {
	List(ctx context.Context) ([]scheduling.Host, error)
	Move(ctx context.Context, o scheduling.Move) scheduling.Outcome
	Maintain(ctx context.Context, o scheduling.Maintain) scheduling.Outcome
}

// Adviser knows which workers may run a step.
type Adviser interface {
	Advise(ctx context.Context, o scheduling.Advise) ([]scheduling.AllowedWorker, time.Duration, error)
}

// Publication is one record of the operators.
type Publication struct {
	// Configuration is nil in other publications.
	Configuration *queue.Configuration
	// Wave is nil in other publications.
	Wave *scheduling.Wave
}

// Decoder reads records that others write.
type Decoder interface {
	// Publication reads a record of the operators; one that is empty says nothing.
	Publication(r store.Record) (Publication, error)
	// Worker reads a worker's entry.
	Worker(r store.Record) (scheduling.Entry, error)
	// WorkerID returns whose entry a record is, also when the entry is gone.
	WorkerID(r store.Record) scheduling.WorkerID
	// WaveStatus writes what operators are told of a wave.
	WaveStatus(w scheduling.ReportWave) (store.Record, error)
}
