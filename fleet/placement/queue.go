package placement

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/label"
)

// queueKey names a queue: jobs that go to the same pool, count for the same
// team and need about the same size.
type queueKey struct {
	owner    inventory.OwnerID
	team     inventory.TeamID
	labels   string
	template string
	size     inventory.Size
	urgent   bool
}

// keyOf returns the key of the job's queue. The declared size is rounded up to
// powers of two, so that the number of queues stays small.
func keyOf(j *Job) queueKey {
	d := j.Declared
	return queueKey{
		owner: j.Owner, team: j.Team, labels: j.Labels.String(), template: j.Template, urgent: j.Urgent,
		size: inventory.Size{
			Cores:        inventory.Cores(roundUp(int64(d.Cores))),
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

// queue is a list of queued jobs in order of acceptance, oldest first.
type queue struct {
	key         queueKey
	labels      label.Set
	first, last *Job
	n           int
}

// add puts the job at its place by sequence. New jobs go to the end at once; a
// job that comes back for another attempt goes near the front.
func (q *queue) add(j *Job) {
	before := q.last
	if q.first != nil && j.Sequence < q.first.Sequence {
		before = nil
	}
	for before != nil && before.Sequence > j.Sequence {
		before = before.previous
	}
	q.insertBehind(before, j)
	j.queue = q
	q.n++
}

func (q *queue) insertBehind(before, j *Job) {
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

// remove takes the job out.
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
	q.n--
}

// queues is all queues that hold a job.
type queues struct {
	byKey map[queueKey]*queue
	// version counts additions and removals of jobs.
	version int64
}

func newQueues() *queues {
	return &queues{byKey: make(map[queueKey]*queue)}
}

func (s *queues) add(j *Job) {
	k := keyOf(j)
	q, ok := s.byKey[k]
	if !ok {
		q = &queue{key: k, labels: j.Labels}
		s.byKey[k] = q
	}
	q.add(j)
	s.version++
}

// remove takes a queued job out at a cost that does not depend on the number of
// jobs.
func (s *queues) remove(j *Job) {
	q := j.queue
	q.remove(j)
	if q.n == 0 {
		delete(s.byKey, q.key)
	}
	s.version++
}

// inOrder returns the queues of a class, that with the oldest job first.
func (s *queues) inOrder(urgent bool) []*queue {
	var all []*queue
	for _, q := range s.byKey {
		if q.key.urgent == urgent {
			all = append(all, q)
		}
	}
	slices.SortFunc(all, func(a, b *queue) int { return cmp.Compare(a.first.Sequence, b.first.Sequence) })
	return all
}
