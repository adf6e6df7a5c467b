package host

import (
	"cmp"
	"slices"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/internal/boottime"
	"github.com/zinniapier/zinniapier/telemetry"
)

// pollLimit bounds how long a reply waits for something to tell. An announcement whose reply
// takes a second has failed for the target; between the reply and the next announcement, some
// 870 ms after the last one, the target hears of nothing.
const pollLimit = 700 * time.Millisecond

// replyToPull builds the set of grants for the target. A grant that is being moved is left out
// from now on: the target serves it until it reads the reply. The caller holds t.mu.
func (t *Target) replyToPull(v *api.View, s *api.Service, p api.Pull, now time.Time) api.PullReply {
	left := v.LeaseEnd - boottime.Now()
	hold := min(time.Duration(float64(left)/(1+clockDrift))-holdMargin, t.r.o.MaxHold)
	if hold <= 0 {
		return api.PullReply{}
	}
	until := now.Add(time.Duration(float64(hold) * (1 + clockDrift)))
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
			if g.leftOut == 0 {
				g.leftOut = p.Sequence
			}
			return
		}
		row := api.RangeGrant{KeyRange: s.Range(partition), Epoch: g.epoch}
		if joined := appendRow(plain, row); len(joined) <= MaxReplyRanges {
			plain = joined
		} else {
			telemetry.CountEvent("range_beyond_reply", 1)
			return
		}
		g.until = later(g.until, until)
		g.usableUntil = now.Add(hold)
		if !g.held {
			row.Handover = g.inherited
		}
		reply.Grants = appendRow(reply.Grants, row)
	})
	if len(reply.Grants) > MaxReplyRangesWithTokens {
		reply.Grants = plain
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

func sortedRanges(rows []api.RangeGrant) []api.RangeGrant {
	sorted := slices.Clone(rows)
	slices.SortFunc(sorted, func(a, b api.RangeGrant) int { return cmp.Compare(a.First, b.First) })
	return sorted
}

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
