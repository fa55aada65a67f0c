package pool

import (
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/wave"
)

// PlatformState is the state of a host according to the platform.
type PlatformState string

// The states of a host according to the platform.
const (
	PlatformAdmitted  PlatformState = "Admitted"
	PlatformDraining  PlatformState = "Draining"
	PlatformDrained   PlatformState = "Drained"
	PlatformRebooting PlatformState = "Rebooting"
)

// PlatformHost is a host as the platform reports it.
type PlatformHost struct {
	ID    inventory.HostID
	State PlatformState
	// Reboot identifies the last reboot that the platform started.
	Reboot wave.RebootID `json:",omitempty"`
}

// Verb is the action of a command. Every command is idempotent.
type Verb string

// The verbs of commands.
const (
	Drain        Verb = "drain"
	RestartHost  Verb = "reboot"
	AdmitToSlots Verb = "admit"
)

// Command is one command to the platform.
type Command struct {
	Host inventory.HostID
	Verb Verb
	// Reboot is set for a reboot. The platform runs each reboot ID once.
	Reboot wave.RebootID `json:",omitempty"`
}

// step is the next action for one host. At most one field is set.
type step struct {
	command  Verb
	reboot   bool
	handOver bool
	admit    bool
}

// nextStep compares the state of a host with the one that the platform reported, if it
// is known. The step depends on nothing else, so a new holder of the duty continues where
// the previous one stopped.
func nextStep(h Host, reported PlatformHost, known bool) step {
	switch h.Phase {
	case Draining:
		return nextDrainingStep(h, reported, known)
	case Rebooting:
		return nextRebootingStep(h, reported, known)
	case Returning, Joining:
		if h.Phase == Joining && h.Desired != h.Pool && reported.State == PlatformDrained {
			return step{handOver: true}
		}
		if known && reported.State == PlatformAdmitted {
			return step{admit: true}
		}
		return step{command: AdmitToSlots}
	}
	if !h.Failed && known && reported.State != PlatformAdmitted && reported.State != PlatformRebooting {
		return step{command: AdmitToSlots}
	}
	return step{}
}

func nextDrainingStep(h Host, reported PlatformHost, known bool) step {
	switch {
	case !known || reported.State == PlatformAdmitted:
		return step{command: Drain}
	case reported.State == PlatformDrained && h.Wave == "":
		return step{handOver: true}
	case reported.State == PlatformDrained:
		return step{reboot: true}
	}
	return step{}
}

func nextRebootingStep(h Host, reported PlatformHost, known bool) step {
	done := reported.Reboot == h.Reboot
	switch {
	case !known:
		// The answer to this command shows whether the reboot ran.
		return step{command: AdmitToSlots}
	case reported.State == PlatformAdmitted && done:
		return step{admit: true}
	case reported.State == PlatformAdmitted:
		return step{command: Drain}
	case reported.State == PlatformDrained && done:
		return step{command: AdmitToSlots}
	case reported.State == PlatformDrained:
		return step{command: RestartHost}
	}
	return step{}
}
