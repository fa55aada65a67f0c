package bill

import (
	"cmp"
	"slices"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// Share is the amounts that one pool of an owner is charged for.
type Share struct {
	// HostTime is the time for which hosts belonged to the pool.
	HostTime HostTime
	// Capacity is the core time of these hosts. It equals Used plus Idle.
	Capacity CoreTime
	Used     CoreTime
	// Idle is the core time that the pool held but did not use.
	Idle CoreTime
	// Late is core time that was used in a closed period and reported after its end. It
	// was charged as idle in that period.
	Late CoreTime
}

// add returns the sum of s and o.
func (s Share) add(o Share) Share {
	return Share{
		HostTime: s.HostTime + o.HostTime, Capacity: s.Capacity + o.Capacity,
		Used: s.Used + o.Used, Idle: s.Idle + o.Idle, Late: s.Late + o.Late,
	}
}

// poolKey identifies a pool of an owner.
type poolKey struct {
	owner inventory.OwnerID
	pool  inventory.PoolID
}

// Line is a line of a statement, with the share of one pool.
type Line struct {
	Owner inventory.OwnerID
	Pool  inventory.PoolID
	Share
}

// shares accumulates shares by pool.
type shares map[poolKey]Share

func (s shares) add(k poolKey, o Share) {
	s[k] = s[k].add(o)
}

// correct moves core time between accounts.
func (s shares) correct(c Correction) {
	move := func(a Account, n CoreTime) {
		o := Share{Capacity: n}
		if a.Use == Used {
			o.Used = n
		} else {
			o.Idle = n
		}
		s.add(poolKey{a.Owner, a.Pool}, o)
	}
	move(c.From, -c.Amount)
	move(c.To, c.Amount)
}

// lines returns the shares, sorted by owner and pool.
func (s shares) lines() []Line {
	out := make([]Line, 0, len(s))
	for k, v := range s {
		out = append(out, Line{Owner: k.owner, Pool: k.pool, Share: v})
	}
	slices.SortFunc(out, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Pool, b.Pool))
	})
	return out
}

// ByOwner returns the sum of the lines of each owner, sorted by owner.
func ByOwner(lines []Line) []Line {
	sums := make(shares)
	for _, l := range lines {
		sums.add(poolKey{owner: l.Owner}, l.Share)
	}
	return sums.lines()
}

// Sum returns the sum of all lines.
func Sum(lines []Line) Share {
	var sum Share
	for _, l := range lines {
		sum = sum.add(l.Share)
	}
	return sum
}

// Statement is the bill of a period.
type Statement struct {
	From, To Moment
	Lines    []Line
	// Chain is the link of the last record that the statement includes.
	Chain Link
}
