package gate

import (
	"time"

	"github.com/zinniapier/zinniapier/plugin"
)

// Waiter is a request waiting for a slot.
type Waiter struct {
	// Request has a positive weight.
	Request

	ready chan struct{} // closed when the waiter gets a slot or is refused
	err   error         // set before ready is closed
	mean  time.Duration // service time of the target when the waiter was queued
	// latestStart is when the wait ends; zero means that only the context ends it.
	latestStart time.Time
	started     startMark // set before ready is closed with a slot
}

// Queue orders the waiting requests of one target. The gate serialises all calls.
type Queue interface {
	// Push appends a waiter.
	Push(w *Waiter)
	// Pop removes the next waiter; nil when the queue is empty.
	Pop() *Waiter
	// Remove removes a waiter whose wait has ended, and reports whether it was queued.
	Remove(w *Waiter) bool
	// Len returns the number of waiters.
	Len() int
	// Ahead estimates how many waiters would be served before a new request.
	Ahead(r Request) int
	// Evict removes a waiter from a full queue to make space for a new request; nil means that the
	// new request is refused.
	Evict(r Request) *Waiter
	// CanEvict reports whether Evict would remove a waiter for the request. It changes nothing.
	CanEvict(r Request) bool
}

// Queues holds the constructors of the queue policies by name.
var Queues = plugin.NewRegistry[func() Queue]("queue")

// DefaultQueue is the queue policy when the settings name none.
const DefaultQueue = "fair"
