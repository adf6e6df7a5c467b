// Package tokens implements fleet-wide token buckets: the authority on the control
// leader and the account on each node.
package tokens

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zinniapier/zinniapier/api"
)

// Authority issues the tokens of all organisations to the sessions of nodes. For each
// organisation it keeps level + outstanding <= burst, and lets the sum rise by no more
// than the rate. It has no clock: times are passed in and come from one monotonic clock.
// It is not safe for concurrent use.
type Authority struct {
	// span is the session lease plus the drift margin: tokens of a session that has been
	// silent for so long can no longer be spent.
	span    time.Duration
	start   time.Time // end of the wait of a new leader
	buckets map[api.OrganisationID]*bucket
	// active holds the buckets with an arrival within activeSpan.
	active   map[api.OrganisationID]*bucket
	sessions map[api.SessionID]*holder
	// tolerance widens every rate and burst.
	tolerance Tolerance
	// reserved is what was set aside last, for buckets to come.
	reserved float64
}

// Tolerance is by how much organisations may exceed their limits, where that is agreed upon.
// Tokens on their way between leader and nodes count against the burst, so the tolerance keeps
// small bursts from costing requests within the rate.
type Tolerance struct {
	// Share widens rate and burst; 0.1 means by a tenth.
	Share float64
	// Slack in tokens is added to the burst.
	Slack float64
}

// bucket is the state of one organisation.
type bucket struct {
	rate, burst float64 // tokens per second, tokens
	reserved    float64 // share of the rate that is not issued
	level       float64
	outstanding int64 // sum over the holders
	last        time.Time
	removed     bool
	shadow      shadow
	demand      demand
	lastArrival time.Time
	// wanted is the sum of the unmet demand in the last reports of the holders.
	wanted int64
	// waiting is the part of wanted that requests wait for.
	waiting int64
}

// holder is the state of one session.
type holder struct {
	deadline time.Time
	accounts map[api.OrganisationID]*account
}

// account is the state of one session and organisation; all counts are cumulative.
type account struct {
	issued, settled, returned int64
	arrivals                  int64
	wanted, waiting           int64
	floor                     int64
	demand                    demand
	told                      float64 // share that the node was told last
	toldAny                   bool
}

func (a *account) outstanding() int64 { return a.issued - a.settled - a.returned }

// NewAuthority returns the authority of a leader that took over at now. Until span, the
// session lease plus the drift margin, has passed, it treats whatever the nodes do not
// report as outstanding and issues nothing; each bucket then starts from level 0.
func NewAuthority(now time.Time, span time.Duration, tolerance Tolerance) *Authority {
	return &Authority{
		span:     span,
		start:    now.Add(span),
		buckets:  make(map[api.OrganisationID]*bucket),
		active:   make(map[api.OrganisationID]*bucket),
		sessions: make(map[api.SessionID]*holder),

		tolerance: tolerance,
	}
}

// StartIssuing ends the wait of a new leader now. The caller knows that every session which may hold
// tokens of an earlier leader has reported since. Each bucket starts from level 0.
func (a *Authority) StartIssuing(now time.Time) {
	if !now.Before(a.start) {
		return
	}
	a.start = now
	for _, b := range a.buckets {
		b.last = now
	}
}

// SetOrganisations replaces the rates and bursts. A lowered burst cuts the level at once;
// tokens that are already outstanding stay valid, and nothing is issued until they have
// fallen below the new burst. The bucket of a removed organisation is kept until it would
// be full again, so that adding the organisation again does not refill it.
func (a *Authority) SetOrganisations(now time.Time, organisations []api.Organisation) {
	a.Advance(now)
	for _, b := range a.buckets {
		b.removed = true
	}
	for _, o := range organisations {
		if !o.Limited() {
			continue // nodes ask for no tokens of it
		}
		b := a.buckets[o.ID]
		if b == nil {
			b = &bucket{last: a.start, reserved: a.reserved}
			a.buckets[o.ID] = b
		}
		b.rate, b.burst, b.removed = o.Rate*(1+a.tolerance.Share), o.Burst*(1+a.tolerance.Share)+a.tolerance.Slack, false
		b.shadow.configure(now, b.rate, b.burst, a.span/reportLagShare)
		b.refill(now)
	}
}

// Report takes in the report of a session, renews the validity of its tokens and returns
// the answers by organisation. Repeated and reordered reports do no harm, because counts
// never fall. It costs time only in the organisations of the report, those of earlier
// reports and the active ones; the caller runs Advance at its own interval.
func (a *Authority) Report(now time.Time, session api.SessionID, reports map[api.OrganisationID]api.TokenReport) map[api.OrganisationID]api.TokenReply {
	h := a.holder(session)
	h.deadline = now.Add(a.span)
	for id, r := range reports {
		b := a.buckets[id]
		if b == nil {
			continue
		}
		b.refill(now)
		first := h.accounts[id] == nil
		arrived := h.update(b, id, r)
		b.shadow.arrive(now, arrived)
		b.demand.add(now, arrived)
		h.accounts[id].demand.add(now, arrived)
		if arrived > 0 || first && r.Arrivals > 0 {
			a.noteActive(now, id, b)
		}
	}
	a.setFloors(now, h)
	replies := make(map[api.OrganisationID]api.TokenReply, len(h.accounts))
	for id, acc := range h.accounts {
		b := a.buckets[id]
		if !now.Before(a.start) {
			b.issue(acc)
		}
		reply := api.TokenReply{Issued: acc.issued, Floor: acc.floor, Scarce: b.scarce(), Exhausted: b.shadow.empty}
		b.tell(now, acc, &reply)
		replies[id] = reply
	}
	return replies
}

func (a *Authority) holder(session api.SessionID) *holder {
	h := a.sessions[session]
	if h == nil {
		h = &holder{accounts: make(map[api.OrganisationID]*account)}
		a.sessions[session] = h
	}
	return h
}

// EndSession ends the demand of a session. Its outstanding tokens count until the span
// has passed since its last report.
func (a *Authority) EndSession(session api.SessionID) {
	h := a.sessions[session]
	if h == nil {
		return
	}
	for id, acc := range h.accounts {
		a.buckets[id].want(acc, 0, 0)
	}
}

// Advance refills the buckets and counts the outstanding tokens of sessions that have
// been silent for the span as spent: they may have been, and cannot be any more.
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

func (a *Authority) held(id api.OrganisationID) bool {
	for _, h := range a.sessions {
		if h.accounts[id] != nil {
			return true
		}
	}
	return false
}

// Status returns the level and the outstanding tokens of each organisation, by id.
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

// update takes in one report and returns the number of new arrivals. The first report of
// an account is its baseline: a leader takes over what the node holds, without gain for
// the level, and cannot tell which arrivals an earlier leader has counted.
func (h *holder) update(b *bucket, id api.OrganisationID, r api.TokenReport) (arrived int64) {
	acc := h.accounts[id]
	if acc == nil {
		acc = &account{issued: max(r.Issued, 0), settled: max(r.Settled, 0), returned: max(r.Returned, 0), arrivals: r.Arrivals}
		acc.issued = max(acc.issued, acc.settled+acc.returned)
		h.accounts[id] = acc
		b.outstanding += acc.outstanding()
	}
	acc.take(b, r)
	b.clamp()
	b.want(acc, r.Demand, r.Waiting)
	arrived = max(r.Arrivals-acc.arrivals, 0)
	acc.arrivals += arrived
	return arrived
}

// want notes the number of tokens that the session should hold, and how many of the missing
// ones requests wait for.
func (b *bucket) want(acc *account, demand, waiting int64) {
	wanted := max(demand-acc.outstanding(), 0)
	if b.removed {
		wanted = 0
	}
	b.setWanted(acc, wanted, min(max(waiting, 0), wanted))
}

func (b *bucket) setWanted(acc *account, wanted, waiting int64) {
	b.wanted += wanted - acc.wanted
	b.waiting += waiting - acc.waiting
	acc.wanted, acc.waiting = wanted, waiting
}

// scarce says that more requests wait than the level can serve.
func (b *bucket) scarce() bool { return b.waiting > int64(b.level) }

// take applies the growth of the cumulative counts. The first report that a new leader gets
// may be an old one that was delayed, so tokens of an earlier leader can turn up later; that
// report is a new baseline, because the earlier leader has credited what it returns. Growth
// of the other counts beyond the outstanding tokens would be a fault of the node and is ignored.
func (acc *account) take(b *bucket, r api.TokenReport) {
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

// issue gives the account its share of the level. Waiting requests come first; tokens for
// requests to come are issued from what those leave.
func (b *bucket) issue(acc *account) {
	if b.removed || acc.wanted <= 0 || b.level < 1 {
		return
	}
	first := share(b.level, acc.waiting, b.waiting)
	rest := share(b.level-float64(b.waiting), acc.wanted-acc.waiting, b.wanted-b.waiting)
	n := first + rest
	acc.issued += n
	b.setWanted(acc, acc.wanted-n, acc.waiting-first)
	b.outstanding += n
	b.level -= float64(n)
}

// share returns the part of the level for a demand among all demands, in whole tokens. It is
// rounded up, because with many small demands each would round down to nothing.
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

// clamp keeps level + outstanding within the burst.
func (b *bucket) clamp() {
	b.level = max(min(b.level, b.burst-float64(b.outstanding)), 0)
}

func (b *bucket) full() bool { return b.level >= b.burst }
