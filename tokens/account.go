package tokens

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

const (
	// maxTakeWait bounds one call of Take, even if its context allows longer.
	maxTakeWait = 2 * time.Second
	// settleAfter is the time after which a token settles without a call of Settle. Unsettled
	// tokens count against the burst, so a longer time would let slow requests hold an
	// organisation below its rate. A request that is refused as not run later than this has
	// still cost a token.
	settleAfter = 250 * time.Millisecond
	// demandHeartbeats is the number of heartbeat intervals for which a node holds tokens:
	// one until the next heartbeat and one in case that heartbeat is lost.
	demandHeartbeats = 2
	// rateDecay is the weight of the previous estimate when the arrival rate falls.
	rateDecay = 0.8
	// idleDemand is the demand, in tokens, below which a node holds none.
	idleDemand = 0.05
	// lowWaterDivisor sets the low-water mark: free tokens after an issue divided by it. At the
	// mark the node requests an early heartbeat.
	lowWaterDivisor = 4
)

// AccountOptions configure an Account.
type AccountOptions struct {
	// Organisation returns the configured organisation, or nil. The account keeps counts only
	// for configured organisations.
	Organisation func(api.OrganisationID) *api.Organisation
	// LeaseValid reports whether the session lease is valid. Tokens from the leader are handed out
	// only while it is. Default always true.
	LeaseValid func() bool
	// Wake requests a heartbeat as soon as possible. It must not block.
	Wake func()
	// Heartbeat is the interval between two heartbeats. Default api.DefaultHeartbeat.
	Heartbeat time.Duration
	// Now is the monotonic clock. Default time.Now.
	Now func() time.Time
	// NodeCount returns the number of nodes in the fleet. If it is set, a node that has had no
	// issuing leader for StandaloneAfter admits its local share of each rate by itself.
	NodeCount func() int
}

// Account is the node side of the token buckets: it holds the tokens that the control leader
// has issued to this node. It is safe for concurrent use.
type Account struct {
	o AccountOptions

	mu   sync.RWMutex
	term uint64
	orgs map[api.OrganisationID]*orgAccount

	standalone standaloneBuckets
}

// NewAccount returns an account without tokens.
func NewAccount(o AccountOptions) *Account {
	if o.Heartbeat <= 0 {
		o.Heartbeat = api.DefaultHeartbeat
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Wake == nil {
		o.Wake = func() {}
	}
	if o.LeaseValid == nil {
		o.LeaseValid = func() bool { return true }
	}
	a := &Account{o: o, orgs: make(map[api.OrganisationID]*orgAccount)}
	a.standalone = standaloneBuckets{nodes: o.NodeCount, lastContact: o.Now(), buckets: make(map[api.OrganisationID]*localBucket)}
	return a
}

// Take returns a token of the organisation. If none is free and the organisation is not exhausted,
// it waits in first-in, first-out order until ctx ends, for at most 2 s. Errors: Unauthenticated if
// the organisation is not configured, NoLease without a session lease, RateLimited otherwise.
func (a *Account) Take(ctx context.Context, id api.OrganisationID) (*Token, error) {
	limits := a.o.Organisation(id)
	if limits == nil {
		return nil, errkind.New(errkind.Unauthenticated, "organisation %s is not configured", id)
	}
	now := a.o.Now()
	org := a.account(id)
	standalone, _ := a.standalone.active(now)
	if standalone {
		return a.takeStandalone(now, org, limits)
	}
	if !a.o.LeaseValid() {
		return nil, errkind.New(errkind.NoLease, "no tokens without a valid session lease")
	}
	token, w, wake := org.take(now, maxWaiters(limits))
	if wake {
		a.o.Wake()
	}
	if token != nil {
		return token, nil
	}
	if w == nil {
		return nil, rateExceeded(id)
	}
	return a.await(ctx, limits, org, w)
}

// Preview reports whether Take would have to wait now. It changes nothing. While no leader issues tokens, it answers as
// if the node's own share had not been used up. Errors: as Take.
func (a *Account) Preview(id api.OrganisationID) (waits bool, err error) {
	limits := a.o.Organisation(id)
	if limits == nil {
		return false, errkind.New(errkind.Unauthenticated, "organisation %s is not configured", id)
	}
	if standalone, _ := a.standalone.active(a.o.Now()); standalone {
		return false, nil
	}
	if !a.o.LeaseValid() {
		return false, errkind.New(errkind.NoLease, "no tokens without a valid session lease")
	}
	a.mu.RLock()
	org := a.orgs[id]
	a.mu.RUnlock()
	if org == nil {
		return true, nil // the first request of the organisation at this node
	}
	free, refused := org.preview(maxWaiters(limits))
	if refused {
		return false, rateExceeded(id)
	}
	return !free, nil
}

// takeStandalone admits a request from the local bucket, without a leader.
func (a *Account) takeStandalone(now time.Time, org *orgAccount, limits *api.Organisation) (*Token, error) {
	share, shareKnown := org.leaderShare()
	if !a.standalone.take(now, limits, share, shareKnown) {
		return nil, errkind.New(errkind.RateLimited, "organisation %s is beyond this node's share of its rate", limits.ID)
	}
	return &Token{org: org, done: true}, nil
}

func (a *Account) await(ctx context.Context, limits *api.Organisation, org *orgAccount, w *waiter) (*Token, error) {
	id := limits.ID
	_, untilStandalone := a.standalone.active(a.o.Now())
	timer := time.NewTimer(min(maxTakeWait, untilStandalone))
	defer timer.Stop()
	select {
	case token := <-w.ready:
		if token == nil {
			return nil, rateExceeded(id)
		}
		return token, nil
	case <-ctx.Done():
	case <-timer.C:
	}
	now := a.o.Now()
	org.abandon(w, now, a.o.LeaseValid())
	if standalone, _ := a.standalone.active(now); standalone && ctx.Err() == nil {
		return a.takeStandalone(now, org, limits)
	}
	return nil, errkind.New(errkind.RateLimited, "no token became available in time")
}

func rateExceeded(id api.OrganisationID) error {
	return errkind.New(errkind.RateLimited, "organisation %s is beyond its rate and burst", id)
}

// maxWaiters returns the number of requests that the fleet-wide rate and burst can serve within
// maxTakeWait. A request behind that many others cannot get a token in time.
func maxWaiters(o *api.Organisation) int {
	return int(math.Ceil(o.Rate*maxTakeWait.Seconds() + o.Burst))
}

func (a *Account) account(id api.OrganisationID) *orgAccount {
	a.mu.RLock()
	org := a.orgs[id]
	a.mu.RUnlock()
	if org != nil {
		return org
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.orgs[id] == nil {
		a.orgs[id] = &orgAccount{now: a.o.Now, heartbeatInterval: a.o.Heartbeat, measuredAt: a.o.Now()}
	}
	return a.orgs[id]
}

func (a *Account) snapshot() map[api.OrganisationID]*orgAccount {
	a.mu.RLock()
	defer a.mu.RUnlock()
	copied := make(map[api.OrganisationID]*orgAccount, len(a.orgs))
	for id, org := range a.orgs {
		copied[id] = org
	}
	return copied
}

// Report returns the counts for the next heartbeat. It returns free tokens beyond the demand to
// the leader. A removed organisation is reported until none of its tokens is outstanding.
func (a *Account) Report() map[api.OrganisationID]api.TokenReport {
	now := a.o.Now()
	reports := make(map[api.OrganisationID]api.TokenReport)
	for id, org := range a.snapshot() {
		configured := a.o.Organisation(id) != nil
		report, outstanding := org.report(now, configured)
		if configured || outstanding > 0 {
			reports[id] = report
		}
	}
	return reports
}

// Apply applies the replies of the leader of the given term. Lower terms and lower counts of issued
// tokens are ignored, so late and repeated replies are harmless. If the organisation is exhausted,
// requests still waiting after the issue are refused.
func (a *Account) Apply(term uint64, replies map[api.OrganisationID]api.TokenReply) {
	a.mu.Lock()
	stale := term < a.term
	a.term = max(term, a.term)
	a.mu.Unlock()
	if stale {
		return
	}
	now := a.o.Now()
	wake := false
	for id, reply := range replies {
		if a.o.Organisation(id) == nil {
			continue
		}
		if a.account(id).apply(now, reply) {
			wake = true
		}
	}
	if wake {
		a.o.Wake()
	}
}

// RecordLeaderContact records that an issuing leader replied to a heartbeat sent at the given time.
func (a *Account) RecordLeaderContact(sent time.Time) { a.standalone.recordContact(sent) }

// Expire returns all free tokens and settles the taken ones. The session calls it when the lease
// has expired, because the leader may have issued the tokens to other nodes.
func (a *Account) Expire() {
	for _, org := range a.snapshot() {
		org.expire()
	}
}

// Reset clears all counts for a new session. Tokens taken before have no further effect, and
// waiting requests go on waiting for tokens of the new session.
func (a *Account) Reset() {
	for _, org := range a.snapshot() {
		org.reset()
	}
}
