package host

import (
	"cmp"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/boottime"
	"github.com/zinniapier/zinniapier/telemetry"
)

const (
	// clockDrift is how much slower than real time a target's clock may run: it then keeps its
	// grants longer than it was told by this share.
	clockDrift = 0.02
	// holdMargin is taken off each hold for the rounding of times on the way.
	holdMargin = 20 * time.Millisecond
	// maxRows bounds the ranges in a reply. One with a handover token takes up to 45 bytes, and
	// a target reads at most 4 KiB; beyond the bound the tokens are left out.
	maxRows = 80
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

// pollLimit bounds how long a reply waits for something to tell. An announcement whose reply
// takes a second has failed for the target.
const pollLimit = 500 * time.Millisecond

// awaitChange holds a reply that brings nothing new until something changes, so that a target hears
// of it at once and not with its next announcement.
func (t *Target) awaitChange(p api.Pull, reply api.PullReply, changed <-chan struct{}) api.PullReply {
	timer := time.NewTimer(pollLimit)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			reply, _ = t.replyAgain(p)
			return reply
		case <-t.done:
			return reply
		case <-changed:
		}
		var again <-chan struct{}
		if reply, again = t.replyAgain(p); again == nil {
			return reply
		}
		changed = again
	}
}

// replyAgain builds the reply to an announcement anew.
func (t *Target) replyAgain(p api.Pull) (api.PullReply, <-chan struct{}) {
	v := t.r.o.View()
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	service := configured(v, t.info.Service)
	if t.replaced || t.pulled.sequence != p.Sequence {
		return api.PullReply{}, nil
	}
	if service == nil {
		return api.PullReply{}, t.pulled.changed
	}
	if !service.Ranged() {
		return api.PullReply{}, nil
	}
	t.takeOverView(v, now)
	reply := t.replyToPull(v, service, p, now)
	return reply, t.worthWaiting(p, reply)
}

// worthWaiting returns the channel of the next change when the reply tells the target nothing that
// it does not do already; else nil. The caller holds t.mu.
func (t *Target) worthWaiting(p api.Pull, reply api.PullReply) <-chan struct{} {
	if t.draining || !sameRanges(p.Holds, reply.Grants) {
		return nil
	}
	return t.pulled.changed
}

// sameRanges says whether the rows cover the same keys under the same epochs.
func sameRanges(held, granted []api.RangeGrant) bool {
	return slices.Equal(withoutHandovers(sortedRanges(held)), withoutHandovers(granted))
}

// notifyPull ends the wait of a held reply.
func (t *Target) notifyPull() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.pulled.changed)
	t.pulled.changed = make(chan struct{})
}

// LeavePulled notes that a target goes away for good; it gets no new work from now on. A target
// that is not known has nothing to leave.
func (r *Registry) LeavePulled(id api.TargetID) {
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

// FindPulled returns the id of the latest instance that goes by the name, or "".
func (r *Registry) FindPulled(instance string) api.TargetID {
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
	t.r.o.Kick()
}

// StateCold tells what an answer said of the target's cold start; 0 means that it has ended.
func (t *Target) StateCold(left time.Duration) {
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
		t.gate.SetCold(max(t.pulled.coldUntil.Sub(now), 0), service.ColdRate)
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
	switch limit := t.r.o.AdmitDraining; {
	case !t.draining || limit <= 0 || now.Sub(p.drainingSince) < limit:
	default:
		return errkind.New(errkind.WrongOwner, "target %s has been leaving for %v", t.info.ID, now.Sub(p.drainingSince))
	}
	if limit := t.r.o.AdmitOut; limit > 0 && !p.outSince.IsZero() && now.Sub(p.outSince) >= limit {
		return errkind.New(errkind.WrongOwner, "target %s has been taken out for %v", t.info.ID, now.Sub(p.outSince))
	}
	return nil
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

func within(inner, outer api.KeyRange) bool {
	return outer.First <= inner.First && inner.Last <= outer.Last
}

func overlapsAny(held []api.RangeGrant, r api.KeyRange) bool {
	for _, h := range held {
		if h.First <= r.Last && r.First <= h.Last {
			return true
		}
	}
	return false
}

// holdsRange says whether the target holds the whole range under the epoch.
func holdsRange(held []api.RangeGrant, r api.KeyRange, epoch api.Epoch) bool {
	next := r.First
	for _, h := range sortedRanges(held) {
		if h.Epoch == epoch && h.First <= next && h.Last >= next {
			next = h.Last + 1
		}
	}
	return next > r.Last
}

// replyToPull builds the set of grants for the target. A grant that is being moved is left out
// from now on: the target serves it until it reads the reply. The caller holds t.mu.
func (t *Target) replyToPull(v *api.View, s *api.Service, p api.Pull, now time.Time) api.PullReply {
	left := v.LeaseEnd - boottime.Now()
	hold := min(time.Duration(float64(left)/(1+clockDrift))-holdMargin, t.r.o.LongestHold)
	if hold <= 0 {
		return api.PullReply{}
	}
	until := now.Add(time.Duration(float64(hold) * (1 + clockDrift)))
	reply := api.PullReply{Renews: true, Hold: hold}
	for partition := range s.Partitions {
		g := t.grants[partition]
		if g == nil {
			continue
		}
		if g.phase == draining {
			t.revoke(g, now)
		}
		if g.phase == revoking {
			if g.leftOut == 0 {
				g.leftOut = p.Sequence
			}
			continue
		}
		g.until = later(g.until, until)
		g.usableUntil = now.Add(hold)
		row := api.RangeGrant{KeyRange: s.Range(partition), Epoch: g.epoch}
		if !g.held {
			row.Handover = g.inherited
		}
		reply.Grants = appendRow(reply.Grants, row)
	}
	if len(reply.Grants) > maxRows {
		reply.Grants = withoutHandovers(reply.Grants)
	}
	t.announceDelivery()
	return reply
}

// appendRow adds a range, joined with the last one when they are neighbours under one grant.
func appendRow(rows []api.RangeGrant, row api.RangeGrant) []api.RangeGrant {
	if n := len(rows); n > 0 {
		last := &rows[n-1]
		if last.Last+1 == row.First && last.Epoch == row.Epoch && last.Handover == row.Handover {
			last.Last = row.Last
			return rows
		}
	}
	return append(rows, row)
}

func withoutHandovers(rows []api.RangeGrant) []api.RangeGrant {
	var joined []api.RangeGrant
	for _, row := range rows {
		row.Handover = ""
		joined = appendRow(joined, row)
	}
	return joined
}

// ConnectionRefused tells that the target's address has refused a connection. A pulling target
// that refuses a second one has ended, since its node is the only way to it.
func (t *Target) ConnectionRefused() {
	if !t.info.Pulls {
		return
	}
	t.mu.Lock()
	sequence := t.pulled.sequence
	t.mu.Unlock()
	t.r.confirmRefused(t, sequence)
}

func sortedRanges(rows []api.RangeGrant) []api.RangeGrant {
	sorted := slices.Clone(rows)
	slices.SortFunc(sorted, func(a, b api.RangeGrant) int { return cmp.Compare(a.First, b.First) })
	return sorted
}

// refusalPause separates the two refused connections that show that a target has ended.
const refusalPause = 30 * time.Millisecond

// confirmRefused looks once more whether a target that has not announced itself since still
// refuses connections, and marks it lost.
func (r *Registry) confirmRefused(t *Target, sequence uint64) {
	time.AfterFunc(refusalPause, func() {
		conn, err := net.DialTimeout("tcp", t.info.Address, refusalPause)
		if err == nil {
			_ = conn.Close()
			return
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		if !errors.Is(err, syscall.ECONNREFUSED) || t.pulled.sequence != sequence {
			return
		}
		t.refused = true
		t.markLost(time.Now(), "connection refused")
		t.kick()
	})
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
