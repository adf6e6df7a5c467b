// Package gateway is the request path of a node: it authenticates callers, takes tokens,
// routes each request to the target that owns its key, over at most one hop to another
// node, and passes the answer back whole or not at all.
package gateway

import (
	"context"
	"crypto/tls"
	"net/http"
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
}

// Gateway serves callers and other nodes. Its handlers are safe for concurrent use.
type Gateway struct {
	view     func() *api.View
	targets  Targets
	tokens   Tokens
	tls      *tls.Config
	attempts int
	maxBody  int64

	routes      routeCache
	started     *gate.Attempts
	targetLinks *links
	nodeLinks   *links
	fates       *fateClients
	loads       loadTable
	times       serviceTimes
	retries     *budget
	hedges      *budget
	refusals    *refusalLog

	closing atomic.Bool
	running atomic.Int64
	changed atomic.Pointer[chan struct{}] // closed at the next publication of a view
}

// New returns a gateway.
func New(o Options) *Gateway {
	t := o.Traffic
	g := &Gateway{
		view:     o.View,
		targets:  o.Targets,
		tokens:   o.Tokens,
		tls:      o.TLS,
		attempts: t.Attempts,
		maxBody:  t.MaxBodyBytes,
		started:  gate.NewAttempts(longestDeadline, nil),
		fates:    newFateClients(o.TLS),
		retries:  newBudget(shareOr(t.RetryShare, defaultRetryShare)),
		hedges:   newBudget(shareOr(t.HedgeShare, defaultHedgeShare)),
		refusals: newRefusalLog(telemetry.Logger("gateway")),
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

// ViewChanged wakes the requests that wait for an owner. It is called after each
// publication of a view, for which session.Subscribe serves; without it, waiting requests
// look at the view at intervals.
func (g *Gateway) ViewChanged(*api.View) { g.renewChanged() }

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

// refuse answers a request with an error and counts it.
func (g *Gateway) refuse(w http.ResponseWriter, e *errkind.Error) {
	telemetry.CountRefusal(e.Kind)
	g.refusals.log(e)
	errkind.WriteHTTP(w, e)
}

// countCut counts an answer that broke off after its header had been sent.
func (g *Gateway) countCut(e *errkind.Error) {
	telemetry.CountRefusal(e.Kind)
	g.refusals.log(e)
}
