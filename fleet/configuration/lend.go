package configuration

import (
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/rotisserie/eris"
)

// LabelLentTo names the owner that a host is lent to. The home owner alone sets
// it, since it stands on the host.
const LabelLentTo = "LentTo"

// Claims reports whether the pool's selector claims the host. A selector ranges
// over the hosts of the pool's owner and those that are lent to it; it never
// reaches another owner's host by its labels alone.
func (p Pool) Claims(id inventory.HostID, h Host) bool {
	return p.mayClaim(h) && p.Hosts.Matches(h.AllLabels(id))
}

// mayClaim reports whether the selector may look at the host at all.
func (p Pool) mayClaim(h Host) bool {
	if lent, ok := h.Labels[LabelLentTo]; ok {
		return inventory.OwnerID(lent) == p.Owner
	}
	return h.Owner == p.Owner
}

// validateLending checks the owner that a host is lent to.
func (o Objects) validateLending(h Host) error {
	lent, ok := h.Labels[LabelLentTo]
	if !ok {
		return nil
	}
	if inventory.OwnerID(lent) == h.Owner {
		return eris.Wrapf(ErrOwner, "label %q is the home owner %q", LabelLentTo, lent)
	}
	return eris.Wrapf(o.checkOwner(inventory.OwnerID(lent)), "label %q", LabelLentTo)
}
