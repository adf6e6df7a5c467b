// Package gateway is the request path of a node: it authenticates callers, takes tokens,
// routes each request to the target that owns its key, over at most one hop to another
// node, and passes the answer back whole or not at all.
package gateway

import (
	"context"
	"crypto/tls"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/gate"
	"github.com/zinniapier/zinniapier/telemetry"
)

// Defaults of the request path.
const (
	defaultAttempts   = 3
	defaultRetryShare = 0.1
	defaultHedgeShare = 0.05
	defaultMaxBody    = 64 << 20 // bytes
	defaultDeadline   = 10 * time.Second
	// soonAgain is when a caller may come again that another node can serve: a connection takes
	// about 20 ms to a client.
	soonAgain = 50 * time.Millisecond
	// returnsWithin divides the latency objective: a quarter of it lets a short queue pass and leaves
	// time for the work.
	returnsWithin = 4
	// laterAgain is when a caller may come again after a refusal for load or for a missing owner:
	// a queue of one slot's work is served meanwhile.
	laterAgain = 300 * time.Millisecond
	// longestDeadline bounds the memory for finished attempts; a service may not set more.
	longestDeadline = 60 * time.Second
)

// shutdownPoll is the interval at which Shutdown looks for running requests.
const shutdownPoll = 5 * time.Millisecond

// Options configure a gateway. View, Targets and Tokens must be set.
type Options struct {
	View    func() *api.View
	Targets Targets
	Tokens  Tokens
	// TLS is used for hops to other nodes; when set, the internal handler demands a
	// verified client certificate. Nil means plain TCP.
	TLS     *tls.Config
	Traffic config.Traffic
	// Dialect translates the headers of callers and targets; nil means the product's own.
	Dialect Dialect
	// Origin is the service that runs on this host, told to targets; may be empty.
	Origin string
	// ProbeInterval is the time without an answer after which the owner's node is asked whether the
	// request has arrived. Default defaultSilence.
	ProbeInterval time.Duration
	// RetryBurst is the number of retries that this node may have saved up. Default budgetBurst.
	RetryBurst int
	// TargetChoice is the policy of services that name none. Default DefaultTargetChoice.
	TargetChoice string
}

// Gateway serves callers and other nodes. Its handlers are safe for concurrent use.
type Gateway struct {
	view    func() *api.View
	targets Targets
	tokens  Tokens
	tls     *tls.Config
	dialect Dialect
	origin  string
	silence time.Duration
	// targetChoice is the policy of services that name none; empty means the default.
	targetChoice string
	attempts     int
	maxBody      int64

	routes      routeCache
	started     *gate.Attempts
	sessions    sync.Map // all that this process has had, by id
	targetLinks *links
	nodeLinks   *links
	fates       *fateClients
	loads       loadTable
	times       serviceTimes
	retries     *budget
	hedges      *budget
	requests    *requestLog
	bodies      *bodyPace

	closing atomic.Bool
	running atomic.Int64
	changed atomic.Pointer[chan struct{}] // closed at the next publication of a view
}

// New returns a gateway.
func New(o Options) *Gateway {
	t := o.Traffic
	g := &Gateway{
		view:    o.View,
		targets: o.Targets,
		tokens:  o.Tokens,
		tls:     o.TLS,
		dialect: o.Dialect,
		origin:  o.Origin,
		silence: o.ProbeInterval,

		targetChoice: o.TargetChoice,

		attempts: t.Attempts,
		maxBody:  t.MaxBodyBytes,
		started:  gate.NewAttempts(longestDeadline, nil),
		fates:    newFateClients(o.TLS),
		retries:  newBudget(shareOr(t.RetryShare, defaultRetryShare), o.RetryBurst),
		hedges:   newBudget(shareOr(t.HedgeShare, defaultHedgeShare), 0),
		requests: newRequestLog(),
		bodies:   newBodyPace(t.LinkMbps),
	}
	if g.dialect == nil {
		g.dialect = ownDialect{}
	}
	if g.silence <= 0 {
		g.silence = defaultSilence
	}
	if g.attempts <= 0 {
		g.attempts = defaultAttempts
	}
	if g.maxBody <= 0 {
		g.maxBody = defaultMaxBody
	}
	g.renewChanged()
	g.targetLinks = newLinks(nil)
	g.nodeLinks = newLinks(o.TLS)
	return g
}

func shareOr(share *float64, byDefault float64) float64 {
	if share == nil {
		return byDefault
	}
	return *share
}

// begin counts a request as running, unless the gateway is shutting down.
func (g *Gateway) begin() bool {
	g.running.Add(1)
	if g.closing.Load() {
		g.running.Add(-1)
		return false
	}
	return true
}

func (g *Gateway) end() { g.running.Add(-1) }

// ViewChanged notes the session and wakes the requests that wait for an owner. It must be called
// after each publication of a view, for which session.Subscribe serves.
func (g *Gateway) ViewChanged(v *api.View) {
	g.noteSession(v.Session)
	g.renewChanged()
}

func (g *Gateway) renewChanged() {
	next := make(chan struct{})
	if previous := g.changed.Swap(&next); previous != nil {
		close(*previous)
	}
}

// Running returns the number of requests in progress.
func (g *Gateway) Running() int64 { return g.running.Load() }

// Shutdown refuses new requests with ShuttingDown and waits until the running ones have
// ended. It returns the error of ctx when that ends first.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.closing.Store(true)
	tick := time.NewTicker(shutdownPoll)
	defer tick.Stop()
	for g.running.Load() > 0 {
		select {
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "%d requests still running", g.running.Load())
		case <-tick.C:
		}
	}
	g.targetLinks.close()
	g.nodeLinks.close()
	g.fates.close()
	return nil
}

// refuse answers a caller with an error, counts it and logs it. c is nil when the request was
// refused before it was accepted.
func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, c *call, e *errkind.Error) {
	telemetry.CountRefusal(e.Kind)
	id := ""
	if c != nil {
		id = c.id
	} else {
		id = g.requestID(r)
	}
	g.requests.failed(r, id, c, g.view(), e)
	g.dialect.WriteError(w, e, retryAfter(e.Kind, c))
}

// refuseHop is refuse for another node, which logs the request.
func (g *Gateway) refuseHop(w http.ResponseWriter, e *errkind.Error) {
	telemetry.CountRefusal(e.Kind)
	errkind.WriteHTTP(w, e)
}

// retryAfter is when a request that was refused as not run may come again. One that was refused for
// load may still meet its objective then.
func retryAfter(kind errkind.Kind, c *call) time.Duration {
	if kind == errkind.Overloaded && c != nil && c.span > 0 {
		return c.span / returnsWithin
	}
	switch kind {
	case errkind.ShuttingDown, errkind.NodeUnreachable, errkind.TargetUnreachable, errkind.WrongOwner:
		return soonAgain
	case errkind.Overloaded, errkind.RateLimited, errkind.NoOwner, errkind.NoLease, errkind.NoTarget:
		return laterAgain
	}
	return 0
}
