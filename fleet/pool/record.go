package pool

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/lease"
	"github.com/godwitcross/godwitcross/fleet/wave"
)

// DutyKeeper guards all records and commands that drain, reboot or move hosts.
const DutyKeeper lease.Duty = "Keeper"

// Kinds of pool and wave records.
const (
	KindGrant    journal.Kind = "Pool.Grant"
	KindReboot   journal.Kind = "Pool.Reboot"
	KindHandOver journal.Kind = "Pool.HandOver"
	KindAdmit    journal.Kind = "Pool.Admit"
	KindRelease  journal.Kind = "Pool.GiveBack"
	KindHealth   journal.Kind = "Pool.Health"
	KindPass     journal.Kind = "Wave.Pass"
	KindFinish   journal.Kind = "Wave.Finish"
)

// Errors that reject a record. A record about several hosts is rejected only if it can
// be applied to none of them.
var (
	ErrUnguarded = eris.New("the record is not guarded by the keeper's duty")
	ErrHost      = eris.New("no such host")
	ErrWave      = eris.New("the wave does not ask for this host")
	ErrPhase     = eris.New("the host is in another phase")
	ErrTarget    = eris.New("the host is not wanted there")
	ErrFailed    = eris.New("the host has failed")
	ErrNoChange  = eris.New("the record changes nothing")
)

// Request asks to drain one host, for a move or a reboot.
type Request struct {
	Host inventory.HostID
	// Wave and Pass are empty for a move.
	Wave inventory.WaveID `json:",omitempty"`
	Pass wave.Pass        `json:",omitempty"`
}

// Grant asks to drain hosts, in order of priority. Each request is granted if the
// budgets of the host's pool, data centre and rack allow it when the record is applied.
type Grant struct {
	Requests []Request
}

// Reboot starts the reboot of drained hosts. It is in the log before the command is sent
// to the platform, so no holder of the duty repeats the reboot.
type Reboot struct {
	Hosts []inventory.HostID
}

// Move is the change of one host from a pool to another.
type Move struct {
	Host     inventory.HostID
	From, To inventory.PoolID
}

// HandOver transfers drained hosts to their new pools. It is the only record of this
// package that changes the pool of a host.
type HandOver struct {
	Moves []Move
}

// Admit records that the platform has admitted hosts.
type Admit struct {
	Hosts []inventory.HostID
}

// Release releases draining hosts before they are rebooted or handed over.
type Release struct {
	Hosts []inventory.HostID
	Why   string
}

// Health records which hosts failed and which recovered, in one record, so that
// simultaneous failures are applied together.
type Health struct {
	Failed   []inventory.HostID `json:",omitempty"`
	Returned []inventory.HostID `json:",omitempty"`
}

// Pass starts the next pass of a wave.
type Pass struct {
	Wave     inventory.WaveID
	Pass     wave.Pass
	Forecast time.Time `json:",omitzero"`
}

// Finish records that a pass has no host left to reboot.
type Finish struct {
	Wave inventory.WaveID
	Pass wave.Pass
}
