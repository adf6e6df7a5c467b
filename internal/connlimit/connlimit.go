// Package connlimit bounds what the peers of a process can occupy: the number of their open connections, and the memory of
// what they have sent of requests that have not ended. It decides without I/O; the owners of the connections close them.
package connlimit

import (
	"sync"
	"time"

	"github.com/zinniapier/zinniapier/telemetry"
)

// Names of events that are counted.
const (
	// eventEvicted counts connections that were closed to make room for others, eventRefused those that were closed when they
	// were opened, since all others had requests at work.
	eventEvicted = "connections_evicted"
	eventRefused = "connections_refused"
	// eventMemory counts connections that were closed since what they had sent of a request took too much memory.
	eventMemory = "connections_over_memory"
)

// Limits are the bounds of a process.
type Limits struct {
	// Connections is the number of open connections.
	Connections int
	// RequestBytes is the memory for what has been received of requests that have not ended.
	RequestBytes int64
	// UnreadBytes is the memory for what has arrived at connections and has not been read.
	UnreadBytes int64
	// Outgoing is the number of connections that the process may open to targets and other nodes.
	Outgoing int
}

// Process limits the connections to all listeners of a process.
type Process struct {
	limits Limits

	mu     sync.Mutex
	groups []*Group
	memory int64 // of all connections, without what each may occupy anyway
	slots  map[*Slot]struct{}
	lines  telemetry.Limiter
}

// New returns a Process without listeners.
func New(limits Limits) *Process {
	return &Process{limits: limits, slots: make(map[*Slot]struct{}), lines: telemetry.Limiter{PerSecond: 1}}
}

// Unlimited returns a Process that refuses no connection.
func Unlimited() *Process {
	return New(Limits{Connections: 1 << 30, RequestBytes: 1 << 60})
}

// Group holds the connections of one listener.
type Group struct {
	process *Process
	name    string
	share   float64
	least   int
	open    int
}

// Group adds a listener. The share of all connections is kept free for it; it may have more while others leave theirs unused.
func (p *Process) Group(name string, share float64) *Group {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := &Group{process: p, name: name, share: share, least: minReserve}
	p.groups = append(p.groups, g)
	return g
}

// reserve is the number of connections that are kept free for the group. The caller holds mu.
func (g *Group) reserve() int {
	return max(int(g.share*float64(g.process.limits.Connections)), g.least)
}

// mayGrow reports whether the group may have another connection. The caller holds mu.
func (g *Group) mayGrow() bool {
	if g.open < g.reserve() {
		return true
	}
	used := 1
	for _, other := range g.process.groups {
		used += max(other.open, other.reserve())
	}
	return used <= g.process.limits.Connections
}

// Open returns the slot of a new connection, or nil if it must be closed: all connections that the listener may have are at work.
// Else an idle connection of the listener is closed to make room, or the one that has taken longest to send its request. evict
// closes the connection, one with a request at work only by force, and reports whether it did; it is called without locks.
func (g *Group) Open(evict func(force bool) bool) *Slot {
	p := g.process
	now := time.Now()
	s := &Slot{group: g, evict: evict, since: now}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !g.mayGrow() {
		p.makeRoom(g, 1+g.open/roomShare)
	}
	if g.mayGrow() {
		g.open++
		p.slots[s] = struct{}{}
		return s
	}
	telemetry.CountEvent(eventRefused, 1)
	p.report(g, "All connections have requests at work; a new one is closed.")
	return nil
}
