package connlimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/zinniapier/zinniapier/telemetry"
)

const (
	// smallRequest is the memory that every connection may occupy; requests of ordinary clients stay below it.
	smallRequest = 8 << 10
	// hugeRequest is the memory above which a request may be cut off while it is at work. A head of 16,384 bytes with
	// 100 lines counts 46 KB.
	hugeRequest = 256 << 10
	// reliefShare of the connections are closed when the process has run out of descriptors; minRelieved stay allowed.
	reliefShare = 8
	minRelieved = 16
	// roomShare of the connections of a listener are closed together when one more is needed.
	roomShare = 64
)

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
	charge := s.charge
	// Its memory counts as free at once: calls that run meanwhile would close further connections for it.
	p.setCharge(s, 0)
	p.mu.Unlock()
	closed := s.evict(charge >= hugeRequest)
	p.mu.Lock()
	if !closed {
		s.closing = s.released
		if !s.released {
			p.setCharge(s, s.charge+charge)
		}
		return false
	}
	telemetry.CountEvent(event, 1)
	p.report(s.group, "A connection is closed for the sake of others.")
	p.release(s)
	return true
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
			p.report(s.group, "A connection is closed because its request takes too much memory.")
			p.release(s)
		case !s.closing:
			p.close(s, eventMemory)
		}
	}
}

func (p *Process) report(g *Group, message string) {
	if ok, omitted := p.lines.Allow(time.Now()); ok {
		telemetry.Logger("connections").WithField("listener", g.name).WithField("open", g.open).
			WithField("request_bytes", p.memory).WithField("omitted", omitted).Warning(message)
	}
}
