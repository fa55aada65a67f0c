package placement

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/label"
)

// queueKey identifies a queue: jobs that go to the same pool, count for the same team
// and need about the same size.
type queueKey struct {
	owner    inventory.OwnerID
	team     inventory.TeamID
	labels   string
	template string
	size     inventory.Size
	urgent   bool
}

// keyOf returns the key of the job's queue. The declared size is rounded up to powers of
// two to keep the number of queues small.
func keyOf(j *Job) queueKey {
	d := j.Declared
	return queueKey{
		owner: j.Owner, team: j.Team, labels: j.Labels.String(), template: j.Template, urgent: j.Urgent,
		size: inventory.Size{
			Cores:        inventory.Millicores(roundUp(int64(d.Cores))),
			Memory:       inventory.Bytes(roundUp(int64(d.Memory))),
			Accelerators: inventory.Accelerators(roundUp(int64(d.Accelerators))),
		},
	}
}

// roundUp returns the smallest power of two that is at least n.
func roundUp(n int64) int64 {
	if n <= 1 {
		return max(n, 0)
	}
	return 1 << bits.Len64(uint64(n-1))
}

// queue is a doubly linked list of queued jobs in order of acceptance, oldest first.
type queue struct {
	key         queueKey
	labels      label.Set
	first, last *Job
	length      int
}

// add inserts the job in order of sequence. A new job is appended in constant time; a
// job that is queued for another attempt goes near the front.
func (q *queue) add(j *Job) {
	before := q.last
	if q.first != nil && j.Sequence < q.first.Sequence {
		before = nil
	}
	for before != nil && before.Sequence > j.Sequence {
		before = before.previous
	}
	q.insertAfter(before, j)
	j.queue = q
	q.length++
}

func (q *queue) insertAfter(before, j *Job) {
	j.previous = before
	if before == nil {
		j.next, q.first = q.first, j
	} else {
		j.next, before.next = before.next, j
	}
	if j.next == nil {
		q.last = j
	} else {
		j.next.previous = j
	}
}

func (q *queue) remove(j *Job) {
	if j.previous == nil {
		q.first = j.next
	} else {
		j.previous.next = j.next
	}
	if j.next == nil {
		q.last = j.previous
	} else {
		j.next.previous = j.previous
	}
	j.queue, j.previous, j.next = nil, nil, nil
	q.length--
}

// groupKey identifies jobs that go to the same pool.
type groupKey struct {
	owner  inventory.OwnerID
	labels string
}

// group holds the queues of jobs that go to the same pool. It has no empty queue.
type group struct {
	labels label.Set
	normal map[queueKey]*queue
	urgent map[queueKey]*queue
	// version counts additions and removals of jobs.
	version int64
}

func (g *group) queuesOf(urgent bool) map[queueKey]*queue {
	if urgent {
		return g.urgent
	}
	return g.normal
}

// queueSet holds all queued jobs by group.
type queueSet struct {
	groups map[groupKey]*group
	// urgent counts queued urgent jobs.
	urgent int
	// version counts additions and removals of groups.
	version int64
}

func newQueueSet() *queueSet {
	return &queueSet{groups: make(map[groupKey]*group)}
}

func (s *queueSet) add(j *Job) {
	k := keyOf(j)
	gk := groupKey{k.owner, k.labels}
	g, ok := s.groups[gk]
	if !ok {
		g = &group{labels: j.Labels, normal: make(map[queueKey]*queue), urgent: make(map[queueKey]*queue)}
		s.groups[gk] = g
		s.version++
	}
	of := g.queuesOf(k.urgent)
	q, ok := of[k]
	if !ok {
		q = &queue{key: k, labels: j.Labels}
		of[k] = q
	}
	q.add(j)
	// Equal values are shared by the jobs of a queue to save memory.
	j.Labels, j.Owner, j.Team, j.Template = g.labels, q.key.owner, q.key.team, q.key.template
	g.version++
	if k.urgent {
		s.urgent++
	}
}

// remove removes a queued job in constant time.
func (s *queueSet) remove(j *Job) {
	q := j.queue
	gk := groupKey{q.key.owner, q.key.labels}
	g := s.groups[gk]
	q.remove(j)
	g.version++
	if q.key.urgent {
		s.urgent--
	}
	if q.length > 0 {
		return
	}
	delete(g.queuesOf(q.key.urgent), q.key)
	if len(g.normal)+len(g.urgent) == 0 {
		delete(s.groups, gk)
		s.version++
	}
}

// urgentInOrder returns the queues of urgent jobs, the one with the oldest job first.
func (s *queueSet) urgentInOrder() []*queue {
	var all []*queue
	for _, g := range s.groups {
		for _, q := range g.urgent {
			all = append(all, q)
		}
	}
	slices.SortFunc(all, func(a, b *queue) int { return cmp.Compare(a.first.Sequence, b.first.Sequence) })
	return all
}
