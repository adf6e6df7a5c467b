package host

import (
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/boottime"
	"github.com/zinniapier/zinniapier/telemetry"
)

const (
	// callTimeout bounds a call that grants a range. A target beside its node answers within
	// milliseconds unless it is in trouble.
	callTimeout = 500 * time.Millisecond
	// releaseTimeout bounds a call that releases a range: the target answers once its running work on
	// the range has ended.
	releaseTimeout = 2 * time.Second
	// minCallHold is the shortest hold worth a call.
	minCallHold = 200 * time.Millisecond
	// renewDivisor: a grant is renewed once less than hold/renewDivisor is left, which leaves time for
	// several retries.
	renewDivisor = 2
	// maxGrantCalls and maxReleaseCalls bound the calls in flight to one target. Releases are counted
	// apart because they wait for running work.
	maxGrantCalls   = 4
	maxReleaseCalls = 8
	// minCallBackoff and maxCallBackoff bound the wait after a call without an answer.
	minCallBackoff = 100 * time.Millisecond
	maxCallBackoff = time.Second
)

// RangeCalls translates the calls that grant ranges to a target and release them.
type RangeCalls interface {
	// NewGrant returns the call that grants the row to the instance at the address for the duration
	// hold, which the target counts from the arrival of the call. id identifies the call in logs.
	NewGrant(id, address, instance string, row api.RangeGrant, hold time.Duration) (*http.Request, error)
	// NewRelease returns the call that releases the row.
	NewRelease(id, address, instance string, row api.RangeGrant) (*http.Request, error)
	// ParseGrant returns nil if the response accepts the grant. Errors: StaleEpoch if the target has seen
	// a higher epoch on a key of the row, CrossedAnswer for a response to another call, else Unknown.
	ParseGrant(id string, response *http.Response) error
	// ParseRelease returns the handover token, empty for none. Errors: CrossedAnswer and Unknown, as for
	// ParseGrant.
	ParseRelease(id string, response *http.Response) (handover string, err error)
}

// callState is the state of a grant that is delivered by calls.
type callState struct {
	inFlight bool
	// failures counts the calls since the last answer; nextAt is when the next one may be sent.
	failures int
	nextAt   time.Time
	// unconfirmed is set while the next call waits for a heartbeat.
	unconfirmed bool
	// uncertainUntil is until when an unanswered grant call may still be in force: the target may
	// process it seconds later, even after a release, but counts the hold from its arrival.
	uncertainUntil time.Time
	// released is set once the target has answered a release.
	released bool
	// single excludes the partition from longer rows, to find the one that the target refuses.
	single bool
}

// rangeCall is a call that is due or in flight. It covers adjacent partitions of equal epoch.
type rangeCall struct {
	release bool
	row     api.RangeGrant
	hold    time.Duration
	grants  []*grant
	due     bool
	// renewal is set if the target already holds the row.
	renewal bool
	sent    time.Time
	// expiry is the latest end of the grant at the target, whether or not the call is answered.
	expiry time.Time
}

// deliversByCall reports whether the target gets its grants by calls rather than in replies.
func (t *Target) deliversByCall(s *api.Service) bool {
	return t.info.Pulls && t.r.o.Calls != nil && s != nil && s.Ranged() && s.GrantsByCall
}

// maxCallHold bounds the hold of calls that a previous process of this node may have sent.
func (r *Registry) maxCallHold() time.Duration {
	hold := r.o.MaxHold
	if r.o.Lease > 0 {
		hold = min(hold, r.o.Lease)
	}
	return hold
}

// previousCallsEnd is until when grants by a previous process of this node may be in force.
func (r *Registry) previousCallsEnd() time.Time {
	return r.started.Add(callTimeout + withDrift(r.maxCallHold()))
}

// callHold returns the hold of a grant call sent now. It ends within the lease of the node even if the
// call arrives as late as its timeout allows.
//
// Load pattern: a target that takes calls and answers none. A retry must not extend the hold, or the
// partition could never be granted to another target. The same holds for a partition that is to move
// while an unanswered call may still be in force.
func (t *Target) callHold(v *api.View, g *grant, now time.Time) time.Duration {
	left := v.LeaseEnd - boottime.Now() - callTimeout
	hold := min(withoutDrift(left), t.r.o.MaxHold)
	if g.call.failures > 0 || g.phase == draining {
		hold = min(hold, withoutDrift(g.expiry.Sub(now)-callTimeout))
	}
	return hold
}

// renewAt returns when the next call for the grant is due.
func (g *grant) renewAt(hold time.Duration) time.Time {
	if g.phase == revoking || !g.held {
		return g.call.nextAt
	}
	return later(g.call.nextAt, g.acknowledgedUntil.Add(-hold/renewDivisor))
}

// dueCalls returns the calls to send now, releases and first grants before renewals, and when it has to
// run again. It sends nothing itself. The caller holds t.mu.
//
// Load pattern: a target with many ranges whose calls are slow. Adjacent partitions of equal epoch share
// a call, the number of calls in flight is bounded, and a partition never has two, so that one slow call
// delays no other partition.
func (t *Target) dueCalls(v *api.View, s *api.Service, now time.Time) (calls []*rangeCall, next time.Time) {
	next = now.Add(t.r.o.OrderInterval)
	if t.lost || t.replaced {
		return nil, next
	}
	var rows []*rangeCall
	s.InKeyOrder(func(partition int) {
		g := t.grants[partition]
		if g == nil || g.call.inFlight || g.call.released {
			return
		}
		hold := t.callHold(v, g, now)
		if g.phase != revoking && hold < minCallHold {
			return
		}
		due := g.renewAt(hold)
		if due.After(now) {
			next = earlier(next, due)
			if g.phase == revoking || !g.held || g.call.nextAt.After(now) {
				return
			}
		}
		rows = appendCall(rows, g, s.Range(partition), hold, !due.After(now))
	})
	grants, releases := maxGrantCalls-t.grantCalls, maxReleaseCalls-t.releaseCalls
	for _, renewals := range []bool{false, true} {
		for _, c := range rows {
			budget := &grants
			if c.release {
				budget = &releases
			}
			if !c.due || c.renewal != renewals || *budget <= 0 {
				continue
			}
			*budget--
			calls = append(calls, c)
		}
	}
	return calls, next
}

// appendCall adds a partition to the last row if one call can cover both, else it starts a row.
func appendCall(rows []*rangeCall, g *grant, keys api.KeyRange, hold time.Duration, due bool) []*rangeCall {
	row := api.RangeGrant{KeyRange: keys, Epoch: g.epoch}
	if g.phase != revoking && !g.held {
		row.Handover = g.receivedHandover
	}
	if n := len(rows); n > 0 {
		last := rows[n-1]
		first := last.grants[0]
		if last.row.Last+1 == row.First && last.row.Epoch == row.Epoch && last.row.Handover == row.Handover &&
			first.phase == g.phase && first.held == g.held && !first.call.single && !g.call.single &&
			(first.call.failures > 0) == (g.call.failures > 0) {
			last.row.Last = row.Last
			last.grants = append(last.grants, g)
			last.hold = min(last.hold, hold)
			last.due = last.due || due
			return rows
		}
	}
	return append(rows, &rangeCall{release: g.phase == revoking, row: row, hold: hold, grants: []*grant{g}, due: due,
		renewal: g.phase != revoking && g.held})
}

// beginCall records a call that is about to be sent. The caller holds t.mu.
func (t *Target) beginCall(c *rangeCall, now time.Time) {
	c.sent = now
	if c.release {
		t.releaseCalls++
	} else {
		t.grantCalls++
		c.expiry = now.Add(callTimeout + withDrift(c.hold))
	}
	for _, g := range c.grants {
		g.call.inFlight = true
		g.expiry = later(g.expiry, c.expiry)
	}
}

// recordCall applies the outcome of a call. sent is false if no byte of it can have reached the target.
// The caller holds t.mu.
func (t *Target) recordCall(c *rangeCall, handover string, err error, sent bool, now time.Time) {
	if c.release {
		t.releaseCalls--
	} else {
		t.grantCalls--
	}
	for _, g := range c.grants {
		g.call.inFlight = false
		switch {
		case err == nil && c.release:
			g.call.released, g.handover = true, handover
		case err == nil:
			g.call.failures, g.call.nextAt, g.call.single = 0, time.Time{}, false
			g.acknowledgedUntil = later(g.acknowledgedUntil, c.sent.Add(c.hold))
			g.held = true
		case !c.release && errkind.Of(err) == errkind.StaleEpoch:
			t.recordRefusedGrant(c, g, now)
		case errors.Is(err, errUnconfirmed):
			g.call.unconfirmed, g.call.nextAt = true, now.Add(maxCallBackoff)
			g.call.failures++
		default:
			g.call.nextAt = now.Add(min(minCallBackoff<<min(g.call.failures, 10), maxCallBackoff))
			g.call.failures++
			if sent && !c.release {
				g.call.uncertainUntil = later(g.call.uncertainUntil, c.expiry)
			}
		}
	}
	if err == nil {
		t.notListening = false
		t.notifyGrantsUsable()
	}
}

// confirmCalls lets the calls that wait for a heartbeat be sent. The caller holds t.mu.
func (t *Target) confirmCalls() {
	for _, g := range t.grants {
		if g.call.unconfirmed {
			g.call.unconfirmed, g.call.nextAt = false, time.Time{}
		}
	}
}

// recordRefusedGrant handles a target that has seen a higher epoch on a key of the row. The refused
// partition is released, and the leader grants it again under an epoch of the log. The caller holds t.mu.
func (t *Target) recordRefusedGrant(c *rangeCall, g *grant, now time.Time) {
	if len(c.grants) > 1 {
		g.call.single = true
		return
	}
	telemetry.CountEvent("grant_refused", 1)
	t.revoke(g, now)
	t.r.o.Wake()
}

// advanceCalls moves a grant that is delivered by calls to its next phase. The caller holds t.mu.
//
// Load pattern: targets that process unanswered calls seconds later. While such a grant may still be in
// force, the range cannot go to another target, so its owner goes on serving it.
func (t *Target) advanceCalls(g *grant, now time.Time) {
	switch {
	case g.phase == draining && !g.call.inFlight && !now.Before(g.call.uncertainUntil):
		t.revoke(g, now)
	case g.phase == granted && g.call.failures > 0 && now.After(g.expiry.Add(t.r.o.DriftMargin)):
		// No call was answered for a whole hold: the grant has ended at the target.
		t.revoke(g, now)
	}
}

// mayHoldByCall reports whether the target may still work on the range of a revoked grant.
func (t *Target) mayHoldByCall(g *grant, now time.Time) bool {
	if g.call.released && !g.call.inFlight && !now.Before(g.call.uncertainUntil) {
		return false
	}
	return !now.After(g.expiry.Add(t.r.o.DriftMargin))
}

// splitCallState returns the state of a part of the grant. A call in flight for the whole may take
// effect on the part, but its answer is not recorded there.
func splitCallState(g *grant) callState {
	part := g.call
	if part.inFlight {
		part.inFlight = false
		part.uncertainUntil = later(part.uncertainUntil, g.expiry)
	}
	return part
}
