package connlimit

import (
	"sync"
	"time"

	"github.com/zinniapier/zinniapier/telemetry"
)

// eventOutgoingRefused counts connections that were not opened, since the process had as many as it may open.
const eventOutgoingRefused = "outgoing_refused"

// reliefInterval is the shortest time between two calls of the relief: looking through all peers for each new connection would
// take a flooded process too long.
const reliefInterval = 100 * time.Millisecond

// Outgoing bounds the connections that a process opens to targets and other nodes. Requests of callers open them, so that
// without a bound callers could take the descriptors of everything else. A nil Outgoing has no bound.
type Outgoing struct {
	limit int
	// relief closes connections that are idle.
	relief func()

	mu       sync.Mutex
	open     int
	relieved time.Time
}

// NewOutgoing returns an Outgoing for at most limit connections. relief is called without locks when there is no room for another.
func NewOutgoing(limit int, relief func()) *Outgoing { return &Outgoing{limit: limit, relief: relief} }

// Open counts a connection that is about to be opened; false if it must not be. Each counted connection ends with Close.
func (o *Outgoing) Open() bool {
	if o == nil || o.take() {
		return true
	}
	if o.mayRelieve(time.Now()) {
		o.relief()
		if o.take() {
			return true
		}
	}
	telemetry.CountEvent(eventOutgoingRefused, 1)
	return false
}

func (o *Outgoing) take() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.open >= o.limit {
		return false
	}
	o.open++
	return true
}

func (o *Outgoing) mayRelieve(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.relieved) < reliefInterval {
		return false
	}
	o.relieved = now
	return true
}

// Close records that a counted connection has been closed or was not opened.
func (o *Outgoing) Close() {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open--
}
