package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
)

var start = time.Unix(0, 0)

var classes = map[inventory.ClassID]configuration.Class{
	"Urgent": {Weight: 1, Urgent: true}, "Heavy": {Weight: 3}, "Light": {Weight: 1},
}

func newQueue(o Order) *Queue {
	return NewQueue(Config{Classes: classes, Order: o})
}

func push(q *Queue, id RequestID, c inventory.ClassID, t inventory.TenantID, weight int, deadline time.Duration) {
	r := Request{ID: id, Class: c, Tenant: t, Arrived: start, Deadline: start.Add(deadline)}
	q.Push(r, weight, r.Deadline)
}

// pop removes n requests and returns their number by key.
func pop(q *Queue, n int, keyOf func(r Request) string) map[string]int {
	got := make(map[string]int)
	for range n {
		if it, ok := q.Pop(); ok {
			got[keyOf(it.Request)]++
		}
	}
	return got
}

func byClass(r Request) string  { return string(r.Class) }
func byTenant(r Request) string { return string(r.Tenant) }

func TestWeightedSharesOfClassesAndTenants(t *testing.T) {
	q := newQueue(OldestFirst)
	for i := range 100 {
		push(q, RequestID(i), "Heavy", "a", 1, time.Minute)
		push(q, RequestID(i), "Light", "a", 1, time.Minute)
	}
	require.Equal(t, map[string]int{"Heavy": 30, "Light": 10}, pop(q, 40, byClass))
	push(q, 1, "Urgent", "a", 1, time.Minute)
	require.Equal(t, map[string]int{"Urgent": 1}, pop(q, 1, byClass), "urgent requests have priority")

	q = newQueue(OldestFirst)
	for i := range 100 {
		push(q, RequestID(i), "Light", "small", 1, time.Minute)
		push(q, RequestID(i), "Light", "large", 4, time.Minute)
	}
	require.Equal(t, map[string]int{"large": 40, "small": 10}, pop(q, 50, byTenant))

	q = newQueue(OldestFirst)
	for i := range 50 {
		push(q, RequestID(i), "Light", "early", 1, time.Minute)
	}
	pop(q, 40, byTenant)
	for i := range 10 {
		push(q, RequestID(i), "Light", "late", 1, time.Minute)
	}
	require.InDelta(t, 5, pop(q, 10, byTenant)["late"], 1, "a tenant accumulates no share while it is inactive")
}

func TestOrderWithinTenant(t *testing.T) {
	tests := []struct {
		name  string
		order Order
		want  string
	}{
		{"oldest first", OldestFirst, "[1 2 3]"},
		{"newest first", NewestFirst, "[3 2 1]"},
		{"earliest deadline first", EarliestDeadlineFirst, "[2 3 1]"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := newQueue(test.order)
			for i, deadline := range []time.Duration{3, 1, 2} {
				push(q, RequestID(i+1), "Light", "a", 1, deadline*time.Second)
			}
			var got []RequestID
			for it, ok := q.Pop(); ok; it, ok = q.Pop() {
				got = append(got, it.ID)
			}
			require.Equal(t, test.want, fmt.Sprint(got))
		})
	}
}

func TestExpiredRequestsAreRemoved(t *testing.T) {
	q := newQueue(OldestFirst)
	for i, c := range []inventory.ClassID{"Light", "Urgent", "Heavy"} {
		push(q, RequestID(i+1), c, "a", 1, time.Duration(i+1)*time.Second)
	}
	var got []RequestID
	for it, ok := q.PopExpired(start.Add(2500 * time.Millisecond)); ok; it, ok = q.PopExpired(start.Add(2500 * time.Millisecond)) {
		got = append(got, it.ID)
	}
	require.Equal(t, []RequestID{1, 2}, got)
	require.Equal(t, 1, q.Len())
	it, _ := q.Pop()
	require.Equal(t, RequestID(3), it.ID)
}

func TestRequeuedRequestKeepsItsPosition(t *testing.T) {
	q := newQueue(OldestFirst)
	push(q, 1, "Light", "a", 1, time.Minute)
	push(q, 2, "Light", "a", 1, time.Minute)
	it, _ := q.Pop()
	q.Requeue(it)
	it, _ = q.Pop()
	require.Equal(t, RequestID(1), it.ID)
	require.Equal(t, 1, q.Waiting("Light"))
}

func TestController(t *testing.T) {
	c := NewController()
	for range 200 {
		c.ObserveServerTime("Light", 100*time.Millisecond)
	}
	check := func(q *Queue, tenant inventory.TenantID, deadline time.Duration, slots int) Refusal {
		return c.Check(q, Request{Class: "Light", Tenant: tenant, Arrived: start, Deadline: start.Add(deadline)}, slots, start)
	}
	q := newQueue(OldestFirst)
	require.Empty(t, check(q, "a", 50*time.Millisecond, 1).Reason, "a request that doesn't have to wait is admitted")
	require.Equal(t, ReasonDeadlineTooNear, check(q, "a", 0, 1).Reason)
	for i := range 100 {
		push(q, RequestID(i), "Light", "a", 1, time.Hour)
	}
	r := check(q, "a", 5*time.Second, 1)
	require.Equal(t, ReasonDeadlineTooNear, r.Reason)
	require.InDelta(t, 10, r.RetryAfter.Seconds(), 0.5, "retry once the queue has been served")
	require.Empty(t, check(q, "a", 5*time.Second, 4).Reason)
	require.Empty(t, check(q, "b", time.Second, 1).Reason, "another tenant doesn't wait for all queued requests")
	for i := range MaxWaiting {
		push(q, RequestID(i), "Light", "a", 1, time.Hour)
	}
	require.Equal(t, ReasonQueueFull, check(q, "b", time.Hour, 1).Reason)
}

func BenchmarkPushPop(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q := newQueue(EarliestDeadlineFirst)
			for i := range n {
				push(q, RequestID(i), "Light", "a", 1, time.Duration(i)*time.Second)
			}
			b.ReportAllocs()
			for b.Loop() {
				it, _ := q.Pop()
				q.Requeue(it)
			}
		})
	}
}
