package host

import (
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// refusalPause separates the two refused connections that show that a target has ended.
const refusalPause = 30 * time.Millisecond

// refusalAgain separates further looks at a target that may not have ended.
const refusalAgain = 100 * time.Millisecond

// ReportColdRemaining tells what an answer said of the target's cold start; 0 means that it has ended.
func (t *Target) ReportColdRemaining(left time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.pulled.coldUntil = now.Add(left)
	t.paceCold(t.r.o.View(), now)
}

// paceCold tells the gate of the target's cold start. The rate that the target bears then comes
// with the configuration, which a node that has just started may get later. The caller holds t.mu.
func (t *Target) paceCold(v *api.View, now time.Time) {
	if service := configured(v, t.info.Service); service != nil {
		t.gate.SetColdRate(max(t.pulled.coldUntil.Sub(now), 0), service.ColdRate)
	}
}

// noteOut notes since when operators have taken the target or its zone out. The caller holds t.mu.
func (t *Target) noteOut(c *api.Configuration, now time.Time) {
	out := c != nil && (slices.Contains(c.ZonesOut, t.r.o.Zone) || slices.Contains(c.TargetsOut, t.info.ID))
	switch {
	case !out:
		t.pulled.outSince = time.Time{}
	case t.pulled.outSince.IsZero():
		t.pulled.outSince = now
	}
}

// mayWork refuses work for a pulling target that leaves or was taken out longer ago than it may
// still get some. The caller holds t.mu.
func (t *Target) mayWork(now time.Time) error {
	p := &t.pulled
	if limit := t.r.o.DrainAdmitLimit; limit > 0 && t.draining && now.Sub(p.drainingSince) >= limit {
		return errkind.New(errkind.WrongOwner, "target %s has been leaving for %v", t.info.ID, now.Sub(p.drainingSince))
	}
	if limit := t.r.o.OutAdmitLimit; limit > 0 && !p.outSince.IsZero() && now.Sub(p.outSince) >= limit {
		return errkind.New(errkind.WrongOwner, "target %s has been taken out for %v", t.info.ID, now.Sub(p.outSince))
	}
	return nil
}

// silent says that a pulling target has announced nothing for LostAfter and no longer holds
// anything: its requests would get no answer, and its partitions can go to others.
func (t *Target) silent(now time.Time) bool {
	if now.Sub(t.announced) < t.r.o.LostAfter {
		return false
	}
	for _, g := range t.grants {
		if !now.After(g.until.Add(t.r.o.DriftMargin)) {
			return false
		}
	}
	return true
}

// ReportConnectionRefused tells that the target's address has refused a connection. A pulling target
// that refuses a second one has ended, since its node is the only way to it, unless it is at work on
// a request from before, as the end of a process ends all its connections, or leaves: it then may
// refuse connections before it ends.
func (t *Target) ReportConnectionRefused() {
	if !t.info.Pulls {
		return
	}
	t.mu.Lock()
	sequence := t.pulled.sequence
	confirming := t.pulled.confirming
	t.pulled.confirming = true
	t.mu.Unlock()
	if !confirming {
		time.AfterFunc(refusalPause, func() { t.confirmRefused(sequence, time.Now()) })
	}
}

// confirmRefused looks once more whether a target that has not announced itself since still
// refuses connections, and marks it lost. first is the time of the first look.
func (t *Target) confirmRefused(sequence uint64, first time.Time) {
	conn, err := net.DialTimeout("tcp", t.info.Address, refusalPause)
	if err == nil {
		_ = conn.Close()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !errors.Is(err, syscall.ECONNREFUSED) || t.pulled.sequence != sequence {
		t.pulled.confirming = false
		return
	}
	leaves := t.draining && time.Since(t.pulled.drainingSince) < t.r.o.DrainAdmitLimit
	if leaves || t.worksSince(first.Add(-refusalPause)) {
		time.AfterFunc(refusalAgain, func() { t.confirmRefused(sequence, first) })
		return
	}
	t.pulled.confirming = false
	t.refused = true
	t.markLost(time.Now(), "connection refused")
	t.kick()
}

// worksSince says whether the target is at work under a grant on a request from before the time. The
// caller holds t.mu.
func (t *Target) worksSince(before time.Time) bool {
	for _, g := range t.grants {
		for a := range g.attempts {
			if a.began.Before(before) {
				return true
			}
		}
	}
	return false
}
