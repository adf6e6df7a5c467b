package host

import (
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/telemetry"
)

const (
	// clockDrift is how much slower than real time a target's clock may run: it then keeps its
	// grants longer than it was told by this share.
	clockDrift = 0.02
	// holdMargin is taken off each hold for the rounding of times on the way.
	holdMargin = 20 * time.Millisecond
	// MaxReplyRangesWithTokens bounds the ranges in a reply with handover tokens. Such a range takes up to 45
	// bytes, and a target reads at most 4 KiB; beyond the bound the tokens are left out.
	MaxReplyRangesWithTokens = 80
	// MaxReplyRanges bounds the ranges in any reply; one without a token takes up to 26 bytes. Further ranges
	// are not granted: a reply that cannot be read would end all of them.
	MaxReplyRanges = 140
)

// pullState is what is known of a target that takes its grants from the replies to its
// announcements.
type pullState struct {
	// sequence is that of the latest announcement.
	sequence uint64
	// left says that the target has said that it leaves for good.
	left bool
	// drainingSince is when the target said that it leaves, outSince when this node learnt that
	// operators took it or its zone out; zero when they have not.
	drainingSince time.Time
	outSince      time.Time
	// confirming says that a refused connection is being looked into.
	confirming bool
	// coldUntil is the end of the cold start that the target has stated.
	coldUntil time.Time
	// changed is closed and replaced when the node has something new for the target.
	changed chan struct{}
}

// Pull takes in an announcement of a target that pulls its grants, and returns the grants that
// it may hold. Errors: Invalid for malformed properties, Conflict for an announcement that is
// older than another of the instance or of its place; neither changes anything.
func (r *Registry) Pull(a api.Announcement, p api.Pull) (api.PullReply, error) {
	arrived := time.Now()
	a.Pulls, a.ChecksGrants = true, true
	if err := checkAnnouncement(&a); err != nil {
		return api.PullReply{}, err
	}
	t := r.Lookup(a.ID)
	if t == nil {
		if r.hasLater(a) {
			return api.PullReply{}, errkind.New(errkind.Conflict, "a later instance than %s runs at %s", a.ID, a.Address)
		}
		if err := r.add(a, arrived); err != nil {
			return api.PullReply{}, err
		}
		t = r.Lookup(a.ID)
	}
	reply, changed, err := t.pull(r.o.View(), p, arrived)
	t.kick()
	if err != nil || changed == nil {
		return reply, err
	}
	return t.awaitChange(p, reply, changed), nil
}

// MarkLeaving notes that a target goes away for good; it gets no new work from now on. A target
// that is not known has nothing to leave.
func (r *Registry) MarkLeaving(id api.TargetID) {
	t := r.Lookup(id)
	if t == nil {
		return
	}
	t.mu.Lock()
	t.pulled.left = true
	t.setDraining(true)
	t.mu.Unlock()
	t.kick()
}

// LatestInstance returns the id of the latest instance that goes by the name, or "".
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

// hasLater says whether an instance that was started later has announced the address.
func (r *Registry) hasLater(a api.Announcement) bool {
	for _, t := range r.all() {
		if t.info.Address == a.Address && t.info.StartedMs > a.StartedMs {
			return true
		}
	}
	return false
}

// pull takes in an announcement. The channel is set when the reply brings nothing new.
func (t *Target) pull(v *api.View, p api.Pull, now time.Time) (api.PullReply, <-chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.replaced {
		return api.PullReply{}, nil, errkind.New(errkind.Conflict, "a later instance has taken the place of %s", t.info.ID)
	}
	if p.Sequence <= t.pulled.sequence {
		return api.PullReply{}, nil, errkind.New(errkind.Conflict, "announcement %d after %d", p.Sequence, t.pulled.sequence)
	}
	t.pulled.sequence = p.Sequence
	t.announced = now
	t.refused = false
	t.revive()
	t.setDraining(p.Draining || t.pulled.left)
	t.pulled.coldUntil = now.Add(p.ColdFor)
	t.paceCold(v, now)
	t.noteOut(v.Configuration, now)
	service := configured(v, t.info.Service)
	if service == nil {
		return api.PullReply{}, t.pulled.changed, nil
	}
	if !service.Ranged() {
		return api.PullReply{}, nil, nil
	}
	t.takeOverView(v, now)
	t.settlePulled(service, p)
	reply := t.replyToPull(v, service, p, now)
	return reply, t.worthWaiting(p, reply), nil
}

func (t *Target) setDraining(draining bool) {
	if draining == t.draining {
		return
	}
	t.draining = draining
	t.pulled.drainingSince = time.Now()
	telemetry.Logger("host").WithField("target", t.info.ID).WithField("draining", draining).Info("Target changes its state.")
	t.r.o.Wake()
}

// configured returns the service, or nil when the node does not know it.
func configured(v *api.View, name string) *api.Service {
	if v.Configuration == nil {
		return nil
	}
	return v.Configuration.Services.Find(name)
}

// settlePulled ends the revoked grants that the target no longer holds, and keeps the tokens
// that came with the releases.
func (t *Target) settlePulled(s *api.Service, p api.Pull) {
	for _, released := range p.Released {
		for _, g := range t.grants {
			if within(s.Range(g.partition), released.KeyRange) {
				g.handover = released.Handover
			}
		}
	}
	for _, g := range t.grants {
		g.held = holdsRange(p.Holds, s.Range(g.partition), g.epoch)
		if g.phase == revoking && g.leftOut > 0 && p.Sequence > g.leftOut && !overlapsAny(p.Holds, s.Range(g.partition)) {
			t.end(g)
		}
	}
}
