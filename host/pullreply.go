package host

import (
	"cmp"
	"slices"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/internal/boottime"
	"github.com/zinniapier/zinniapier/telemetry"
)

// maxReplyHold bounds how long a reply without news is held. A target gives up an announcement after
// one second. The next one follows about 870 ms after the last; between the reply and it, the target
// learns of no change.
const maxReplyHold = 700 * time.Millisecond

// buildPullReply builds the set of grants for the target. A grant that is being moved is omitted from
// now on: the target serves it until it reads the reply. The caller holds t.mu.
func (t *Target) buildPullReply(v *api.View, s *api.Service, p api.Pull, now time.Time) api.PullReply {
	left := v.LeaseEnd - boottime.Now()
	hold := min(withoutDrift(left), t.r.o.MaxHold)
	if hold <= 0 {
		return api.PullReply{}
	}
	expiry := now.Add(withDrift(hold))
	reply := api.PullReply{Renews: true, Hold: hold}
	var plain []api.RangeGrant
	s.InKeyOrder(func(partition int) {
		g := t.grants[partition]
		if g == nil {
			return
		}
		if g.phase == draining {
			t.revoke(g, now)
		}
		if g.phase == revoking {
			if g.omittedIn == 0 {
				g.omittedIn = p.Sequence
			}
			return
		}
		row := api.RangeGrant{KeyRange: s.Range(partition), Epoch: g.epoch}
		if joined := appendRange(plain, row); len(joined) <= MaxReplyRanges {
			plain = joined
		} else {
			telemetry.CountEvent("range_beyond_reply", 1)
			return
		}
		g.expiry = later(g.expiry, expiry)
		g.acknowledgedUntil = now.Add(hold)
		if !g.held {
			row.Handover = g.receivedHandover
		}
		reply.Grants = appendRange(reply.Grants, row)
	})
	if len(reply.Grants) > MaxReplyRangesWithTokens {
		reply.Grants = plain
	}
	t.notifyGrantsUsable()
	return reply
}

// appendRange appends a range, or extends the last one when they are adjacent and equal in epoch and
// handover token.
func appendRange(rows []api.RangeGrant, row api.RangeGrant) []api.RangeGrant {
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
		joined = appendRange(joined, row)
	}
	return joined
}

func sortedRanges(rows []api.RangeGrant) []api.RangeGrant {
	sorted := slices.Clone(rows)
	slices.SortFunc(sorted, func(a, b api.RangeGrant) int { return cmp.Compare(a.First, b.First) })
	return sorted
}

// awaitChange holds a reply without news until something changes, so that the target learns of it at
// once and not with its next announcement.
func (t *Target) awaitChange(p api.Pull, reply api.PullReply, changed <-chan struct{}) api.PullReply {
	timer := time.NewTimer(maxReplyHold)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			reply, _ = t.rebuildReply(p)
			return reply
		case <-t.done:
			return reply
		case <-changed:
		}
		var again <-chan struct{}
		if reply, again = t.rebuildReply(p); again == nil {
			return reply
		}
		changed = again
	}
}

// rebuildReply builds the reply to an announcement again, from the latest view.
func (t *Target) rebuildReply(p api.Pull) (api.PullReply, <-chan struct{}) {
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
	t.applyViewLocked(v, now)
	if t.deliversByCall(service) {
		return api.PullReply{}, nil
	}
	reply := t.buildPullReply(v, service, p, now)
	return reply, t.nextChange(p, reply)
}

// nextChange returns the channel of the next change when the reply grants exactly what the target
// holds; else nil. The caller holds t.mu.
func (t *Target) nextChange(p api.Pull, reply api.PullReply) <-chan struct{} {
	if t.draining || !sameRanges(p.Holds, reply.Grants) {
		return nil
	}
	return t.pulled.changed
}

// sameRanges reports whether both lists cover the same keys under the same epochs.
func sameRanges(held, granted []api.RangeGrant) bool {
	return slices.Equal(withoutHandovers(sortedRanges(held)), withoutHandovers(granted))
}

// endReplyHold makes a held reply be built again.
func (t *Target) endReplyHold() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.pulled.changed)
	t.pulled.changed = make(chan struct{})
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

// holdsRange reports whether the target holds the whole range under the epoch.
func holdsRange(held []api.RangeGrant, r api.KeyRange, epoch api.Epoch) bool {
	next := r.First
	for _, h := range sortedRanges(held) {
		if h.Epoch == epoch && h.First <= next && h.Last >= next {
			next = h.Last + 1
		}
	}
	return next > r.Last
}
