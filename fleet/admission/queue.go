package admission

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/priority"
)

// MaxWaiting is the maximum number of waiting requests in one class of a service.
const MaxWaiting = 4096

// Order reports whether a is sent before b, where both belong to the same tenant and
// class.
type Order func(a, b *Item) bool

// The available orders.
var (
	// OldestFirst sends requests in order of arrival.
	OldestFirst Order = func(a, b *Item) bool { return a.seq < b.seq }
	// NewestFirst sends requests in reverse order of arrival.
	NewestFirst Order = func(a, b *Item) bool { return a.seq > b.seq }
	// EarliestDeadlineFirst sends requests in order of deadline, then of arrival.
	EarliestDeadlineFirst Order = func(a, b *Item) bool {
		if !a.Deadline.Equal(b.Deadline) {
			return a.Deadline.Before(b.Deadline)
		}
		return a.seq < b.seq
	}
)

// Item is a waiting request.
type Item struct {
	Request
	// seq increases with each arrival. A requeued request keeps its number.
	seq uint64
	// sendBy is the latest time to send the request. It expires afterwards.
	sendBy      time.Time
	tenant      *tenant
	tenantEntry *priority.Entry[*Item]
	sendByEntry *priority.Entry[*Item]
}

// Config configures a Queue.
type Config struct {
	Classes map[inventory.ClassID]configuration.Class
	Order   Order
}

// Queue holds the waiting requests of one service. Urgent classes have strict priority
// over the others. Classes of the same level, and the tenants of a class, share the
// service by weighted fair queueing.
type Queue struct {
	cfg     Config
	classes map[inventory.ClassID]*class
	// bySendBy holds all waiting requests in order of their latest send time, to find
	// expired ones.
	bySendBy *priority.Queue[*Item]
	// levels holds the priority levels, highest first.
	levels [2]level
	seq    uint64
}

// level is a priority level: requests of its classes go before those of lower levels.
type level struct {
	// active holds the classes with waiting requests, in order of virtual time.
	active *priority.Queue[*class]
	// virtualTime is the virtual time of the class served last, before that service.
	virtualTime float64
}

// class holds the waiting requests of one class.
type class struct {
	id     inventory.ClassID
	weight float64
	level  int
	// virtualTime is the service received so far, divided by the weight.
	virtualTime float64
	entry       *priority.Entry[*class]
	tenants     map[inventory.TenantID]*tenant
	// active holds the tenants with waiting requests, in order of virtual time.
	active *priority.Queue[*tenant]
	// tenantVirtualTime is the virtual time of the tenant served last, before that
	// service.
	tenantVirtualTime float64
	// activeWeight is the total weight of the tenants with waiting requests.
	activeWeight float64
	waiting      int
}

// tenant holds the waiting requests of one tenant in a class.
type tenant struct {
	class       *class
	weight      float64
	virtualTime float64
	entry       *priority.Entry[*tenant]
	items       *priority.Queue[*Item]
}

// NewQueue returns an empty queue.
func NewQueue(cfg Config) *Queue {
	q := &Queue{cfg: cfg, classes: make(map[inventory.ClassID]*class)}
	q.bySendBy = priority.NewQueue(func(a, b *Item) bool { return a.sendBy.Before(b.sendBy) })
	for i := range q.levels {
		q.levels[i].active = priority.NewQueue(func(a, b *class) bool {
			if a.virtualTime != b.virtualTime {
				return a.virtualTime < b.virtualTime
			}
			return a.id < b.id
		})
	}
	return q
}

// SetClasses replaces the configuration of the classes. A class that already exists takes
// its new weight at once and keeps its priority level.
func (q *Queue) SetClasses(classes map[inventory.ClassID]configuration.Class) {
	q.cfg.Classes = classes
	for id, c := range q.classes {
		c.weight = weightOf(classes[id].Weight)
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	return q.bySendBy.Len()
}

// Waiting returns the number of waiting requests of a class.
func (q *Queue) Waiting(id inventory.ClassID) int {
	if c, ok := q.classes[id]; ok {
		return c.waiting
	}
	return 0
}

// Push adds a request that expires if it is not sent by sendBy. The weight is that of its
// tenant and takes effect if the tenant has no other waiting request in the class.
func (q *Queue) Push(r Request, weight int, sendBy time.Time) *Item {
	q.seq++
	it := &Item{Request: r, seq: q.seq, sendBy: sendBy}
	q.insert(it, weightOf(weight))
	return it
}

// Requeue puts a popped request back at its position in the order.
func (q *Queue) Requeue(it *Item) {
	q.insert(it, it.tenant.weight)
}

func (q *Queue) insert(it *Item, weight float64) {
	c := q.classFor(it.Class)
	t := c.tenantFor(it.Tenant, q.cfg.Order)
	it.tenant = t
	it.tenantEntry = t.items.Push(it)
	it.sendByEntry = q.bySendBy.Push(it)
	c.waiting++
	if t.items.Len() == 1 {
		t.weight = weight
		c.activeWeight += weight
		t.virtualTime = max(t.virtualTime, c.tenantVirtualTime)
		t.entry = c.active.Push(t)
	}
	if c.waiting == 1 {
		l := &q.levels[c.level]
		c.virtualTime = max(c.virtualTime, l.virtualTime)
		c.entry = l.active.Push(c)
	}
}

// Pop removes and returns the next request to send.
func (q *Queue) Pop() (*Item, bool) {
	for i := range q.levels {
		l := &q.levels[i]
		c, ok := l.active.Peek()
		if !ok {
			continue
		}
		t, _ := c.active.Peek()
		it, _ := t.items.Peek()
		l.virtualTime, c.tenantVirtualTime = c.virtualTime, t.virtualTime
		c.virtualTime += 1 / c.weight
		t.virtualTime += 1 / t.weight
		q.Remove(it)
		return it, true
	}
	return nil, false
}

// Remove removes a waiting request.
func (q *Queue) Remove(it *Item) {
	t := it.tenant
	c := t.class
	l := &q.levels[c.level]
	t.items.Remove(it.tenantEntry)
	q.bySendBy.Remove(it.sendByEntry)
	c.waiting--
	if t.items.Len() == 0 {
		c.activeWeight -= t.weight
		c.active.Remove(t.entry)
	} else {
		c.active.Fix(t.entry)
	}
	if c.waiting == 0 {
		l.active.Remove(c.entry)
	} else {
		l.active.Fix(c.entry)
	}
}

// PopExpired removes and returns a request whose latest send time is before now, if there
// is one.
func (q *Queue) PopExpired(now time.Time) (*Item, bool) {
	it, ok := q.bySendBy.Peek()
	if !ok || !it.sendBy.Before(now) {
		return nil, false
	}
	q.Remove(it)
	return it, true
}

// classFor returns the class with the ID and creates it on first use.
func (q *Queue) classFor(id inventory.ClassID) *class {
	c, ok := q.classes[id]
	if ok {
		return c
	}
	spec := q.cfg.Classes[id]
	c = &class{id: id, weight: weightOf(spec.Weight), level: levelOf(spec), tenants: make(map[inventory.TenantID]*tenant)}
	c.active = priority.NewQueue(func(a, b *tenant) bool { return a.virtualTime < b.virtualTime })
	q.classes[id] = c
	return c
}

func (c *class) tenantFor(id inventory.TenantID, order Order) *tenant {
	t, ok := c.tenants[id]
	if !ok {
		t = &tenant{class: c, items: priority.NewQueue(order)}
		c.tenants[id] = t
	}
	return t
}

// requestsAhead estimates how many requests are sent before a new one of the tenant.
func (c *class) requestsAhead(id inventory.TenantID) float64 {
	t, ok := c.tenants[id]
	if !ok || t.items.Len() == 0 {
		return 0
	}
	return min(float64(c.waiting), float64(t.items.Len())*c.activeWeight/t.weight)
}

// The priority levels, highest first.
const (
	levelUrgent = iota
	levelNormal
)

func levelOf(c configuration.Class) int {
	if c.Urgent {
		return levelUrgent
	}
	return levelNormal
}

func weightOf(w int) float64 {
	return float64(max(w, 1))
}
