package admission

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/priority"
)

// MaxWaiting bounds the requests that wait in one class of a service.
const MaxWaiting = 4096

// Order says which of two requests of the same tenant and class goes first.
type Order func(a, b *Item) bool

// The orders that were weighed.
var (
	// OldestFirst sends requests in the order of their arrival.
	OldestFirst Order = func(a, b *Item) bool { return a.seq < b.seq }
	// NewestFirst sends the last one first.
	NewestFirst Order = func(a, b *Item) bool { return a.seq > b.seq }
	// EarliestDeadlineFirst sends the most pressing one first.
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
	// seq grows with each arrival; a request that comes back keeps its own.
	seq uint64
	// latest is when the request must be sent; it is dropped afterwards.
	latest   time.Time
	tenant   *tenant
	inTenant *priority.Entry[*Item]
	byTime   *priority.Entry[*Item]
}

// Config is what a queue is built from.
type Config struct {
	Classes map[inventory.ClassID]configuration.Class
	Order   Order
}

// Queue holds the waiting requests of one service. Urgent classes go first;
// other classes share by weight, and so do the tenants of a class.
type Queue struct {
	cfg     Config
	classes map[inventory.ClassID]*class
	// byLatest holds every waiting request, so that expired ones are found first.
	byLatest *priority.Queue[*Item]
	// levels are urgent and other classes with requests, by their virtual time.
	levels [2]level
	seq    uint64
}

// level is the classes that go before or after the other level.
type level struct {
	active *priority.Queue[*class]
	// virtual is the virtual time of the class that went last.
	virtual float64
}

// class is the waiting requests of one class.
type class struct {
	id     inventory.ClassID
	weight float64
	level  int
	// virtual is the service received so far, divided by the weight.
	virtual float64
	entry   *priority.Entry[*class]
	tenants map[inventory.TenantID]*tenant
	active  *priority.Queue[*tenant]
	// tenantVirtual is the virtual time of the tenant that went last.
	tenantVirtual float64
	// activeWeight is the sum of the weights of tenants with waiting requests.
	activeWeight float64
	waiting      int
}

// tenant is one tenant's waiting requests in a class.
type tenant struct {
	class   *class
	weight  float64
	virtual float64
	entry   *priority.Entry[*tenant]
	items   *priority.Queue[*Item]
}

// NewQueue returns an empty queue.
func NewQueue(cfg Config) *Queue {
	q := &Queue{cfg: cfg, classes: make(map[inventory.ClassID]*class)}
	q.byLatest = priority.NewQueue(func(a, b *Item) bool { return a.latest.Before(b.latest) })
	for i := range q.levels {
		q.levels[i].active = priority.NewQueue(func(a, b *class) bool {
			if a.virtual != b.virtual {
				return a.virtual < b.virtual
			}
			return a.id < b.id
		})
	}
	return q
}

// Configure takes new weights for requests that arrive from now on.
func (q *Queue) Configure(classes map[inventory.ClassID]configuration.Class) {
	q.cfg.Classes = classes
	for id, c := range q.classes {
		c.weight = weightOf(classes[id].Weight)
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	return q.byLatest.Len()
}

// Waiting returns the number of requests that wait in a class.
func (q *Queue) Waiting(id inventory.ClassID) int {
	if c, ok := q.classes[id]; ok {
		return c.waiting
	}
	return 0
}

// Push adds a request of a tenant with the weight, which must be sent at the
// latest moment given.
func (q *Queue) Push(r Request, weight int, latest time.Time) *Item {
	q.seq++
	it := &Item{Request: r, seq: q.seq, latest: latest}
	q.insert(it, weightOf(weight))
	return it
}

// Return puts a request that was popped back into its place.
func (q *Queue) Return(it *Item) {
	q.insert(it, it.tenant.weight)
}

func (q *Queue) insert(it *Item, weight float64) {
	c := q.class(it.Class)
	t := c.tenant(it.Tenant, q.cfg.Order)
	it.tenant = t
	it.inTenant = t.items.Push(it)
	it.byTime = q.byLatest.Push(it)
	c.waiting++
	if t.items.Len() == 1 {
		t.weight = weight
		c.activeWeight += weight
		t.virtual = max(t.virtual, c.tenantVirtual)
		t.entry = c.active.Push(t)
	}
	if c.waiting == 1 {
		l := &q.levels[c.level]
		c.virtual = max(c.virtual, l.virtual)
		c.entry = l.active.Push(c)
	}
}

// Pop removes the request that goes next.
func (q *Queue) Pop() (*Item, bool) {
	for i := range q.levels {
		l := &q.levels[i]
		c, ok := l.active.First()
		if !ok {
			continue
		}
		t, _ := c.active.First()
		it, _ := t.items.First()
		l.virtual, c.tenantVirtual = c.virtual, t.virtual
		c.virtual += 1 / c.weight
		t.virtual += 1 / t.weight
		q.Remove(it)
		return it, true
	}
	return nil, false
}

// Remove takes a waiting request out.
func (q *Queue) Remove(it *Item) {
	t := it.tenant
	c := t.class
	l := &q.levels[c.level]
	t.items.Remove(it.inTenant)
	q.byLatest.Remove(it.byTime)
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

// Expired removes and returns a request that should have been sent before now.
func (q *Queue) Expired(now time.Time) (*Item, bool) {
	it, ok := q.byLatest.First()
	if !ok || !it.latest.Before(now) {
		return nil, false
	}
	q.Remove(it)
	return it, true
}

// class returns the class, which is made on first use.
func (q *Queue) class(id inventory.ClassID) *class {
	c, ok := q.classes[id]
	if ok {
		return c
	}
	spec := q.cfg.Classes[id]
	c = &class{id: id, weight: weightOf(spec.Weight), level: levelOf(spec), tenants: make(map[inventory.TenantID]*tenant)}
	c.active = priority.NewQueue(func(a, b *tenant) bool { return a.virtual < b.virtual })
	q.classes[id] = c
	return c
}

func (c *class) tenant(id inventory.TenantID, order Order) *tenant {
	t, ok := c.tenants[id]
	if !ok {
		t = &tenant{class: c, items: priority.NewQueue(order)}
		c.tenants[id] = t
	}
	return t
}

// ahead returns how many requests go before a new one of the tenant.
func (c *class) ahead(id inventory.TenantID) float64 {
	t, ok := c.tenants[id]
	if !ok || t.items.Len() == 0 {
		return 0
	}
	return min(float64(c.waiting), float64(t.items.Len())*c.activeWeight/t.weight)
}

// The levels of classes, in the order in which they go.
const (
	levelUrgent = iota
	levelOther
)

func levelOf(c configuration.Class) int {
	if c.Urgent {
		return levelUrgent
	}
	return levelOther
}

func weightOf(w int) float64 {
	return float64(max(w, 1))
}
