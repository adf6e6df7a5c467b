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
	// maxTakeWait bounds the wait of one Take, whatever its context allows.
	maxTakeWait = 2 * time.Second
	// settleAfter is the time after which a token counts as spent without a call of Settle.
	// Tokens of requests in progress count against the burst, so with a longer time slow
	// requests would hold an organisation below its rate. A request that is refused as not
	// run after this time has cost a token.
	settleAfter = 250 * time.Millisecond
	// demandBeats is the number of heartbeats whose arrivals a node wants to hold tokens for:
	// one until the next heartbeat and one in case that heartbeat is lost.
	demandBeats = 2
	// rateDecay is the share of the estimated arrival rate kept over a heartbeat with fewer arrivals.
	rateDecay = 0.8
	// idleDemand is the demand in tokens below which a node holds none.
	idleDemand = 0.05
	// lowWaterShare of the tokens held after an issue triggers an early heartbeat.
	lowWaterShare = 4
)

// AccountOptions configure an Account.
type AccountOptions struct {
	// Organisation returns the configured organisation, or nil. It bounds the organisations
	// that the account keeps counts for.
	Organisation func(api.OrganisationID) *api.Organisation
	// LeaseValid says whether the session lease covers now; tokens end with the lease.
	LeaseValid func() bool
	// Wake asks for a heartbeat at once. It must not block.
	Wake func()
	// Heartbeat is the interval between two heartbeats. Default api.DefaultHeartbeat.
	Heartbeat time.Duration
	// Now is the monotonic clock. Default time.Now.
	Now func() time.Time
	// NodeCount returns the number of nodes of the fleet. When it is set, a node without an issuing
	// leader for StandaloneAfter admits its share of the rates by itself.
	NodeCount func() int
}

// Account holds the tokens that the control leader issued to this node. It is safe for
// concurrent use.
type Account struct {
	o AccountOptions

	mu   sync.RWMutex
	term uint64
	orgs map[api.OrganisationID]*orgAccount

	alone standalone
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
	a.alone = standalone{nodes: o.NodeCount, last: o.Now(), buckets: make(map[api.OrganisationID]*localBucket)}
	return a
}

// Take returns a token of the organisation. Unless the organisation is exhausted, it waits
// in order of arrival until ctx ends, for at most 2 s. Errors: Unauthenticated for an organisation that is not configured,
// NoLease without a session lease, RateLimited otherwise.
func (a *Account) Take(ctx context.Context, id api.OrganisationID) (*Token, error) {
	limits := a.o.Organisation(id)
	if limits == nil {
		return nil, errkind.New(errkind.Unauthenticated, "organisation %s is not configured", id)
	}
	now := a.o.Now()
	org := a.account(id)
	alone, _ := a.alone.active(now)
	if alone {
		return a.takeAlone(now, org, limits)
	}
	if !a.o.LeaseValid() {
		return nil, errkind.New(errkind.NoLease, "no tokens without a session lease")
	}
	token, w, kick := org.take(now, maxWaiters(limits))
	if kick {
		a.o.Wake()
	}
	if token != nil {
		return token, nil
	}
	if w == nil {
		return nil, beyondRate(id)
	}
	return a.await(ctx, limits, org, w)
}

// takeAlone admits a request of the node's own share.
func (a *Account) takeAlone(now time.Time, org *orgAccount, limits *api.Organisation) (*Token, error) {
	share, told := org.toldShare()
	if !a.alone.take(now, limits, share, told) {
		return nil, errkind.New(errkind.RateLimited, "organisation %s is beyond this node's share of its rate", limits.ID)
	}
	return &Token{org: org, done: true}, nil
}

func (a *Account) await(ctx context.Context, limits *api.Organisation, org *orgAccount, w *waiter) (*Token, error) {
	id := limits.ID
	_, untilAlone := a.alone.active(a.o.Now())
	timer := time.NewTimer(min(maxTakeWait, untilAlone))
	defer timer.Stop()
	select {
	case token := <-w.ready:
		if token == nil {
			return nil, beyondRate(id)
		}
		return token, nil
	case <-ctx.Done():
	case <-timer.C:
	}
	now := a.o.Now()
	org.abandon(w, now, a.o.LeaseValid())
	if alone, _ := a.alone.active(now); alone && ctx.Err() == nil {
		return a.takeAlone(now, org, limits)
	}
	return nil, errkind.New(errkind.RateLimited, "no token in time")
}

func beyondRate(id api.OrganisationID) error {
	return errkind.New(errkind.RateLimited, "organisation %s is beyond its rate and burst", id)
}

// maxWaiters is the number of requests that the organisation's whole rate and burst could
// serve within maxTakeWait. A request behind that many others cannot get a token in time.
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
		a.orgs[id] = &orgAccount{now: a.o.Now, beat: a.o.Heartbeat, measured: a.o.Now()}
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

// Report returns the counts for the next heartbeat. Tokens beyond the demand are counted as
// returned from now on. A removed organisation is reported until it holds no token.
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

// Apply takes over the answers that a leader of the term sent. Lower terms and lower numbers
// of issued tokens are ignored, so that late and repeated replies are harmless. Waiting
// requests of an exhausted organisation that got no token are refused.
func (a *Account) Apply(term uint64, replies map[api.OrganisationID]api.TokenReply) {
	a.mu.Lock()
	stale := term < a.term
	a.term = max(term, a.term)
	a.mu.Unlock()
	if stale {
		return
	}
	now := a.o.Now()
	kick := false
	for id, reply := range replies {
		if a.o.Organisation(id) == nil {
			continue
		}
		if a.account(id).apply(now, reply) {
			kick = true
		}
	}
	if kick {
		a.o.Wake()
	}
}

// RecordLeaderContact notes that the leader which answered a heartbeat sent at the time issues tokens.
func (a *Account) RecordLeaderContact(sent time.Time) { a.alone.heard(sent) }

// Expire returns every token that has not been taken and settles the others. The session calls
// it when the lease has run out, since the leader may have given the tokens to others.
func (a *Account) Expire() {
	for _, org := range a.snapshot() {
		org.expire()
	}
}

// Reset forgets all counts, for a new session. Tokens taken before have no further effect,
// and waiting requests wait for tokens of the new session.
func (a *Account) Reset() {
	for _, org := range a.snapshot() {
		org.reset()
	}
}
