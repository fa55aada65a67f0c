package configuration

import (
	"slices"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/rotisserie/eris"
)

// ErrNotAuthorized is returned for a change that its author is not authorized to make.
var ErrNotAuthorized = eris.New("not allowed")

// Authorize returns an error that names the first object, in key order, that the
// author is not authorized to change. A change of an object needs the approval of its
// owner, both the one before and the one after the change. An object without a sole
// owner needs the approval of all owners. The author approves on behalf of its own
// owner; approvals are the other owners that proposed the same change. A
// configuration without operators accepts a change by anyone, so that the first
// operators can be published.
func (cfg Configuration) Authorize(by inventory.OperatorID, c Change, approvals []inventory.OwnerID) error {
	if len(cfg.Operators) == 0 {
		return nil
	}
	author, ok := cfg.Operators[by]
	if !ok {
		return eris.Wrapf(ErrNotAuthorized, "operator %q is not known", by)
	}
	for _, k := range c.Touched() {
		for _, w := range cfg.requiredApprovers(k, c.Set) {
			if w != author.Owner && !slices.Contains(approvals, w) {
				return eris.Wrapf(ErrNotAuthorized, "%s needs the agreement of %s, and operator %s publishes for %s", k, w, by, author.Owner)
			}
		}
	}
	return cfg.checkOperatorsRemain(c)
}

// requiredApprovers returns the owners whose approval a change of the object needs, in
// the order of the checks. An owner without operators can't approve, so all owners that
// have operators must.
func (cfg Configuration) requiredApprovers(k Key, set Objects) []inventory.OwnerID {
	all := cfg.ownersWithOperators()
	var approvers []inventory.OwnerID
	for _, o := range []Objects{cfg.Objects, set} {
		if !accessors[k.Kind].has(o, k.Name) {
			continue
		}
		w, ok := o.soleOwner(k)
		if !ok || !slices.Contains(all, w) {
			return all
		}
		if !slices.Contains(approvers, w) {
			approvers = append(approvers, w)
		}
	}
	if k.Kind == KindOwner && !accessors[KindOwner].has(set, k.Name) {
		return all
	}
	return approvers
}

// soleOwner returns the owner that may change the object without the approval of
// others. An owner decides on its own Owner object and its operators; data centres
// belong to all owners.
func (o Objects) soleOwner(k Key) (inventory.OwnerID, bool) {
	switch k.Kind {
	case KindOwner:
		return inventory.OwnerID(k.Name), true
	case KindOperator:
		return o.Operators[inventory.OperatorID(k.Name)].Owner, true
	}
	return o.OwnerOf(k)
}

// ownersWithOperators returns the owners that have an operator, sorted.
func (o Objects) ownersWithOperators() []inventory.OwnerID {
	var all []inventory.OwnerID
	for _, p := range o.Operators {
		if !slices.Contains(all, p.Owner) {
			all = append(all, p.Owner)
		}
	}
	slices.Sort(all)
	return all
}

// checkOperatorsRemain returns an error if an owner that remains would lose its last
// operator, since no one could change its objects any more.
func (cfg Configuration) checkOperatorsRemain(c Change) error {
	next := cfg.Objects
	accessors[KindOperator].merge(&next, c.Set)
	accessors[KindOwner].merge(&next, c.Set)
	for _, k := range c.Delete {
		accessors[k.Kind].remove(&next, k.Name)
	}
	remaining := next.ownersWithOperators()
	for _, w := range cfg.ownersWithOperators() {
		if _, stays := next.Owners[w]; stays && !slices.Contains(remaining, w) {
			return eris.Wrapf(ErrNotAuthorized, "Owner/%s would be left without an operator", w)
		}
	}
	return nil
}

// PublishesFor returns the owner on whose behalf the operator publishes. While no
// operators are configured it is empty, which stands for every owner.
func (cfg Configuration) PublishesFor(by inventory.OperatorID) (inventory.OwnerID, error) {
	if len(cfg.Operators) == 0 {
		return "", nil
	}
	author, ok := cfg.Operators[by]
	if !ok {
		return "", eris.Wrapf(ErrNotAuthorized, "operator %q is not known", by)
	}
	return author.Owner, nil
}
