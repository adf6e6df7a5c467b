package gate

import (
	"time"

	"github.com/zinniapier/zinniapier/plugin"
)

// Waiter is a request that waits for a slot.
type Waiter struct {
	// Request has a positive weight.
	Request

	ready chan struct{} // closed when the waiter got a slot or was refused
	err   error         // set before ready is closed
	mean  time.Duration // service time of the target when the waiter was queued
	// latest is when waiting is no longer of use; zero means never.
	latest time.Time
}

// Queue orders the waiting requests of one target. The gate serialises all calls.
type Queue interface {
	Push(w *Waiter)
	// Pop removes the next waiter; nil when the queue is empty.
	Pop() *Waiter
	// Remove takes out a waiter that has given up, and says whether it was queued.
	Remove(w *Waiter) bool
	Len() int
	// Ahead estimates how many waiters would be served before a new one.
	Ahead(c Request) int
	// Evict removes a waiter to make room in a full queue for a new one; nil when the new one
	// is to be refused.
	Evict(c Request) *Waiter
}

// Queues holds the queue policies by name.
var Queues = plugin.NewRegistry[func() Queue]("queue")

// DefaultQueue is the policy of a gate whose settings name none.
const DefaultQueue = "fair"
