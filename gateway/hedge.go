package gateway

import (
	"context"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/telemetry"
)

// minHedgeDelay keeps very fast services from hedging on scheduling noise.
const minHedgeDelay = time.Millisecond

// hedgeEvent is the name of the counter of hedges.
const hedgeEvent = "hedges"

// raceResult is the outcome of one of two parallel attempts.
type raceResult struct {
	response *response
	err      *errkind.Error
	first    bool
}

// attemptHedged makes an attempt and, for an idempotent request, a second one at another target
// once the first takes longer than the 95th percentile. It returns the first response and cancels
// the other attempt. used are the targets tried. An attempt at a canary target is not hedged: it would be cancelled,
// and a slow version would show no slow responses.
func (g *Gateway) attemptHedged(ctx context.Context, v *api.View, c *call, p destination, tried []api.TargetID) (a *response, used []api.TargetID, e *errkind.Error) {
	used = []api.TargetID{p.target}
	p95 := g.latencies.get(c.service.Name).p95Latency()
	if p95 == 0 || !g.hedgeable(v, c) || isCanary(v.Index, c.service.Name, p.target) {
		a, e = g.attempt(ctx, v, c, p)
		return a, used, e
	}
	race := newRace(g, v, c)
	race.start(ctx, p, true)
	timer := time.NewTimer(max(p95, minHedgeDelay))
	defer timer.Stop()
	select {
	case r := <-race.results:
		race.running--
		a, e = race.finishAttempt(r)
		return a, used, e
	case <-timer.C:
	}
	if second, ok := g.chooseHedge(v, c, append(tried, p.target)); ok {
		used = append(used, second.target)
		race.start(ctx, second, false)
	}
	a, e = race.wait()
	return a, used, e
}

// hedgeable reports whether the call may have two attempts at once.
func (g *Gateway) hedgeable(v *api.View, c *call) bool {
	return c.idempotent && c.attemptsLeft > 1 && c.body.small() && g.hedges.share > 0 &&
		len(v.Index.TargetsByService[c.service.Name]) > 1
}

// chooseHedge returns an untried target if there is one and the hedge budget allows it.
func (g *Gateway) chooseHedge(v *api.View, c *call, tried []api.TargetID) (destination, bool) {
	p, e := g.choose(v, c, tried)
	for _, id := range tried {
		if e != nil || id == p.target {
			return destination{}, false
		}
	}
	if e != nil || !g.hedges.withdraw() {
		return destination{}, false
	}
	c.attemptsLeft--
	telemetry.CountEvent(hedgeEvent, 1)
	return p, true
}

// race runs up to two attempts of one call in parallel.
type race struct {
	gateway *Gateway
	view    *api.View
	call    *call
	results chan raceResult
	cancels [2]context.CancelFunc
	running int
}

func newRace(g *Gateway, v *api.View, c *call) *race {
	return &race{gateway: g, view: v, call: c, results: make(chan raceResult, 2)}
}

func (r *race) start(ctx context.Context, p destination, first bool) {
	ctx, cancel := context.WithCancel(ctx)
	r.cancels[cancelIndex(first)] = cancel
	r.running++
	r.gateway.inFlight.Add(1)
	go func() {
		defer r.gateway.end()
		a, e := r.gateway.attempt(ctx, r.view, r.call, p)
		r.results <- raceResult{response: a, err: e, first: first}
	}()
}

func cancelIndex(first bool) int {
	if first {
		return 0
	}
	return 1
}

// wait returns the first response, or an error if no attempt got one. The error of an attempt that
// may have run takes precedence over one that has not run.
func (r *race) wait() (*response, *errkind.Error) {
	var failed *errkind.Error
	for r.running > 0 {
		got := <-r.results
		r.running--
		a, e := r.finishAttempt(got)
		if e == nil {
			return a, nil
		}
		if failed == nil || failed.NotRun {
			failed = e
		}
	}
	return nil, failed
}

// finishAttempt handles the end of one attempt: a response cancels the other attempt, whose
// response is discarded.
func (r *race) finishAttempt(got raceResult) (*response, *errkind.Error) {
	cancel := r.cancels[cancelIndex(got.first)]
	if got.err != nil {
		r.returnRefusedHedge(got)
		cancel()
		return nil, got.err
	}
	got.response.onFinish(cancel)
	if other := r.cancels[cancelIndex(!got.first)]; other != nil {
		other()
	}
	if r.running > 0 {
		go r.discardLoser()
	}
	return got.response, nil
}

func (r *race) discardLoser() {
	if loser := <-r.results; loser.response != nil {
		loser.response.finish()
	}
}
