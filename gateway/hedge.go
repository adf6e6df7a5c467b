package gateway

import (
	"context"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/telemetry"
)

// hedgeFloor keeps very fast services from hedging on scheduling noise.
const hedgeFloor = time.Millisecond

// hedgeEvent is the counter of hedges.
const hedgeEvent = "hedges"

// result is the outcome of one of two parallel attempts.
type result struct {
	answer *answer
	err    *errkind.Error
	first  bool
}

// attemptHedged makes an attempt and, for a request that may be repeated, a second one at
// another target once the first takes longer than the 95th percentile. The answer that
// comes first is returned and the other attempt is cancelled. used are the targets tried.
func (g *Gateway) attemptHedged(ctx context.Context, v *api.View, c *call, p place, tried []api.TargetID) (a *answer, used []api.TargetID, e *errkind.Error) {
	used = []api.TargetID{p.target}
	usual := g.times.get(c.service.Name).get()
	if usual == 0 || !g.hedgeable(v, c) {
		a, e = g.attempt(ctx, v, c, p)
		return a, used, e
	}
	race := newRace(g, v, c)
	race.start(ctx, p, true)
	timer := time.NewTimer(max(usual, hedgeFloor))
	defer timer.Stop()
	select {
	case r := <-race.results:
		race.running--
		a, e = race.settle(r)
		return a, used, e
	case <-timer.C:
	}
	if second, ok := g.hedgePlace(v, c, append(tried, p.target)); ok {
		used = append(used, second.target)
		race.start(ctx, second, false)
	}
	a, e = race.wait()
	return a, used, e
}

// hedgeable says whether the call may have two attempts at once.
func (g *Gateway) hedgeable(v *api.View, c *call) bool {
	return c.idempotent && c.left > 1 && c.body.stream == nil && g.hedges.share > 0 &&
		len(v.Index.TargetsByService[c.service.Name]) > 1
}

// hedgePlace returns an untried target, when the hedge budget allows.
func (g *Gateway) hedgePlace(v *api.View, c *call, tried []api.TargetID) (place, bool) {
	p, e := g.choose(v, c, tried)
	for _, id := range tried {
		if e != nil || id == p.target {
			return place{}, false
		}
	}
	if e != nil || !g.hedges.spend() {
		return place{}, false
	}
	c.left--
	p.left = c.left
	telemetry.CountEvent(hedgeEvent, 1)
	return p, true
}

// race is up to two attempts of one call in parallel.
type race struct {
	gateway *Gateway
	view    *api.View
	call    *call
	results chan result
	cancels [2]context.CancelFunc
	running int
}

func newRace(g *Gateway, v *api.View, c *call) *race {
	return &race{gateway: g, view: v, call: c, results: make(chan result, 2)}
}

func (r *race) start(ctx context.Context, p place, first bool) {
	ctx, cancel := context.WithCancel(ctx)
	r.cancels[index(first)] = cancel
	r.running++
	r.gateway.running.Add(1)
	go func() {
		defer r.gateway.end()
		a, e := r.gateway.attempt(ctx, r.view, r.call, p)
		r.results <- result{answer: a, err: e, first: first}
	}()
}

func index(first bool) int {
	if first {
		return 0
	}
	return 1
}

// wait returns the first answer, or the last error when no attempt was answered. An error
// of an attempt that may have run outweighs one that has not.
func (r *race) wait() (*answer, *errkind.Error) {
	var failed *errkind.Error
	for r.running > 0 {
		got := <-r.results
		r.running--
		a, e := r.settle(got)
		if e == nil {
			return a, nil
		}
		if failed == nil || failed.NotRun {
			failed = e
		}
	}
	return nil, failed
}

// settle ends one attempt: an answer cancels the other attempt, whose answer is dropped.
func (r *race) settle(got result) (*answer, *errkind.Error) {
	cancel := r.cancels[index(got.first)]
	if got.err != nil {
		cancel()
		return nil, got.err
	}
	got.answer.onFinish(cancel)
	if other := r.cancels[index(!got.first)]; other != nil {
		other()
	}
	if r.running > 0 {
		go r.dropLoser()
	}
	return got.answer, nil
}

func (r *race) dropLoser() {
	if loser := <-r.results; loser.answer != nil {
		loser.answer.finish()
	}
}
