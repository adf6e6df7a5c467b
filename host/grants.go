package host

import (
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/telemetry"
)

// phase is the state of a grant at the node.
type phase int

const (
	granted  phase = iota // requests are admitted
	draining              // no new requests; those in flight may finish
	revoking              // removed from the orders; ends with the acknowledgement or the expiry
)

// cancelGrace is how long a release waits, after the target acknowledged the revoke, for cancelled
// attempts to end. The target fences them meanwhile.
const cancelGrace = 500 * time.Millisecond

// errPartitionMoved is the cause with which the attempts of a revoked grant are cancelled.
var errPartitionMoved = errkind.New(errkind.Unknown, "the partition moved while the request was in flight")

// grant is the ownership of one partition by the target.
type grant struct {
	partition int
	epoch     api.Epoch
	phase     phase
	// reportEnd is true if the end of the grant is to be reported; it is false when the map has
	// already assigned the partition to another owner.
	reportEnd bool
	attempts  map[*attempt]struct{}
	// acknowledgedUntil is the expiry that the target has acknowledged, by the clock of the node.
	acknowledgedUntil time.Time
	// expiry is the latest expiry in any order sent, acknowledged or not, by the clock of the node.
	expiry time.Time
	// drainUntil is when the drain limit ends.
	drainUntil time.Time
	// removedIn is the first version of the set of grants without this one.
	removedIn uint64
	revokedAt time.Time

	// The fields below are used only for targets that pull their grants.

	// omittedIn is the sequence of the announcement whose reply first omitted the grant; 0 before.
	omittedIn uint64
	// held is true if the last announcement of the target listed the grant.
	held bool
	// receivedHandover is the handover token of the previous owner, handover that of this release.
	receivedHandover, handover string
	// call is the state of a grant that is delivered by calls.
	call callState
}

func (g *grant) cancelAttempts() {
	for a := range g.attempts {
		a.cancel(errPartitionMoved)
	}
}

// applyView updates the grants to the assignments in the view.
func (t *Target) applyView(v *api.View, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyViewLocked(v, now)
}

// applyViewLocked is applyView for a caller that holds t.mu.
func (t *Target) applyViewLocked(v *api.View, now time.Time) {
	current := mapVersion{session: v.Session, version: v.MapVersion}
	if t.appliedMap.session == current.session && t.appliedMap.version >= current.version {
		return // also an earlier view, that was read before the lock was taken
	}
	t.appliedMap = current
	list := v.Assignments[t.info.Service]
	if s := configured(v, t.info.Service); s != nil {
		t.splitGrants(s)
	}
	added := make(map[api.Epoch][]int)
	for p, a := range list.All() {
		if a.State == api.Unassigned || a.Target != t.info.ID || a.Session != v.Session {
			continue
		}
		if t.applyAssignment(p, a, now) {
			added[a.Epoch] = append(added[a.Epoch], p)
		}
	}
	if len(added) > 0 {
		telemetry.Logger("host").WithField("target", t.info.ID).WithField("map", v.MapVersion).
			WithField("by_epoch", added).Info("Grants added.")
	}
	for p, g := range t.grants {
		if assignedTo(list.At(p), t.info.ID, v.Session, g.epoch) {
			continue
		}
		g.reportEnd = false
		t.revoke(g, now)
	}
}

// splitGrants replaces the grants of split partitions by grants of their parts. Nothing changes for
// the target, and attempts in flight continue under the first part.
func (t *Target) splitGrants(s *api.Service) {
	for _, split := range s.Splits {
		g := t.grants[split.Base]
		if g == nil {
			continue
		}
		delete(t.grants, split.Base)
		for i := range split.Parts {
			part := *g
			part.partition = split.First + i
			part.call = splitCallState(g)
			if i > 0 {
				part.attempts = make(map[*attempt]struct{})
			}
			if t.grants[part.partition] == nil && t.r.admitEpoch(api.PartitionRef{Service: s.Name, Partition: part.partition}, part.epoch) {
				t.grants[part.partition] = &part
			}
		}
	}
}

// assignedTo reports whether the assignment names this target, session and epoch.
func assignedTo(a *api.Assignment, id api.TargetID, session api.SessionID, epoch api.Epoch) bool {
	return a.State != api.Unassigned && a.Target == id && a.Session == session && a.Epoch == epoch
}

// applyAssignment updates the grant of one partition and reports whether it added one.
func (t *Target) applyAssignment(partition int, a *api.Assignment, now time.Time) (added bool) {
	g := t.grants[partition]
	if g == nil || g.epoch < a.Epoch {
		g = t.addGrant(partition, a, now)
		added = g != nil
	}
	if g == nil || g.epoch != a.Epoch {
		return added
	}
	if a.State == api.Releasing && g.phase == granted {
		g.phase = draining
		g.drainUntil = now.Add(t.r.o.DrainLimit)
	}
	return added
}

// addGrant adds a grant. It returns nil for one that is older than another of the partition or was
// released before.
func (t *Target) addGrant(partition int, a *api.Assignment, now time.Time) *grant {
	epoch := a.Epoch
	ref := api.PartitionRef{Service: t.info.Service, Partition: partition}
	if !t.r.admitEpoch(ref, epoch) {
		return nil
	}
	g := &grant{
		partition: partition, epoch: epoch, reportEnd: true, receivedHandover: a.Handover,
		attempts: make(map[*attempt]struct{}),
	}
	byCall := t.deliversByCall(configured(t.r.o.View(), t.info.Service))
	switch {
	case byCall:
		g.expiry = t.r.previousCallsEnd()
		g.call.uncertainUntil = g.expiry
	case t.info.Pulls:
		// A previous process of this node may have granted the range for up to MaxHold.
		g.expiry = now.Add(t.r.o.MaxHold)
	}
	if old := t.grants[partition]; old != nil {
		old.cancelAttempts()
		if byCall {
			g.expiry = later(g.expiry, old.expiry)
			g.call.uncertainUntil = later(g.call.uncertainUntil, old.call.uncertainUntil)
		} else {
			g.expiry = old.expiry
		}
	}
	t.grants[partition] = g
	t.orders.version++
	if t.lost {
		t.revoke(g, now)
	}
	if !t.info.ChecksGrants {
		t.notifyGrantsUsable()
	}
	return g
}

// revoke removes the grant from the orders and cancels the attempts in flight under it.
func (t *Target) revoke(g *grant, now time.Time) {
	if g.phase == revoking {
		return
	}
	g.phase = revoking
	g.revokedAt = now
	t.orders.version++
	g.removedIn = t.orders.version
	if !t.info.Pulls || t.lost {
		// A pulling target finishes its requests before it releases the range.
		g.cancelAttempts()
	}
}

// advance moves draining and revoked grants to their next phase and reports those that have ended.
func (t *Target) advance(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.info.Pulls && !t.lost && t.unresponsive(now) {
		t.markLost(now, "no announcement")
	}
	byCall := t.deliversByCall(configured(t.r.o.View(), t.info.Service))
	for _, g := range t.grants {
		if byCall {
			t.advanceCalls(g, now)
		}
		if g.phase == draining && !t.info.Pulls && (len(g.attempts) == 0 || !now.Before(g.drainUntil)) {
			t.revoke(g, now)
		}
		if g.phase == revoking && t.hasEnded(g, now) {
			t.endGrant(g)
		}
	}
}

// hasEnded reports whether the target can no longer do any work under the grant.
func (t *Target) hasEnded(g *grant, now time.Time) bool {
	if t.notListening && t.running == 0 {
		// No process listens and no attempt is in flight.
		return true
	}
	if !t.info.ChecksGrants {
		return len(g.attempts) == 0
	}
	if t.info.Pulls {
		return !t.mayHoldByCall(g, now)
	}
	if now.After(g.expiry.Add(t.r.o.DriftMargin)) {
		return true
	}
	acknowledged := t.orders.acknowledged >= g.removedIn
	return acknowledged && (len(g.attempts) == 0 || now.After(g.revokedAt.Add(cancelGrace)))
}

func (t *Target) endGrant(g *grant) {
	delete(t.grants, g.partition)
	telemetry.Logger("host").WithField("target", t.info.ID).WithField("partition", g.partition).
		WithField("epoch", g.epoch).WithField("handover", g.handover != "").Info("Grant ended.")
	if g.reportEnd {
		ref := api.PartitionRef{Service: t.info.Service, Partition: g.partition}
		t.r.recordReleased(api.Released{PartitionRef: ref, Epoch: g.epoch, Handover: g.handover})
	}
}

// nextDeadline returns when advance next has something to do, at most limit.
func (t *Target) nextDeadline(limit time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.grants {
		switch {
		case g.phase == draining && !t.info.Pulls:
			limit = earlier(limit, g.drainUntil)
		case g.phase == revoking && t.info.ChecksGrants:
			limit = earlier(limit, g.expiry.Add(t.r.o.DriftMargin+time.Millisecond))
			if g.call.released {
				limit = earlier(limit, g.call.uncertainUntil)
			}
		case g.phase == draining && t.info.Pulls && g.call.uncertainUntil.After(time.Now()):
			limit = earlier(limit, g.call.uncertainUntil)
		}
	}
	return limit
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
