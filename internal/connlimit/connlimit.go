// Package connlimit bounds what the peers of a process can occupy: the number of their open connections, and the memory of
// what they have sent of requests that have not ended. It decides without I/O; the owners of the connections close them.
package connlimit

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/zinniapier/zinniapier/telemetry"
)

// Names of events that are counted.
const (
	// eventEvicted counts connections that were closed for the sake of others, eventRefused those that were closed when they
	// were opened, since all others had requests at work.
	eventEvicted = "connections_evicted"
	eventRefused = "connections_refused"
	// eventMemory counts connections that were closed since what they had sent of a request took too much memory.
	eventMemory = "connections_over_memory"
)

const (
	// smallRequest is the memory that every connection may occupy; requests of ordinary clients stay below it.
	smallRequest = 8 << 10
	// hugeRequest is the memory above which a request may be cut off while it is at work. A head of 16,384 bytes with
	// 100 lines counts 46 KB.
	hugeRequest = 256 << 10
	// reliefShare of the connections are given up when the process has run out of descriptors; minRelieved stay allowed.
	reliefShare = 8
	minRelieved = 16
	// roomShare of the connections of a listener are closed together when one more is needed.
	roomShare = 64
)

// Limits are the bounds of a process.
type Limits struct {
	// Connections is the number of open connections.
	Connections int
	// RequestBytes is the memory for what has been received of requests that have not ended.
	RequestBytes int64
}

// Process keeps account of the connections to all listeners of a process.
type Process struct {
	limits Limits

	mu       sync.Mutex
	groups   []*Group
	memory   int64 // of all connections, without what each may occupy anyway
	slots    map[*Slot]struct{}
	reported time.Time
}

// New returns the account of a process.
func New(limits Limits) *Process {
	return &Process{limits: limits, slots: make(map[*Slot]struct{})}
}

// Unlimited returns an account that refuses nothing.
func Unlimited() *Process {
	return New(Limits{Connections: 1 << 30, RequestBytes: 1 << 60})
}

// Group is the account of one listener.
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

// phase is what a connection does.
type phase int

const (
	// idle connections have sent nothing since they were opened or since their last response.
	idle phase = iota
	// receiving connections have sent a part of a request that has not begun.
	receiving
	// working connections have a request at work.
	working
)

// Slot is one open connection.
type Slot struct {
	group *Group
	// evict closes the connection, one with a request at work only by force; it reports whether it did.
	evict func(force bool) bool

	// The following are guarded by Process.mu.
	phase  phase
	since  time.Time
	charge int64
	// closing is set once the slot is released or was chosen to be closed.
	closing, released bool
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

// Relieve is for a process that lacks descriptors or memory for another connection. It closes connections that are not at work. If
// the process's own descriptors have run out, it lowers the limit to what is left, until the process ends: the limit assumes more
// descriptors than there are, and some are needed for targets and other nodes.
func (g *Group) Relieve(own bool) {
	p := g.process
	p.mu.Lock()
	defer p.mu.Unlock()
	p.makeRoom(g, 1+g.open/reliefShare)
	if !own {
		return
	}
	allowed := max(len(p.slots), minRelieved)
	if allowed < p.limits.Connections {
		p.limits.Connections = allowed
		telemetry.Logger("connections").WithField("limit", allowed).Warning("Out of descriptors; fewer connections are allowed.")
	}
}

// makeRoom closes the idle connections of the group that have been idle for longest, or else the receiving ones, several at a
// time: looking through all connections for each new one would take a flooded process too long. The caller holds mu.
func (p *Process) makeRoom(g *Group, number int) {
	var list []*Slot
	for s := range p.slots {
		if s.group == g && !s.closing && s.phase != working {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *Slot) int { return cmp.Or(cmp.Compare(a.phase, b.phase), a.since.Compare(b.since)) })
	for _, s := range list {
		if number == 0 {
			return
		}
		if !s.closing && p.close(s, eventEvicted) {
			number--
		}
	}
}

// close closes the connection of a slot and frees the slot if the connection could be closed. The caller holds mu, which
// is released meanwhile, and reports whether it did.
func (p *Process) close(s *Slot, event string) bool {
	s.closing = true
	force := s.charge >= hugeRequest
	p.mu.Unlock()
	closed := s.evict(force)
	p.mu.Lock()
	if !closed {
		s.closing = s.released
		return false
	}
	telemetry.CountEvent(event, 1)
	p.report(s.group, "A connection is closed for the sake of others.")
	p.release(s)
	return true
}

// reportInterval bounds the log lines of connections that are closed.
const reportInterval = time.Second

func (p *Process) report(g *Group, message string) {
	if now := time.Now(); now.Sub(p.reported) >= reportInterval {
		p.reported = now
		telemetry.Logger("connections").WithField("listener", g.name).WithField("open", g.open).
			WithField("request_bytes", p.memory).Warning(message)
	}
}

func (p *Process) release(s *Slot) {
	if s.released {
		return
	}
	s.released, s.closing = true, true
	s.group.open--
	p.setCharge(s, 0)
	delete(p.slots, s)
}

func (p *Process) setCharge(s *Slot, charge int64) {
	p.memory += max(charge, smallRequest) - max(s.charge, smallRequest)
	s.charge = charge
}

// Release frees the slot of a connection that has been closed.
func (s *Slot) Release() {
	p := s.group.process
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release(s)
}

// Idle records that the connection has no request.
func (s *Slot) Idle() { s.enter(idle, true) }

// Working records that a request has begun. What has been received of it still counts.
func (s *Slot) Working() { s.enter(working, false) }

// Answered records that no request is at work. What has been received of the next one still counts.
func (s *Slot) Answered() {
	p := s.group.process
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.released {
		return
	}
	s.phase, s.since = idle, time.Now()
	if s.charge > 0 {
		s.phase = receiving
	}
}

// Received records that what has been received is complete and no longer kept for this connection.
func (s *Slot) Received() {
	p := s.group.process
	p.mu.Lock()
	defer p.mu.Unlock()
	if !s.released {
		p.setCharge(s, 0)
	}
}

// Unready records that the body of the request is still to come before it begins.
func (s *Slot) Unready() { s.enter(receiving, false) }

func (s *Slot) enter(phase phase, ended bool) {
	p := s.group.process
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.released {
		return
	}
	s.phase, s.since = phase, time.Now()
	if ended {
		p.setCharge(s, 0)
	}
}

// Receive adds memory that a part of a request takes. It returns false if the connection is to be closed; others that have sent
// more, or have taken longer for it, are closed before.
func (s *Slot) Receive(bytes int64) bool {
	p := s.group.process
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.released {
		return false
	}
	if s.phase == idle {
		s.phase, s.since = receiving, time.Now()
	}
	p.setCharge(s, s.charge+bytes)
	if s.charge <= smallRequest {
		return true
	}
	// A single large request is served where others take little.
	limit := p.limits.RequestBytes
	if p.memory > limit && p.memory-s.charge > limit/2 {
		p.shed(s)
	}
	return !s.released
}

// shed closes the connections with the greatest products of memory and time since their request began, until the memory is
// three quarters of the limit. Those with little memory stay, and those at work whose memory is not huge. The slot that receives is
// only released. The caller holds mu.
func (p *Process) shed(current *Slot) {
	now := time.Now()
	// A millisecond more, so that of those that have just begun the greatest comes first.
	weight := func(s *Slot) float64 { return float64(s.charge) * (now.Sub(s.since) + time.Millisecond).Seconds() }
	var list []*Slot
	for s := range p.slots {
		if !s.closing && s.charge > smallRequest && (s.phase != working || s.charge >= hugeRequest) {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *Slot) int { return cmp.Compare(weight(b), weight(a)) })
	for _, s := range list {
		switch {
		case p.memory <= p.limits.RequestBytes/4*3:
			return
		case s == current:
			telemetry.CountEvent(eventMemory, 1)
			p.report(s.group, "A connection is closed for the memory of its request.")
			p.release(s)
		case !s.closing:
			p.close(s, eventMemory)
		}
	}
}
