package gate

import (
	"math"

	"github.com/zinniapier/zinniapier/api"
)

// maxIdleFlows is the number of flows above which those of idle organisations are dropped.
const maxIdleFlows = 1024

func init() { Queues.Register(DefaultQueue, newFairQueue) }

// fairQueue is a start-time fair queue over organisations: each has its own flow, and the flow
// with the lowest virtual start time is served next. Waiters that leave the queue unserved cost
// their organisation nothing. The queue is bounded, so a scan over the active flows is short.
type fairQueue struct {
	flows       map[api.OrganisationID]*flow
	active      []*flow
	virtualTime float64 // virtual start time of the last waiter served
	length      int
}

// flow holds the waiting requests of one organisation in order of arrival.
type flow struct {
	org     api.OrganisationID
	weight  float64
	start   float64 // virtual start time of the next waiter
	waiters []*Waiter
}

func newFairQueue() Queue { return &fairQueue{flows: make(map[api.OrganisationID]*flow)} }

func (q *fairQueue) Push(w *Waiter) {
	f := q.flow(w.Organisation)
	f.weight = w.Weight
	if len(f.waiters) == 0 {
		f.start = math.Max(f.start, q.virtualTime)
		q.active = append(q.active, f)
	}
	f.waiters = append(f.waiters, w)
	q.length++
}

func (q *fairQueue) flow(org api.OrganisationID) *flow {
	if f, ok := q.flows[org]; ok {
		return f
	}
	if len(q.flows) >= maxIdleFlows {
		q.dropIdle()
	}
	f := &flow{org: org}
	q.flows[org] = f
	return f
}

func (q *fairQueue) dropIdle() {
	for org, f := range q.flows {
		if len(f.waiters) == 0 {
			delete(q.flows, org)
		}
	}
}

func (q *fairQueue) Pop() *Waiter {
	var next *flow
	for _, f := range q.active {
		if next == nil || f.start < next.start {
			next = f
		}
	}
	if next == nil {
		return nil
	}
	w := next.waiters[0]
	q.removeFrom(next, w)
	q.virtualTime = next.start
	next.start += 1 / next.weight
	return w
}

func (q *fairQueue) Remove(w *Waiter) bool {
	f, ok := q.flows[w.Organisation]
	return ok && q.removeFrom(f, w)
}

func (q *fairQueue) removeFrom(f *flow, w *Waiter) bool {
	var found bool
	f.waiters, found = removeWaiter(f.waiters, w)
	if !found {
		return false
	}
	q.length--
	if len(f.waiters) == 0 {
		q.deactivate(f)
	}
	return true
}

func (q *fairQueue) deactivate(f *flow) {
	for i, other := range q.active {
		if other == f {
			last := len(q.active) - 1
			q.active[i] = q.active[last]
			q.active[last] = nil
			q.active = q.active[:last]
			return
		}
	}
}

func (q *fairQueue) Len() int { return q.length }

func (q *fairQueue) Ahead(r Request) int {
	org, weight := r.Organisation, r.Weight
	own := 0
	if f, ok := q.flows[org]; ok {
		own = len(f.waiters)
	}
	rounds := float64(own+1) / weight
	ahead := own
	for _, f := range q.active {
		if f.org != org {
			ahead += min(len(f.waiters), int(math.Ceil(rounds*f.weight)))
		}
	}
	return ahead
}

// Evict removes the newest waiter of the flow with the largest backlog, unless the new request
// would give its own organisation the largest.
func (q *fairQueue) Evict(r Request) *Waiter {
	longest := q.evictable(r)
	if longest == nil {
		return nil
	}
	w := longest.waiters[len(longest.waiters)-1]
	q.removeFrom(longest, w)
	return w
}

func (q *fairQueue) CanEvict(r Request) bool { return q.evictable(r) != nil }

// evictable returns the flow that Evict removes a waiter from, or nil.
func (q *fairQueue) evictable(r Request) *flow {
	org, weight := r.Organisation, r.Weight
	var longest *flow
	for _, f := range q.active {
		if longest == nil || f.backlog() > longest.backlog() {
			longest = f
		}
	}
	own := 0
	if f, ok := q.flows[org]; ok {
		own = len(f.waiters)
	}
	if longest == nil || longest.backlog() <= float64(own+1)/weight {
		return nil
	}
	return longest
}

// backlog returns the number of waiters divided by the weight.
func (f *flow) backlog() float64 { return float64(len(f.waiters)) / f.weight }
