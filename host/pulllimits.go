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

// refusalRecheckDelay separates the two refused connections that show that a target has ended.
const refusalRecheckDelay = 30 * time.Millisecond

// refusalRetryInterval is the time between further checks of a target that may still run.
const refusalRetryInterval = 100 * time.Millisecond

// ReportColdRemaining records that the cold start of the target lasts for the given time; 0 means that it has ended.
func (t *Target) ReportColdRemaining(left time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.pulled.coldUntil = now.Add(left)
	t.updateColdRate(t.r.o.View(), now)
}

// updateColdRate passes the cold start of the target to the gate. The rate comes with the
// configuration, which a node that has just started may receive later. The caller holds t.mu.
func (t *Target) updateColdRate(v *api.View, now time.Time) {
	if service := configured(v, t.info.Service); service != nil {
		t.gate.SetColdRate(max(t.pulled.coldUntil.Sub(now), 0), service.ColdRate)
	}
}

// recordTakenOut records since when operators have taken the target or its zone out. The caller holds t.mu.
func (t *Target) recordTakenOut(c *api.Configuration, now time.Time) {
	out := c != nil && (slices.Contains(c.ZonesOut, t.r.o.Zone) || slices.Contains(c.TargetsOut, t.info.ID))
	switch {
	case !out:
		t.pulled.takenOutSince = time.Time{}
	case t.pulled.takenOutSince.IsZero():
		t.pulled.takenOutSince = now
	}
}

// checkAdmitLimits returns WrongOwner when the target has been draining for DrainAdmitLimit or taken
// out for OutAdmitLimit. The caller holds t.mu.
func (t *Target) checkAdmitLimits(now time.Time) error {
	p := &t.pulled
	if limit := t.r.o.DrainAdmitLimit; limit > 0 && t.draining && now.Sub(p.drainingSince) >= limit {
		return errkind.New(errkind.WrongOwner, "target %s has been draining for %v", t.info.ID, now.Sub(p.drainingSince))
	}
	if limit := t.r.o.OutAdmitLimit; limit > 0 && !p.takenOutSince.IsZero() && now.Sub(p.takenOutSince) >= limit {
		return errkind.New(errkind.WrongOwner, "target %s has been taken out for %v", t.info.ID, now.Sub(p.takenOutSince))
	}
	return nil
}

// unresponsive reports whether a pulling target has announced nothing for LostAfter and its grants have
// expired: its requests would get no response, and its partitions can go to others.
func (t *Target) unresponsive(now time.Time) bool {
	if now.Sub(t.announced) < t.r.o.LostAfter {
		return false
	}
	for _, g := range t.grants {
		if !now.After(g.expiry.Add(t.r.o.DriftMargin)) {
			return false
		}
	}
	return true
}

// ReportConnectionRefused records that the address of the target refused a connection. A pulling target
// that also refuses a second one has ended, since only its node connects to it, with two exceptions: it
// has an older request in flight, as the end of a process closes all its connections, or it is draining
// and may refuse connections before it ends.
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
		time.AfterFunc(refusalRecheckDelay, func() { t.confirmRefused(sequence, time.Now()) })
	}
}

// confirmRefused checks whether a target without a newer announcement still refuses connections, and
// marks it lost. first is when the first connection was refused.
func (t *Target) confirmRefused(sequence uint64, first time.Time) {
	conn, err := net.DialTimeout("tcp", t.info.Address, refusalRecheckDelay)
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
	if leaves || t.hasAttemptBefore(first.Add(-refusalRecheckDelay)) {
		time.AfterFunc(refusalRetryInterval, func() { t.confirmRefused(sequence, first) })
		return
	}
	t.pulled.confirming = false
	t.notListening = true
	t.markLost(time.Now(), "connection refused")
	t.wake()
}

// hasAttemptBefore reports whether an attempt in flight under a grant began before the time. The caller
// holds t.mu.
func (t *Target) hasAttemptBefore(before time.Time) bool {
	for _, g := range t.grants {
		for a := range g.attempts {
			if a.began.Before(before) {
				return true
			}
		}
	}
	return false
}
