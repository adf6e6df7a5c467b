package host

import (
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/telemetry"
)

// phase says how far a grant is in its life at the node.
type phase int

const (
	granted  phase = iota // work is admitted
	draining              // no new work; running work may finish
	revoking              // left out of the orders; waits for the acknowledgement or the expiry
)

// cancelGrace is how long a release waits, after the target has acknowledged the revoke, for
// cancelled attempts to come back. The target fences them off meanwhile.
const cancelGrace = 500 * time.Millisecond

// errMoved is the cause with which the attempts of a revoked grant are cancelled.
var errMoved = errkind.New(errkind.Unknown, "the partition moved while the request was running")

// grant is the ownership of one partition by the target.
type grant struct {
	partition int
	epoch     api.Epoch
	phase     phase
	// report says that the end of the grant is to be reported; it is not when the map has
	// already given the partition to another owner.
	report   bool
	attempts map[*attempt]struct{}
	// usableUntil is the end that the target has acknowledged, on the node's clock.
	usableUntil time.Time
	// until is the latest end in any order sent, acknowledged or not, on the node's clock.
	until time.Time
	// drainUntil is the end of the drain limit.
	drainUntil time.Time
	// removed is the version of the set from which on the grant is left out.
	removed   uint64
	revokedAt time.Time

	// Of targets that pull their grants:
	// leftOut is the sequence of the announcement whose reply left the grant out; 0 before.
	leftOut uint64
	// held says that the target's last announcement listed the grant.
	held bool
	// inherited is the handover token of the last owner, handover that of this one's release.
	inherited, handover string
}

func (g *grant) cancelAttempts() {
	for a := range g.attempts {
		a.cancel(errMoved)
	}
}

// reconcile takes over the target's assignments from the view.
func (t *Target) reconcile(v *api.View, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.takeOverView(v, now)
}

// takeOverView is reconcile for a caller that holds t.mu.
func (t *Target) takeOverView(v *api.View, now time.Time) {
	current := mapVersion{session: v.Session, version: v.MapVersion}
	if t.seen == current {
		return
	}
	t.seen = current
	list := v.Assignments[t.info.Service]
	if s := configured(v, t.info.Service); s != nil {
		t.divideGrants(s)
	}
	added := make(map[api.Epoch][]int)
	for p := range list {
		a := &list[p]
		if a.State == api.Unassigned || a.Target != t.info.ID || a.Session != v.Session {
			continue
		}
		if t.takeOver(p, a, now) {
			added[a.Epoch] = append(added[a.Epoch], p)
		}
	}
	if len(added) > 0 {
		telemetry.Logger("host").WithField("target", t.info.ID).WithField("map", v.MapVersion).
			WithField("by_epoch", added).Info("Grants taken up.")
	}
	for p, g := range t.grants {
		if p < len(list) && holds(&list[p], t.info.ID, v.Session, g.epoch) {
			continue
		}
		g.report = false
		t.revoke(g, now)
	}
}

// divideGrants replaces the grants of divided partitions by grants of their parts. Nothing changes for
// the target, and requests that run go on under the first part.
func (t *Target) divideGrants(s *api.Service) {
	for _, split := range s.Splits {
		g := t.grants[split.Base]
		if g == nil {
			continue
		}
		delete(t.grants, split.Base)
		for i := range split.Parts {
			part := *g
			part.partition = split.First + i
			if i > 0 {
				part.attempts = make(map[*attempt]struct{})
			}
			if t.grants[part.partition] == nil && t.r.admitEpoch(api.PartitionRef{Service: s.Name, Partition: part.partition}, part.epoch) {
				t.grants[part.partition] = &part
			}
		}
	}
}

func holds(a *api.Assignment, id api.TargetID, session api.SessionID, epoch api.Epoch) bool {
	return a.State != api.Unassigned && a.Target == id && a.Session == session && a.Epoch == epoch
}

// takeOver compares one assignment with the grant at the node, and says whether it began one.
func (t *Target) takeOver(partition int, a *api.Assignment, now time.Time) (added bool) {
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

// addGrant begins a grant. It returns nil for one that is older than another of the partition
// or was released before.
func (t *Target) addGrant(partition int, a *api.Assignment, now time.Time) *grant {
	epoch := a.Epoch
	ref := api.PartitionRef{Service: t.info.Service, Partition: partition}
	if !t.r.admitEpoch(ref, epoch) {
		return nil
	}
	g := &grant{
		partition: partition, epoch: epoch, report: true, inherited: a.Handover,
		attempts: make(map[*attempt]struct{}),
	}
	if t.info.Pulls {
		// An earlier process of this node may have promised the range for as long as this.
		g.until = now.Add(t.r.o.MaxHold)
	}
	if old := t.grants[partition]; old != nil {
		old.cancelAttempts()
		g.until = old.until
	}
	t.grants[partition] = g
	t.orders.version++
	if t.lost {
		t.revoke(g, now)
	}
	if !t.info.ChecksGrants {
		t.announceDelivery()
	}
	return g
}

// revoke takes the grant out of the orders and cancels what runs under it.
func (t *Target) revoke(g *grant, now time.Time) {
	if g.phase == revoking {
		return
	}
	g.phase = revoking
	g.revokedAt = now
	t.orders.version++
	g.removed = t.orders.version
	if !t.info.Pulls || t.lost {
		// A pulling target finishes what it works on before it releases the range.
		g.cancelAttempts()
	}
}

// advance moves draining and revoked grants on and reports those that have ended.
func (t *Target) advance(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.info.Pulls && !t.lost && t.silent(now) {
		t.markLost(now, "no announcement")
	}
	for _, g := range t.grants {
		if g.phase == draining && !t.info.Pulls && (len(g.attempts) == 0 || !now.Before(g.drainUntil)) {
			t.revoke(g, now)
		}
		if g.phase == revoking && t.ended(g, now) {
			t.end(g)
		}
	}
}

// ended says that the target can no longer do any work under the grant.
func (t *Target) ended(g *grant, now time.Time) bool {
	if t.refused && t.running == 0 {
		// No process listens and nothing is in flight: nothing runs there.
		return true
	}
	if !t.info.ChecksGrants {
		return len(g.attempts) == 0
	}
	if t.info.Pulls {
		return now.After(g.until.Add(t.r.o.DriftMargin))
	}
	if now.After(g.until.Add(t.r.o.DriftMargin)) {
		return true
	}
	acknowledged := t.orders.acknowledged >= g.removed
	return acknowledged && (len(g.attempts) == 0 || now.After(g.revokedAt.Add(cancelGrace)))
}

func (t *Target) end(g *grant) {
	delete(t.grants, g.partition)
	telemetry.Logger("host").WithField("target", t.info.ID).WithField("partition", g.partition).
		WithField("epoch", g.epoch).WithField("handover", g.handover != "").Info("Grant ended.")
	if g.report {
		ref := api.PartitionRef{Service: t.info.Service, Partition: g.partition}
		t.r.release(api.Released{PartitionRef: ref, Epoch: g.epoch, Handover: g.handover})
	}
}

// nextDeadline returns the time at which advance has something to do, at most limit.
func (t *Target) nextDeadline(limit time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.grants {
		switch {
		case g.phase == draining && !t.info.Pulls:
			limit = earlier(limit, g.drainUntil)
		case g.phase == revoking && t.info.ChecksGrants:
			limit = earlier(limit, g.until.Add(t.r.o.DriftMargin+time.Millisecond))
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
