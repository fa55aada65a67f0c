package placement

import (
	"cmp"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// teamShare is a team's queues in one pool.
type teamShare struct {
	team    inventory.TeamID
	pool    *poolState
	cursors []*cursor
	// borrowing is true if the team exceeds its quota.
	borrowing bool
	// share is the team's dominant share of the pool's resources divided by its weight.
	share float64
}

// update recomputes the values that order the teams.
func (t *teamShare) update(s *Scheduler) {
	used := s.used[t.team]
	t.borrowing = s.isBorrowing(t.team, inventory.Size{})
	t.share = dominantShare(used, t.pool.total) / float64(max(s.layout.Teams[t.team].Weight, 1))
}

// dominantShare returns the largest fraction that used takes of any resource of total.
func dominantShare(used, total inventory.Size) float64 {
	return max(
		float64(used.Cores)/float64(max(total.Cores, 1)),
		float64(used.Memory)/float64(max(total.Memory, 1)),
		float64(used.Accelerators)/float64(max(total.Accelerators, 1)),
	)
}

// oldestCursor returns the index of the cursor with the oldest job.
func (t *teamShare) oldestCursor() int {
	best := 0
	for i, c := range t.cursors {
		if c.job.Sequence < t.cursors[best].job.Sequence {
			best = i
		}
	}
	return best
}

func (t *teamShare) remove(i int) {
	last := len(t.cursors) - 1
	t.cursors[i] = t.cursors[last]
	t.cursors = t.cursors[:last]
}

// shareHeap is a heap.Interface with the team to serve next at its top.
type shareHeap struct {
	shares []*teamShare
	byKey  map[shareKey]*teamShare
}

type shareKey struct {
	team inventory.TeamID
	pool inventory.PoolID
}

func (h *shareHeap) addQueue(s *Scheduler, c *cursor) {
	if h.byKey == nil {
		h.byKey = make(map[shareKey]*teamShare)
	}
	k := shareKey{c.queue.key.team, c.pool.id}
	t, ok := h.byKey[k]
	if !ok {
		t = &teamShare{team: k.team, pool: c.pool}
		t.update(s)
		h.byKey[k] = t
		h.shares = append(h.shares, t)
	}
	t.cursors = append(t.cursors, c)
}

// Len returns the number of teams.
func (h *shareHeap) Len() int {
	return len(h.shares)
}

// Less orders teams within their quota first, then by share, then by name.
func (h *shareHeap) Less(i, j int) bool {
	a, b := h.shares[i], h.shares[j]
	if a.borrowing != b.borrowing {
		return b.borrowing
	}
	return cmp.Or(cmp.Compare(a.share, b.share), cmp.Compare(a.team, b.team), cmp.Compare(a.pool.id, b.pool.id)) < 0
}

// Swap exchanges two teams.
func (h *shareHeap) Swap(i, j int) {
	h.shares[i], h.shares[j] = h.shares[j], h.shares[i]
}

// Push adds a team.
func (h *shareHeap) Push(x any) {
	h.shares = append(h.shares, x.(*teamShare))
}

// Pop removes the last team.
func (h *shareHeap) Pop() any {
	last := len(h.shares) - 1
	t := h.shares[last]
	h.shares = h.shares[:last]
	return t
}
