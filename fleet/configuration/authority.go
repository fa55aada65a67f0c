package configuration

import (
	"slices"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/rotisserie/eris"
)

// ErrAuthor is returned for a change that its author may not make.
var ErrAuthor = eris.New("not allowed")

// Authorize returns an error that names the first object, in order, that the
// author may not change. An object may be changed when its owner agrees, both
// the one before and the one after the change; an object that belongs to no
// single owner may be changed when all owners agree. The author agrees for the
// owner that it publishes for; consents are the other owners that proposed the
// same change. A configuration without operators takes a change by anybody, so
// that the first operators can be published.
func (cfg Configuration) Authorize(by inventory.OperatorID, c Change, consents []inventory.OwnerID) error {
	if len(cfg.Operators) == 0 {
		return nil
	}
	author, ok := cfg.Operators[by]
	if !ok {
		return eris.Wrapf(ErrAuthor, "operator %q is not known", by)
	}
	for _, k := range c.Touched() {
		for _, w := range cfg.requiredApprovers(k, c.Set) {
			if w != author.Owner && !slices.Contains(consents, w) {
				return eris.Wrapf(ErrAuthor, "%s needs the agreement of %s, and operator %s publishes for %s", k, w, by, author.Owner)
			}
		}
	}
	return cfg.checkOperatorsRemain(c)
}

// requiredApprovers returns the owners that must agree before the object is changed, in
// order. An owner without operators can't be asked, so all others are.
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

// soleOwner returns the owner that decides about the object alone. An owner's
// own object and its operators are its own; data centres are everybody's.
func (o Objects) soleOwner(k Key) (inventory.OwnerID, bool) {
	switch k.Kind {
	case KindOwner:
		return inventory.OwnerID(k.Name), true
	case KindOperator:
		return o.Operators[inventory.OperatorID(k.Name)].Owner, true
	}
	return o.OwnerOf(k)
}

// ownersWithOperators returns the owners that somebody can publish for, in order.
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

// checkOperatorsRemain returns an error if an owner that stays would lose its last
// operator, since nobody could then change what is its own.
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
			return eris.Wrapf(ErrAuthor, "Owner/%s would be left without an operator", w)
		}
	}
	return nil
}

// PublishesFor returns the owner that the operator publishes for. While there
// are no operators it is empty, which stands for every owner.
func (cfg Configuration) PublishesFor(by inventory.OperatorID) (inventory.OwnerID, error) {
	if len(cfg.Operators) == 0 {
		return "", nil
	}
	author, ok := cfg.Operators[by]
	if !ok {
		return "", eris.Wrapf(ErrAuthor, "operator %q is not known", by)
	}
	return author.Owner, nil
}
