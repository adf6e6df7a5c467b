// Package gateway is the request path of a node: it authenticates callers, takes rate-limit tokens,
// routes each request to the target that owns its key, over at most one hop to another node, and
// returns the response complete or not at all.
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
	"github.com/zinniapier/zinniapier/egress"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/gate"
	"github.com/zinniapier/zinniapier/internal/connlimit"
	"github.com/zinniapier/zinniapier/telemetry"
)

// Defaults of the request path.
const (
	defaultAttempts   = 3
	defaultRetryShare = 0.1
	defaultHedgeShare = 0.05
	defaultMaxBody    = 64 << 20 // bytes
	defaultDeadline   = 10 * time.Second
	// shortRetryAfter is the retry delay when another node can serve the request: a new connection
	// takes a client about 20 ms.
	shortRetryAfter = 50 * time.Millisecond
	// overloadRetryDivisor divides the latency objective into the retry delay after an overload: a
	// quarter lets a short queue drain and leaves time for the work.
	overloadRetryDivisor = 4
	// longRetryAfter is the retry delay after a refusal for load or for a missing owner: a queue of
	// one slot's work is served meanwhile.
	longRetryAfter = 300 * time.Millisecond
	// maxDeadline limits the memory for finished attempts; a service may not set a longer deadline.
	maxDeadline = 60 * time.Second
)

// shutdownPollInterval is the interval at which Shutdown checks for requests in flight.
const shutdownPollInterval = 5 * time.Millisecond

// Options configure a gateway. View, Targets and Tokens must be set.
type Options struct {
	View    func() *api.View
	Targets Targets
	Tokens  Tokens
	// TLS is used for hops to other nodes; if set, the internal handler requires a verified client
	// certificate. Nil means plain TCP.
	TLS     *tls.Config
	Traffic config.Traffic
	// Dialect translates the headers of callers and targets; nil means the product's own.
	Dialect Dialect
	// Origin is the service on this host, sent to targets; may be empty.
	Origin string
	// ProbeInterval is the time without a response after which, and at which interval, the owner's
	// node is asked whether the request has arrived. Default defaultProbeInterval.
	ProbeInterval time.Duration
	// RetryBurst is the number of retries that the retry budget may accumulate. Default
	// defaultBudgetBurst.
	RetryBurst int
	// AdmitLeaving is how long requests that begin at this node go to a target after a response has said that it leaves; 0
	// means as long as the node of the target admits them.
	AdmitLeaving time.Duration
	// TargetChoice is the policy of services that name none. Default DefaultTargetChoice.
	TargetChoice string
	// Connections is the number of connections that the gateway may have open to targets and other nodes; 0 means no limit.
	Connections int
}

// Gateway serves callers and other nodes. Its handlers are safe for concurrent use.
type Gateway struct {
	view          func() *api.View
	targets       Targets
	tokens        Tokens
	tls           *tls.Config
	dialect       Dialect
	origin        string
	probeInterval time.Duration
	// targetChoice is the policy of services that name none; empty means the default.
	targetChoice string
	maxAttempts  int
	maxBody      int64

	routes           routeCache
	attemptTable     *gate.Attempts
	sessions         sync.Map // all session IDs of this process
	targetTransports *transportPool
	nodeTransports   *transportPool
	fates            *fateClients
	loads            loadTable
	latencies        serviceLatencies
	retries          *retryBudget
	hedges           *retryBudget
	requests         *requestLog
	bodies           *bodyPacer
	bodyMemory       bodyMemory
	egress           *pacedLink // nil without a link speed
	sizes            egress.Sizes
	departures       departures
	outcomes         outcomeCounts

	closing     atomic.Bool
	leaving     atomic.Pointer[leave] // nil for a process that goes on
	inFlight    atomic.Int64
	viewChanged atomic.Pointer[chan struct{}] // closed at the next publication of a view
}

// New returns a gateway.
func New(o Options) *Gateway {
	t := o.Traffic
	g := &Gateway{
		view:          o.View,
		targets:       o.Targets,
		tokens:        o.Tokens,
		tls:           o.TLS,
		dialect:       o.Dialect,
		origin:        o.Origin,
		probeInterval: o.ProbeInterval,

		targetChoice: o.TargetChoice,

		maxAttempts:  t.Attempts,
		maxBody:      t.MaxBodyBytes,
		attemptTable: gate.NewAttempts(maxDeadline, nil),
		fates:        newFateClients(o.TLS),
		retries:      newBudget(shareOr(t.RetryShare, defaultRetryShare), o.RetryBurst),
		hedges:       newBudget(shareOr(t.HedgeShare, defaultHedgeShare), 0),
		requests:     newRequestLog(),
		bodies:       newBodyPacer(t.LinkMbps),
		egress:       newPacedLink(t.LinkMbps),
		departures:   departures{admitFor: o.AdmitLeaving},
	}
	if g.dialect == nil {
		g.dialect = defaultDialect{}
	}
	if g.probeInterval <= 0 {
		g.probeInterval = defaultProbeInterval
	}
	if g.maxAttempts <= 0 {
		g.maxAttempts = defaultAttempts
	}
	if g.maxBody <= 0 {
		g.maxBody = defaultMaxBody
	}
	g.notifyViewChanged()
	var outgoing *connlimit.Outgoing
	if o.Connections > 0 {
		outgoing = connlimit.NewOutgoing(o.Connections, g.closeIdleConnections)
	}
	g.targetTransports = newTransportPool(nil, idleConnTimeout, outgoing)
	g.nodeTransports = newTransportPool(o.TLS, nodeIdleConnTimeout, outgoing)
	return g
}

func (g *Gateway) closeIdleConnections() {
	g.targetTransports.closeIdle()
	g.nodeTransports.closeIdle()
}

func shareOr(share *float64, byDefault float64) float64 {
	if share == nil {
		return byDefault
	}
	return *share
}

// begin counts a request as in flight and returns true, unless the gateway is shutting down.
func (g *Gateway) begin() bool {
	g.inFlight.Add(1)
	if g.closing.Load() {
		g.inFlight.Add(-1)
		return false
	}
	return true
}

func (g *Gateway) end() { g.inFlight.Add(-1) }

// ViewChanged records the session and wakes the requests that wait for an owner. It must be called
// after each publication of a view, for example through session.Subscribe.
func (g *Gateway) ViewChanged(v *api.View) {
	g.recordSession(v.Session)
	g.notifyViewChanged()
}

func (g *Gateway) notifyViewChanged() {
	next := make(chan struct{})
	if previous := g.viewChanged.Swap(&next); previous != nil {
		close(*previous)
	}
}

// Running returns the number of requests in flight.
func (g *Gateway) Running() int64 { return g.inFlight.Load() }

// Shutdown refuses new requests with ShuttingDown and waits until those in flight have ended. If
// ctx ends first, it returns the error of ctx.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.closing.Store(true)
	tick := time.NewTicker(shutdownPollInterval)
	defer tick.Stop()
	for g.inFlight.Load() > 0 {
		select {
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "%d requests still in flight", g.inFlight.Load())
		case <-tick.C:
		}
	}
	g.closeIdleConnections()
	g.fates.close()
	return nil
}

// refuse sends an error to a caller, counts it and logs it. c is nil if the request was refused
// before a call was created.
func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, c *call, e *errkind.Error) {
	telemetry.CountRefusal(e.Kind)
	id := ""
	if c != nil {
		id = c.id
	} else {
		id = g.requestID(r)
	}
	g.requests.logRefused(r, id, c, g.view(), e)
	g.dialect.WriteError(w, e, max(retryAfter(e.Kind, c), g.returnDelay(e.Kind)))
}

// refuseHop sends an error to another node and counts it; that node logs the request.
func (g *Gateway) refuseHop(w http.ResponseWriter, e *errkind.Error) {
	telemetry.CountRefusal(e.Kind)
	g.egress.count(messageOverhead)
	errkind.WriteHTTP(w, e)
}

// retryAfter returns the delay after which a request that was refused as not run may be sent again;
// 0 means unspecified. After an overload the request may still meet its objective then.
func retryAfter(kind errkind.Kind, c *call) time.Duration {
	if kind == errkind.Overloaded && c != nil && c.objectiveAfter > 0 {
		return c.objectiveAfter / overloadRetryDivisor
	}
	switch kind {
	case errkind.ShuttingDown, errkind.NodeUnreachable, errkind.TargetUnreachable, errkind.WrongOwner:
		return shortRetryAfter
	case errkind.Overloaded, errkind.RateLimited, errkind.NoOwner, errkind.NoLease, errkind.NoTarget:
		return longRetryAfter
	}
	return 0
}
