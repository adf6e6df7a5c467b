package tokens

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

const acme = api.OrganisationID("acme")

// fakeClock is a clock that tests advance.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *fakeClock) time() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func newTestAccount(clock *fakeClock, wake func()) *Account {
	return NewAccount(AccountOptions{
		Organisation: func(id api.OrganisationID) *api.Organisation {
			if id != acme {
				return nil
			}
			return &api.Organisation{ID: acme, Rate: 10, Burst: 5}
		},
		Wake: wake,
		Now:  clock.time,
	})
}

func issue(a *Account, term uint64, n int64) {
	a.Apply(term, map[api.OrganisationID]api.TokenReply{acme: {Issued: n}})
}

// takeNow takes a token without waiting; it returns nil if none is free.
func takeNow(a *Account) *Token {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	token, err := a.Take(ctx, acme)
	if err != nil {
		return nil
	}
	return token
}

// Guards against tokens that are spent twice or created when replies are lost, repeated or late and
// requests are refunded at any time.
func TestAccountNeverSpendsMoreThanIssued(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := &fakeClock{now: time.Now()}
		a := newTestAccount(clock, nil)
		issue(a, 2, 0) // a leader of term 2 has replied
		var issued, delivered, run int64
		var held []*Token
		t.Repeat(map[string]func(*rapid.T){
			"issue":      func(t *rapid.T) { issued += rapid.Int64Range(0, 5).Draw(t, "n") },
			"reply":      func(*rapid.T) { issue(a, 2, issued); delivered = issued },
			"late reply": func(t *rapid.T) { issue(a, 2, rapid.Int64Range(0, delivered).Draw(t, "old")) },
			"old leader": func(*rapid.T) { issue(a, 1, issued+100) },
			"take": func(*rapid.T) {
				if token := takeNow(a); token != nil {
					held = append(held, token)
					run++
				}
			},
			"settle or refund": func(t *rapid.T) {
				if len(held) == 0 {
					t.Skip("nothing held")
				}
				token := held[0]
				held = held[1:]
				if rapid.Bool().Draw(t, "refund") {
					freeBefore := a.account(acme).free
					token.Refund()
					run -= a.account(acme).free - freeBefore
				} else {
					token.Settle()
				}
				token.Refund() // a second call has no effect
			},
			"time": func(t *rapid.T) {
				clock.advance(time.Duration(rapid.Int64Range(1, 1200).Draw(t, "ms")) * time.Millisecond)
			},
			"expire": func(*rapid.T) { a.Expire() },
			"report": func(*rapid.T) { a.Report() },
			"": func(t *rapid.T) {
				o := a.account(acme)
				if o.free < 0 || run > delivered-o.returned-o.free {
					t.Fatalf("%d requests admitted with %d tokens issued, %d returned, %d free", run, delivered, o.returned, o.free)
				}
				if o.settled+o.returned+o.free > o.issued {
					t.Fatalf("settled %d, returned %d and free %d of %d issued", o.settled, o.returned, o.free, o.issued)
				}
			},
		})
	})
}

// Guards against the refund of a token that the authority already counts as spent.
func TestRefundOnlyWhileUnsettled(t *testing.T) {
	is := is.New(t)
	clock := &fakeClock{now: time.Now()}
	a := newTestAccount(clock, nil)
	issue(a, 1, 3)
	early, unsettled, late := takeNow(a), takeNow(a), takeNow(a)
	early.Refund()
	clock.advance(settleAfter)
	late.Refund() // before any report has settled it
	is.Equal(a.Report()[acme].Settled, int64(2))
	unsettled.Refund() // after it has settled automatically
	is.Equal(a.Report()[acme].Settled, int64(2))
	old := takeNow(a)
	is.True(old != nil) // the refunded token is used again
	issue(a, 1, 9)
	a.Expire()
	report := a.Report()[acme]
	is.Equal(report.Issued, report.Settled+report.Returned) // nothing is left after the lease
	old.Refund()
	is.True(takeNow(a) == nil)
	a.Reset()
	old.Settle()
	is.Equal(a.Report()[acme].Settled, int64(0)) // tokens of an earlier session do not count
	is.True(takeNow(a) == nil)
}

// Guards against waiters served out of order, and against tokens lost to waiters that have given up.
func TestWaitersAreServedInOrder(t *testing.T) {
	is := is.New(t)
	clock := &fakeClock{now: time.Now()}
	wakes := make(chan struct{}, 100)
	a := newTestAccount(clock, func() { wakes <- struct{}{} })
	order := make(chan int, 3)
	first, giveUp := context.WithCancel(context.Background())
	wait := func(ctx context.Context, i int) {
		if _, err := a.Take(ctx, acme); err == nil {
			order <- i
		}
	}
	for i := range 3 {
		ctx := context.Background()
		if i == 0 {
			ctx = first
		}
		go wait(ctx, i)
		for a.Report()[acme].Demand < int64(i+1) {
			time.Sleep(time.Millisecond)
		}
	}
	<-wakes
	giveUp()
	for a.Report()[acme].Demand > 2 {
		time.Sleep(time.Millisecond)
	}
	issue(a, 1, 1)
	is.Equal(<-order, 1)
	issue(a, 1, 2)
	is.Equal(<-order, 2)
	is.Equal(len(wakes), 0) // one wake-up for all of them
}

// Guards against an unbounded queue and waits that cannot succeed.
func TestWaitersAreBounded(t *testing.T) {
	is := is.New(t)
	clock := &fakeClock{now: time.Now()}
	a := newTestAccount(clock, nil)
	_, err := a.Take(t.Context(), "stranger")
	is.Equal(errkind.Of(err), errkind.Unauthenticated)
	is.Equal(len(a.orgs), 0)
	start := time.Now()
	for range 25 { // rate 10/s x 2 s + burst 5
		go func() { _, _ = a.Take(t.Context(), acme) }()
	}
	for a.Report()[acme].Demand < 25 {
		time.Sleep(time.Millisecond)
	}
	_, err = a.Take(t.Context(), acme)
	is.Equal(errkind.Of(err), errkind.RateLimited)
	is.True(time.Since(start) < time.Second)
}

// Guards against an idle node that keeps tokens that another node needs.
func TestIdleTokensAreReturned(t *testing.T) {
	is := is.New(t)
	clock := &fakeClock{now: time.Now()}
	a := newTestAccount(clock, nil)
	issue(a, 1, 100)
	for range 10 {
		takeNow(a).Settle()
	}
	clock.advance(api.DefaultHeartbeat)
	busy := a.Report()[acme]
	is.Equal(busy.Demand, int64(20)) // two heartbeats with ten arrivals each
	is.Equal(busy.Returned, int64(70))
	for range 60 {
		clock.advance(api.DefaultHeartbeat)
		a.Report()
	}
	idle := a.Report()[acme]
	is.Equal(idle.Demand, int64(0))
	is.Equal(idle.Issued, idle.Settled+idle.Returned)
}

// Guards against requests of an exhausted organisation that wait for a refill, and against refused
// arrivals that are not reported to the authority.
func TestExhaustedOrganisationIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	a := newTestAccount(&fakeClock{now: time.Now()}, nil)
	waiting := make(chan error, 1)
	go func() {
		_, err := a.Take(context.Background(), acme)
		waiting <- err
	}()
	for a.Report()[acme].Waiting < 1 {
		time.Sleep(time.Millisecond)
	}
	a.Apply(1, map[api.OrganisationID]api.TokenReply{acme: {Exhausted: true}})
	is.Equal(errkind.Of(<-waiting), errkind.RateLimited)
	_, err := a.Take(context.Background(), acme)
	is.Equal(errkind.Of(err), errkind.RateLimited)
	is.Equal(a.Report()[acme].Arrivals, int64(2))
}
