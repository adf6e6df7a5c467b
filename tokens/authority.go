// Package tokens implements fleet-wide token buckets. The Authority on the control leader issues
// tokens to the nodes; the Account of each node spends them.
package tokens

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zinniapier/zinniapier/api"
)

// Authority issues the tokens of all organisations to the sessions of nodes. For each
// organisation it keeps level + outstanding <= burst, and the sum rises no faster than the
// rate. It has no clock of its own: all times passed in must come from one monotonic clock.
// It is not safe for concurrent use.
type Authority struct {
	// tokenLifetime is the session lease plus the drift margin. Tokens of a session that has sent
	// no report for this time can no longer be spent.
	tokenLifetime time.Duration
	// issueFrom is when a new leader starts to issue for expected requests; before, it issues for
	// waiting ones only, see earlyLevel.
	issueFrom time.Time
	buckets   map[api.OrganisationID]*bucket
	// active holds the buckets with an arrival within activeDuration.
	active   map[api.OrganisationID]*bucket
	sessions map[api.SessionID]*holder
	// tolerance raises every rate and burst.
	tolerance Tolerance
	// reserved is the fraction of the rate, from the last call of Reserve, that new buckets start with.
	reserved float64
}

// Tolerance is the agreed amount by which organisations may exceed their limits. Tokens in transit
// between leader and nodes count against the burst; without a tolerance, a small burst would refuse
// requests within the rate.
type Tolerance struct {
	// Share raises rate and burst by this fraction.
	Share float64
	// Slack is added to the burst, in tokens.
	Slack float64
}

// bucket is the fleet-wide token bucket of one organisation.
type bucket struct {
	rate, burst     float64 // tokens per second, tokens
	reserved        float64 // fraction of the rate that is not issued
	level           float64
	early           earlyLevel
	outstanding     int64 // sum over all sessions
	last            time.Time
	removed         bool
	referenceBucket referenceBucket
	recentArrivals  recentArrivals
	lastArrival     time.Time
	// unmet is the sum of the unmet demand, in tokens, in the last reports of all sessions.
	unmet int64
	// waiting is the part of unmet that is for requests already waiting.
	waiting int64
}

// holder is a session and the tokens that it holds.
type holder struct {
	deadline time.Time
	accounts map[api.OrganisationID]*holderAccount
}

// holderAccount is the state of one session and organisation. Counts of tokens and arrivals are cumulative.
type holderAccount struct {
	issued, settled, returned int64
	arrivals                  int64
	unmet, waiting            int64
	floor                     int64
	recentArrivals            recentArrivals
	sentShare                 float64 // fraction of the arrivals that the node was last sent
	shareSent                 bool
}

func (a *holderAccount) outstanding() int64 { return a.issued - a.settled - a.returned }

// NewAuthority returns the authority of a leader that took over at now. tokenLifetime is the session
// lease plus the drift margin. Until it has passed, tokens of an earlier leader that no node has
// reported may be outstanding, so tokens are issued for waiting requests only; each bucket then starts
// from level 0.
func NewAuthority(now time.Time, tokenLifetime time.Duration, tolerance Tolerance) *Authority {
	return &Authority{
		tokenLifetime: tokenLifetime,
		issueFrom:     now.Add(tokenLifetime),
		buckets:       make(map[api.OrganisationID]*bucket),
		active:        make(map[api.OrganisationID]*bucket),
		sessions:      make(map[api.SessionID]*holder),

		tolerance: tolerance,
	}
}

// StartIssuing lets a new leader issue tokens from now on, before tokenLifetime has passed. The caller
// must know that every session that may hold tokens of an earlier leader has reported to this one.
// Each bucket starts from level 0.
func (a *Authority) StartIssuing(now time.Time) {
	if !now.Before(a.issueFrom) {
		return
	}
	a.issueFrom = now
	for _, b := range a.buckets {
		b.last = now
	}
}

// SetOrganisations replaces the rates and bursts. A lower burst reduces the level at once;
// outstanding tokens stay valid, and nothing is issued until their number has fallen below the new
// burst. The bucket of a removed organisation is kept until it is full, so that removing and adding
// the organisation does not refill it.
func (a *Authority) SetOrganisations(now time.Time, organisations []api.Organisation) {
	a.Advance(now)
	for _, b := range a.buckets {
		b.removed = true
	}
	for _, o := range organisations {
		if !o.Limited() {
			continue // nodes request no tokens for it
		}
		b := a.buckets[o.ID]
		if b == nil {
			b = &bucket{last: a.issueFrom, reserved: a.reserved, early: earlyLevel{last: now}}
			a.buckets[o.ID] = b
		}
		b.rate, b.burst, b.removed = o.Rate*(1+a.tolerance.Share), o.Burst*(1+a.tolerance.Share)+a.tolerance.Slack, false
		b.referenceBucket.configure(now, b.rate, b.burst, a.tokenLifetime/reportLagDivisor)
		b.refill(now)
	}
}

// Report applies the reports of a session, extends the lifetime of its tokens and returns the replies
// by organisation. Repeated and reordered reports are harmless, because counts never decrease. The
// cost grows only with the organisations in the session's reports and the active ones; the caller
// calls Advance at its own interval.
func (a *Authority) Report(now time.Time, session api.SessionID, reports map[api.OrganisationID]api.TokenReport) map[api.OrganisationID]api.TokenReply {
	h := a.holder(session)
	h.deadline = now.Add(a.tokenLifetime)
	for id, r := range reports {
		b := a.buckets[id]
		if b == nil {
			continue
		}
		b.refill(now)
		first := h.accounts[id] == nil
		arrived := h.update(b, id, r)
		b.referenceBucket.arrive(now, arrived)
		b.recentArrivals.add(now, arrived)
		h.accounts[id].recentArrivals.add(now, arrived)
		if arrived > 0 || first && r.Arrivals > 0 {
			a.markActive(now, id, b)
		}
	}
	a.setFloors(now, h)
	replies := make(map[api.OrganisationID]api.TokenReply, len(h.accounts))
	for id, acc := range h.accounts {
		b := a.buckets[id]
		if now.Before(a.issueFrom) {
			b.issueEarly(now, acc)
		} else {
			b.issue(acc)
		}
		reply := api.TokenReply{Issued: acc.issued, Floor: acc.floor, Scarce: b.scarce(), Exhausted: b.referenceBucket.empty}
		b.setReplyShare(now, acc, &reply)
		replies[id] = reply
	}
	return replies
}

// holder returns the state of a session and creates it if needed.
func (a *Authority) holder(session api.SessionID) *holder {
	h := a.sessions[session]
	if h == nil {
		h = &holder{accounts: make(map[api.OrganisationID]*holderAccount)}
		a.sessions[session] = h
	}
	return h
}

// EndSession clears the demand of a session. Its outstanding tokens count until tokenLifetime has
// passed since its last report.
func (a *Authority) EndSession(session api.SessionID) {
	h := a.sessions[session]
	if h == nil {
		return
	}
	for id, acc := range h.accounts {
		a.buckets[id].updateDemand(acc, 0, 0)
	}
}

// Advance refills the buckets and removes sessions without a report for tokenLifetime. Their
// outstanding tokens count as spent: they may have been, and can no longer be.
func (a *Authority) Advance(now time.Time) {
	for _, b := range a.buckets {
		b.refill(now)
	}
	for id, h := range a.sessions {
		if now.Before(h.deadline) {
			continue
		}
		a.EndSession(id)
		for org, acc := range h.accounts {
			a.buckets[org].outstanding -= acc.outstanding()
		}
		delete(a.sessions, id)
	}
	for id, b := range a.buckets {
		if b.removed && b.full() && !a.held(id) {
			delete(a.buckets, id)
			delete(a.active, id)
		}
	}
}

// held reports whether a session has an account of the organisation.
func (a *Authority) held(id api.OrganisationID) bool {
	for _, h := range a.sessions {
		if h.accounts[id] != nil {
			return true
		}
	}
	return false
}

// Status returns the level and the outstanding tokens of each organisation, sorted by id.
func (a *Authority) Status(now time.Time) []api.OrgTokensStatus {
	a.Advance(now)
	var list []api.OrgTokensStatus
	for id, b := range a.buckets {
		if !b.removed {
			list = append(list, api.OrgTokensStatus{ID: id, Level: b.level, Outstanding: float64(b.outstanding)})
		}
	}
	slices.SortFunc(list, func(x, y api.OrgTokensStatus) int { return cmp.Compare(x.ID, y.ID) })
	return list
}

// update applies one report and returns the number of new arrivals. The first report of an account is
// its baseline: the leader adopts the counts of the node without crediting the level, and cannot tell
// which arrivals an earlier leader has already counted.
func (h *holder) update(b *bucket, id api.OrganisationID, r api.TokenReport) (arrived int64) {
	acc := h.accounts[id]
	if acc == nil {
		acc = &holderAccount{issued: max(r.Issued, 0), settled: max(r.Settled, 0), returned: max(r.Returned, 0), arrivals: r.Arrivals}
		acc.issued = max(acc.issued, acc.settled+acc.returned)
		h.accounts[id] = acc
		b.outstanding += acc.outstanding()
	}
	acc.applyCounts(b, r)
	b.clamp()
	b.updateDemand(acc, r.Demand, r.Waiting)
	arrived = max(r.Arrivals-acc.arrivals, 0)
	acc.arrivals += arrived
	return arrived
}

// updateDemand sets the number of tokens that the session should hold, and how many of the missing
// ones are for requests already waiting.
func (b *bucket) updateDemand(acc *holderAccount, demand, waiting int64) {
	unmet := max(demand-acc.outstanding(), 0)
	if b.removed {
		unmet = 0
	}
	b.setUnmet(acc, unmet, min(max(waiting, 0), unmet))
}

// setUnmet replaces the unmet demand of the account and adjusts the sums of the bucket.
func (b *bucket) setUnmet(acc *holderAccount, unmet, waiting int64) {
	b.unmet += unmet - acc.unmet
	b.waiting += waiting - acc.waiting
	acc.unmet, acc.waiting = unmet, waiting
}

// scarce reports whether more requests wait than the level can serve.
func (b *bucket) scarce() bool { return b.waiting > int64(b.level) }

// applyCounts applies increases of the cumulative counts. The first report at a new leader may be a
// delayed one, so a later report can show more tokens issued by an earlier leader. Such a report is a
// new baseline, because the earlier leader has already credited its returned tokens. Increases of the
// other counts beyond the outstanding tokens are a fault of the node and are ignored.
func (acc *holderAccount) applyCounts(b *bucket, r api.TokenReport) {
	if r.Issued > acc.issued {
		b.outstanding -= acc.outstanding()
		acc.issued, acc.settled = r.Issued, max(r.Settled, 0)
		acc.returned = min(max(r.Returned, 0), max(r.Issued-acc.settled, 0))
		b.outstanding += acc.outstanding()
		return
	}
	settled := min(max(r.Settled-acc.settled, 0), acc.outstanding())
	acc.settled += settled
	returned := min(max(r.Returned-acc.returned, 0), acc.outstanding())
	acc.returned += returned
	b.outstanding -= settled + returned
	b.level += float64(returned)
}

// issue issues the account its share of the level: first for waiting requests, then for expected
// requests from what all waiting requests leave.
func (b *bucket) issue(acc *holderAccount) {
	if b.removed || acc.unmet <= 0 || b.level < 1 {
		return
	}
	first := share(b.level, acc.waiting, b.waiting)
	rest := share(b.level-float64(b.waiting), acc.unmet-acc.waiting, b.unmet-b.waiting)
	n := first + rest
	acc.issued += n
	b.setUnmet(acc, acc.unmet-n, acc.waiting-first)
	b.outstanding += n
	b.level -= float64(n)
}

// share returns the part of the level for one demand in proportion to all demands, in whole tokens. It
// rounds up, because many small demands would otherwise all round down to 0.
func share(level float64, demand, all int64) int64 {
	if demand <= 0 || level < 1 {
		return 0
	}
	part := math.Ceil(level * float64(demand) / float64(all))
	return min(int64(part), demand, int64(level))
}

func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.last); elapsed > 0 {
		b.level += b.rate * (1 - b.reserved) * elapsed.Seconds()
		b.last = now
	}
	b.clamp()
}

// clamp limits level + outstanding to the burst.
func (b *bucket) clamp() {
	b.level = max(min(b.level, b.burst-float64(b.outstanding)), 0)
}

func (b *bucket) full() bool { return b.level >= b.burst }
