package configuration

import (
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/rotisserie/eris"
)

// LabelLentTo is the label with the owner to which a host is lent. Only the home
// owner can set it, since it is part of the Host object.
const LabelLentTo = "LentTo"

// Claims reports whether the pool's selector claims the host. A selector applies to
// the hosts of the pool's owner that are not lent out and to hosts lent to that owner.
// It never claims another owner's host by its labels alone.
func (p Pool) Claims(id inventory.HostID, h Host) bool {
	return p.mayClaim(h) && p.Hosts.Matches(h.AllLabels(id))
}

// mayClaim reports whether the pool's selector applies to the host, whatever the
// selector matches.
func (p Pool) mayClaim(h Host) bool {
	if lent, ok := h.Labels[LabelLentTo]; ok {
		return inventory.OwnerID(lent) == p.Owner
	}
	return h.Owner == p.Owner
}

// validateLending checks the owner to which the host is lent.
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
