package pool

import (
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/wave"
)

// PlatformState is what the platform does with a host.
type PlatformState string

// The states of a host at the platform.
const (
	PlatformAdmitted  PlatformState = "Admitted"
	PlatformDraining  PlatformState = "Draining"
	PlatformDrained   PlatformState = "Drained"
	PlatformRebooting PlatformState = "Rebooting"
)

// PlatformHost is what the platform tells of a host.
type PlatformHost struct {
	ID    inventory.HostID
	State PlatformState
	// Reboot is the identity of the last reboot that the platform began.
	Reboot wave.RebootID `json:",omitempty"`
}

// Verb is what a command asks of the platform. Every command is idempotent.
type Verb string

// The commands.
const (
	Drain        Verb = "drain"
	RestartHost  Verb = "reboot"
	AdmitToSlots Verb = "admit"
)

// Command is one command to the platform.
type Command struct {
	Host inventory.HostID
	Verb Verb
	// Reboot is set for a reboot; the platform runs each identity once.
	Reboot wave.RebootID `json:",omitempty"`
}

// step is what comes next for one host. At most one field is set.
type step struct {
	command  Verb
	reboot   bool
	handOver bool
	admit    bool
}

// nextStep compares the folded state of a host with what the platform told, if
// anything is known. The step depends on nothing else, so any holder of the duty
// goes on where the last one stopped.
func nextStep(h Host, told PlatformHost, known bool) step {
	switch h.Phase {
	case Draining:
		return nextOfDraining(h, told, known)
	case Rebooting:
		return nextOfRebooting(h, told, known)
	case Returning, Joining:
		if h.Phase == Joining && h.Desired != h.Pool && told.State == PlatformDrained {
			return step{handOver: true}
		}
		if known && told.State == PlatformAdmitted {
			return step{admit: true}
		}
		return step{command: AdmitToSlots}
	}
	if !h.Failed && known && told.State != PlatformAdmitted && told.State != PlatformRebooting {
		return step{command: AdmitToSlots}
	}
	return step{}
}

func nextOfDraining(h Host, told PlatformHost, known bool) step {
	switch {
	case !known || told.State == PlatformAdmitted:
		return step{command: Drain}
	case told.State == PlatformDrained && h.Wave == "":
		return step{handOver: true}
	case told.State == PlatformDrained:
		return step{reboot: true}
	}
	return step{}
}

func nextOfRebooting(h Host, told PlatformHost, known bool) step {
	done := told.Reboot == h.Reboot
	switch {
	case !known:
		// An answer to this command tells whether the reboot ran.
		return step{command: AdmitToSlots}
	case told.State == PlatformAdmitted && done:
		return step{admit: true}
	case told.State == PlatformAdmitted:
		return step{command: Drain}
	case told.State == PlatformDrained && done:
		return step{command: AdmitToSlots}
	case told.State == PlatformDrained:
		return step{command: RestartHost}
	}
	return step{}
}
