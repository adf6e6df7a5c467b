package connlimit

import "time"

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
	s.update(func() {
		s.phase, s.since = idle, time.Now()
		if s.charge > 0 {
			s.phase = receiving
		}
	})
}

// Received records that what has been received is complete and no longer kept for this connection.
func (s *Slot) Received() {
	s.update(func() { s.group.process.setCharge(s, 0) })
}

// Unready records that the body of the request is still to come before it begins.
func (s *Slot) Unready() { s.enter(receiving, false) }

func (s *Slot) enter(phase phase, ended bool) {
	s.update(func() {
		s.phase, s.since = phase, time.Now()
		if ended {
			s.group.process.setCharge(s, 0)
		}
	})
}

// update calls change with Process.mu held, unless the slot is released.
func (s *Slot) update(change func()) {
	p := s.group.process
	p.mu.Lock()
	defer p.mu.Unlock()
	if !s.released {
		change()
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
