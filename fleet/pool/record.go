package pool

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/lease"
	"github.com/godwitcross/godwitcross/fleet/wave"
)

// DutyKeeper guards all records and commands that disturb hosts.
const DutyKeeper lease.Duty = "Keeper"

// Kinds of the records of pools and waves.
const (
	KindGrant    journal.Kind = "Pool.Grant"
	KindReboot   journal.Kind = "Pool.Reboot"
	KindHandOver journal.Kind = "Pool.HandOver"
	KindAdmit    journal.Kind = "Pool.Admit"
	KindGiveBack journal.Kind = "Pool.GiveBack"
	KindHealth   journal.Kind = "Pool.Health"
	KindPass     journal.Kind = "Wave.Pass"
	KindFinish   journal.Kind = "Wave.Finish"
)

// Errors of records. A record about several hosts is rejected only if it holds
// for none of them.
var (
	ErrUnguarded = eris.New("the record is not guarded by the keeper's duty")
	ErrHost      = eris.New("no such host")
	ErrWave      = eris.New("the wave does not ask for this host")
	ErrPhase     = eris.New("the host is in another phase")
	ErrTarget    = eris.New("the host is not wanted there")
	ErrFailed    = eris.New("the host has failed")
	ErrNothing   = eris.New("the record changes nothing")
)

// Request asks to disturb one host.
type Request struct {
	Host inventory.HostID
	// Wave and Pass are empty for a move.
	Wave inventory.WaveID `json:",omitempty"`
	Pass wave.Pass        `json:",omitempty"`
}

// Grant asks to disturb hosts, the first one first. Each is granted if the
// budgets of its pool, data centre and rack have room at the fold.
type Grant struct {
	Requests []Request
}

// Reboot starts the reboot of drained hosts. It stands in the log before the
// command goes to the platform, so no holder of the duty repeats it.
type Reboot struct {
	Hosts []inventory.HostID
}

// Move is one host that changes its pool.
type Move struct {
	Host     inventory.HostID
	From, To inventory.PoolID
}

// HandOver gives drained hosts to their new pools. Ownership changes here and
// nowhere else.
type HandOver struct {
	Moves []Move
}

// Admit says that the platform has admitted hosts.
type Admit struct {
	Hosts []inventory.HostID
}

// GiveBack ends the drain of hosts that were not rebooted or handed over.
type GiveBack struct {
	Hosts []inventory.HostID
	Why   string
}

// Health says which hosts failed and which came back, all at once.
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

// Finish says that no host of a pass is left.
type Finish struct {
	Wave inventory.WaveID
	Pass wave.Pass
}
