package host

import (
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/telemetry"
)

const (
	// clockDrift is how much slower than real time the clock of a target may run, as a fraction: it
	// then keeps its grants that much longer than granted.
	clockDrift = 0.02
	// holdMargin is subtracted from each hold to allow for the rounding of times in transfer.
	holdMargin = 20 * time.Millisecond
	// MaxReplyRangesWithTokens bounds the ranges in a reply with handover tokens. Such a range takes up
	// to 45 bytes, and a target reads at most 4 KiB; in longer replies the tokens are omitted.
	MaxReplyRangesWithTokens = 80
	// MaxReplyRanges bounds the ranges in any reply; one without a token takes up to 26 bytes. Further
	// ranges are not granted: a reply that cannot be read would end all of them.
	MaxReplyRanges = 140
)

const (
	// maxSequence is above the sequence of every target: ten announcements a second take 13 years.
	maxSequence = 1 << 32
	// maxStartAhead is how far the start of a target may lie in the future; clocks differ by seconds.
	maxStartAhead = time.Hour
)

const (
	// lateAnnouncement is how late an announcement may arrive.
	lateAnnouncement = 10 * time.Second
	// unconfirmedIntervals is the number of intervals between announcements in which the second one arrives, also a slow one.
	unconfirmedIntervals = 2
)

// checkPull returns Invalid for numbers that no target sends. Once accepted, all later announcements of the target
// would count as old.
func checkPull(a api.Announcement, p api.Pull, now time.Time) error {
	if p.Sequence > maxSequence {
		return errkind.New(errkind.Invalid, "sequence %d is too large", p.Sequence)
	}
	if a.StartedMs > now.Add(maxStartAhead).UnixMilli() {
		return errkind.New(errkind.Invalid, "start at %d ms lies in the future", a.StartedMs)
	}
	return nil
}

// withDrift returns the longest real time that a target with a slow clock measures as d.
func withDrift(d time.Duration) time.Duration { return time.Duration(float64(d) * (1 + clockDrift)) }

// withoutDrift returns the longest hold that ends within d on a slow clock.
func withoutDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d)/(1+clockDrift)) - holdMargin
}

// pullState is the state of a target that pulls: it gets its grants in the replies to its announcements.
type pullState struct {
	// sequence is the sequence of the latest announcement.
	sequence uint64
	// leaving is true once the target has said that it stops for ever, by a call or in a response.
	leaving bool
	// drainingSince is when the draining state last changed, takenOutSince when this node learnt that
	// operators took the target or its zone out; zero when they have not.
	drainingSince time.Time
	takenOutSince time.Time
	// confirming is true while a refused connection is being checked again.
	confirming bool
	// coldUntil is the end of the cold start that the target has reported.
	coldUntil time.Time
	// rateLimit is the rate that the target has named last, at rateNamed, in requests per second; negative for
	// none.
	rateLimit float64
	rateNamed time.Time
	// responded is true once a response has arrived.
	responded bool
	// changed is closed and replaced when the node has something new for the target.
	changed chan struct{}
}

// Pull applies an announcement of a target that pulls its grants, and returns the grants that it may
// hold. A reply without news is held for up to maxReplyHold. Errors: Invalid for malformed properties,
// Conflict for an announcement that is older than another of the instance or its address; neither
// changes anything.
func (r *Registry) Pull(a api.Announcement, p api.Pull) (api.PullReply, error) {
	arrived := time.Now()
	a.Pulls, a.ChecksGrants = true, true
	if err := checkAnnouncement(&a); err != nil {
		return api.PullReply{}, err
	}
	if err := checkPull(a, p, arrived); err != nil {
		return api.PullReply{}, err
	}
	t := r.Lookup(a.ID)
	if t == nil {
		if r.hasNewerInstance(a) {
			return api.PullReply{}, errkind.New(errkind.Conflict, "a later instance than %s runs at %s", a.ID, a.Address)
		}
		if err := r.add(a, arrived); err != nil {
			return api.PullReply{}, err
		}
		t = r.Lookup(a.ID)
	}
	reply, changed, err := t.pull(r.o.View(), p, arrived)
	t.wake()
	if err != nil || changed == nil {
		return reply, err
	}
	return t.awaitChange(p, reply, changed), nil
}

// MarkLeaving marks a pulling target as draining for the rest of its life. An unknown target is ignored.
func (r *Registry) MarkLeaving(id api.TargetID) {
	t := r.Lookup(id)
	if t == nil {
		return
	}
	t.mu.Lock()
	t.pulled.leaving = true
	t.setDraining(true)
	t.mu.Unlock()
	t.wake()
}

// LatestInstance returns the id of the pulling target that was started last under the instance name,
// or "".
func (r *Registry) LatestInstance(instance string) api.TargetID {
	var found *Target
	for _, t := range r.all() {
		if t.info.Pulls && t.info.Instance == instance && (found == nil || t.info.StartedMs > found.info.StartedMs) {
			found = t
		}
	}
	if found == nil {
		return ""
	}
	return found.info.ID
}

// hasNewerInstance reports whether an instance that was started later has announced the address.
func (r *Registry) hasNewerInstance(a api.Announcement) bool {
	for _, t := range r.all() {
		if t.info.Address == a.Address && t.info.StartedMs > a.StartedMs {
			return true
		}
	}
	return false
}

// pull applies an announcement. The returned channel is set when the reply brings nothing new.
func (t *Target) pull(v *api.View, p api.Pull, now time.Time) (api.PullReply, <-chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.replaced {
		return api.PullReply{}, nil, errkind.New(errkind.Conflict, "a later instance has replaced %s", t.info.ID)
	}
	if p.Sequence <= t.pulled.sequence {
		return api.PullReply{}, nil, errkind.New(errkind.Conflict, "announcement %d is not newer than %d", p.Sequence, t.pulled.sequence)
	}
	first := t.pulled.sequence == 0
	t.pulled.sequence = p.Sequence
	t.announced = now
	t.notListening = false
	t.markReturned()
	t.setDraining(p.Draining || t.pulled.leaving)
	t.pulled.coldUntil = now.Add(max(p.ColdFor, t.unconfirmedCold(first, now)))
	t.updateColdRate(v, now)
	t.recordTakenOut(v.Configuration, now)
	service := configured(v, t.info.Service)
	if service == nil {
		return api.PullReply{}, t.pulled.changed, nil
	}
	if !service.Ranged() {
		return api.PullReply{}, nil, nil
	}
	t.applyViewLocked(v, now)
	if t.deliversByCall(service) {
		t.confirmCalls()
		return api.PullReply{}, nil, nil
	}
	t.endReleasedGrants(service, p)
	reply := t.buildPullReply(v, service, p, now)
	return reply, t.nextChange(p, reply), nil
}

// unconfirmedCold returns how long the target counts as cold because of an announcement that may be late. A process that has just
// started cannot tell whether the first announcement is from the target that runs now or from one before it, which was warm; the next
// one follows within HeartbeatInterval.
//
// Load pattern: a host loses power; its target is back and cold, its node is back, and an announcement from before the loss arrives.
func (t *Target) unconfirmedCold(first bool, now time.Time) time.Duration {
	if !first || now.Sub(t.r.started) > lateAnnouncement {
		return 0
	}
	return unconfirmedIntervals * t.r.o.HeartbeatInterval
}

func (t *Target) setDraining(draining bool) {
	if draining == t.draining {
		return
	}
	t.draining = draining
	t.pulled.drainingSince = time.Now()
	telemetry.Logger("host").WithField("target", t.info.ID).WithField("draining", draining).Info("Target draining state changed.")
	t.r.o.Wake()
}

// configured returns the service, or nil when the node does not know it.
func configured(v *api.View, name string) *api.Service {
	if v.Configuration == nil {
		return nil
	}
	return v.Configuration.Services.Find(name)
}

// endReleasedGrants ends the revoked grants that the target no longer holds, and keeps the handover
// tokens of the releases.
func (t *Target) endReleasedGrants(s *api.Service, p api.Pull) {
	for _, released := range p.Released {
		for _, g := range t.grants {
			if within(s.Range(g.partition), released.KeyRange) {
				g.handover = released.Handover
			}
		}
	}
	for _, g := range t.grants {
		g.held = holdsRange(p.Holds, s.Range(g.partition), g.epoch)
		if g.phase == revoking && g.omittedIn > 0 && p.Sequence > g.omittedIn && !overlapsAny(p.Holds, s.Range(g.partition)) {
			t.endGrant(g)
		}
	}
}
