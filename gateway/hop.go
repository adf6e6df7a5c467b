package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/telemetry"
)

const (
	// defaultProbeInterval is the time without a response after which the first node asks the
	// owner's node whether the request has arrived.
	defaultProbeInterval = 150 * time.Millisecond
	// hopMargin is subtracted from the deadline of the owner's node, so that its error arrives
	// before the first node gives up.
	hopMargin = 20 * time.Millisecond
	// lateTransfer is how long after its deadline the body of a response is still read: its bytes are ready, and wait for
	// the link of the owner's node.
	lateTransfer = 5 * time.Second
	// maxRefusalSize limits the bytes read of a refusal by another node.
	maxRefusalSize = 4 << 10
)

// eventFateQuery counts the queries of probes for the fate of an attempt.
const eventFateQuery = "fate_query"

// hop is one attempt through the owner's node.
type hop struct {
	gateway *Gateway
	call    *call
	dest    destination
	id      string
	conns   *peerTransport

	once   sendOnce
	cancel context.CancelFunc
	timer  *time.Timer
	fenced atomic.Bool // the owner's node has confirmed that it will never start the attempt
	// received is true once the owner's node has confirmed that it has received the attempt.
	received atomic.Bool
	// answered is true once there is a response whose body is still to be read.
	answered atomic.Bool
}

// hop makes an attempt through another node.
func (g *Gateway) hop(ctx context.Context, c *call, p destination, id string) (*response, *errkind.Error) {
	key := string(p.session) + "@" + p.peer.InternalAddr
	h := &hop{gateway: g, call: c, dest: p, id: id, conns: g.nodeTransports.get(key, 0)}
	h.once.check = c.checkCaller
	return h.do(ctx)
}

func (h *hop) do(ctx context.Context) (*response, *errkind.Error) {
	outer := ctx
	ctx = h.start(ctx)
	req := newOutgoingRequest(httptrace.WithClientTrace(ctx, h.trace()), h.call, h.scheme(), h.dest.peer.InternalAddr, h.header())
	h.gateway.egress.countRequest(req)
	h.startProbing(ctx)
	began := time.Now()
	resp, err := h.conns.roundTrip(req, h.call.body)
	h.timer.Stop()
	telemetry.Observe("hop", h.call.ref.Service, time.Since(began))
	if err != nil {
		h.cancel()
		_ = req.Body.Close()
		return nil, h.failure(outer, err)
	}
	a := &response{resp: resp}
	a.onFinish(func() { _ = req.Body.Close() })
	a.onFinish(h.cancel)
	if e := h.checkResponse(resp); e != nil {
		a.finish()
		return nil, e
	}
	if e := a.readSmallBody(h.call.incoming.Method); e != nil {
		return nil, e
	}
	h.answered.Store(true)
	return a, nil
}

// start returns the context of the hop. It ends at once when the caller leaves, and with the outer one, but if that reaches its
// deadline while a response is being transferred, up to lateTransfer later. The owner's node keeps the deadline for its target.
func (h *hop) start(outer context.Context) context.Context {
	ctx, cancel := context.WithCancel(h.call.incoming.Context())
	stop := context.AfterFunc(outer, func() {
		if !h.answered.Load() || !errors.Is(outer.Err(), context.DeadlineExceeded) {
			cancel()
			return
		}
		late := time.AfterFunc(lateTransfer, cancel)
		context.AfterFunc(ctx, func() { late.Stop() })
	})
	h.cancel = func() {
		stop()
		cancel()
	}
	return ctx
}

// trace notes the receipt of the attempt, too.
func (h *hop) trace() *httptrace.ClientTrace {
	t := h.once.trace()
	t.Got1xxResponse = func(_ int, header textproto.MIMEHeader) error {
		if header.Get(api.HeaderAttempt) == h.id {
			h.received.Store(true)
		}
		return nil
	}
	return t
}

func (h *hop) scheme() string {
	if h.gateway.tls != nil {
		return "https"
	}
	return "http"
}

func (h *hop) header() http.Header {
	c := h.call
	out := c.header.Clone()
	setHeader(out, api.HeaderAttempt, h.id)
	setHeader(out, api.HeaderHop, h.description().String())
	if c.body.large() {
		// The owner's node asks for the body once its link and the target have capacity for it: a
		// refused body does not cross the link and can still be sent to another target.
		setHeader(out, "Expect", "100-continue")
	}
	return out
}

// description returns what the owner's node is told about the attempt.
func (h *hop) description() api.Hop {
	c := h.call
	d := api.Hop{
		Service:      c.ref.Service,
		Partition:    c.ref.Partition,
		Epoch:        h.dest.epoch,
		Target:       h.dest.target,
		Key:          c.key,
		Organisation: c.org,
		Origin:       c.origin,
		Priority:     c.priority,
		Idempotent:   c.idempotent,
		DeadlineMs:   remainingMs(hopDeadline(c.deadline)),
		ObjectiveMs:  -1,
	}
	if h.gateway.view().Configuration.RunningRollout(c.ref.Service) != nil {
		d.Route = c.routeName
	}
	if h.gateway.largeResponse(c) {
		d.Route = c.routeName // the owner's node learns its size
		d.Late = h.dest.late
	}
	if !c.objective.IsZero() {
		d.ObjectiveMs = max(time.Until(c.objective), 0).Milliseconds()
	}
	return d
}

// hopDeadline returns the deadline for the owner's node.
func hopDeadline(deadline time.Time) time.Time {
	return deadline.Add(-min(hopMargin, time.Until(deadline)/10))
}

// startProbing queries at each probe interval whether the request has arrived, until that is known. If it has
// not, the connection is dead: the attempt is fenced, and the call is routed again over a new connection. An
// attempt that has arrived is queried again once the session of the owner's node has ended.
func (h *hop) startProbing(ctx context.Context) {
	// The timer starts only after the field is set, since probe reads it.
	h.timer = time.AfterFunc(time.Hour, func() { h.probe(ctx) })
	h.timer.Reset(h.gateway.probeInterval)
}

func (h *hop) probe(ctx context.Context) {
	// Holding the token longer would keep the organisation below its rate.
	h.call.token.settle()
	if ctx.Err() != nil {
		return
	}
	if h.received.Load() && h.ownerPresent() {
		h.timer.Reset(h.gateway.probeInterval)
		return
	}
	telemetry.CountEvent(eventFateQuery, 1)
	reply, err := h.gateway.fates.ask(ctx, h.dest.peer.FateAddr, api.FateRequest{Attempt: h.id, Session: h.dest.session, Peek: true})
	if err == nil && (reply.Former || !reply.Received && h.fence()) {
		h.abandon()
		return
	}
	if err == nil && reply.Received {
		h.received.Store(true)
	}
	if err != nil && !h.ownerPresent() {
		// The owner's session has ended and its node does not reply: no response will come.
		h.abandon()
		return
	}
	if ctx.Err() == nil {
		h.timer.Reset(h.gateway.probeInterval)
	}
}

// ownerPresent reports whether the session of the owner's node goes on.
func (h *hop) ownerPresent() bool { return h.gateway.view().Index.Peers[h.dest.session] != nil }

// fence asks the owner's node never to start the attempt, and reports whether it is certain that
// the attempt will not run.
func (h *hop) fence() bool {
	if sent, _ := h.once.fence(); !sent {
		return true
	}
	if h.fenced.Load() {
		return true
	}
	reply, err := h.gateway.fates.ask(context.Background(), h.dest.peer.FateAddr, api.FateRequest{Attempt: h.id, Session: h.dest.session})
	if err != nil || reply.Started {
		return false
	}
	h.fenced.Store(true)
	return true
}

// abandon cancels the attempt and closes its connection and the idle ones of its transport, which
// may be just as unresponsive.
func (h *hop) abandon() {
	h.cancel()
	h.once.closeConn()
	h.conns.transport.CloseIdleConnections()
}

// failure returns the error of an attempt whose hop failed.
func (h *hop) failure(ctx context.Context, err error) *errkind.Error {
	sent, refusal := h.once.fence()
	if sent && ctx.Err() == context.Canceled {
		// The caller disconnected or another attempt was faster, so the fate does not matter.
		return errkind.New(errkind.Unknown, "attempt was cancelled while it ran")
	}
	if refusal != nil {
		return refusal
	}
	if !h.fence() {
		return errkind.New(errkind.Unknown, "hop to node %s was lost: %v", h.dest.peer.Name, err)
	}
	if ctx.Err() != nil {
		return errkind.New(errkind.DeadlineExceeded, "request ended before it was sent: %v", ctx.Err())
	}
	return unsentFailure(errkind.NodeUnreachable, "hop to node "+h.dest.peer.Name, err)
}

// checkResponse checks that the response belongs to this attempt and converts a refusal by the
// owner's node into an error. Errors: CrossedAnswer, ShortAnswer, Unknown, and the refusal.
func (h *hop) checkResponse(resp *http.Response) *errkind.Error {
	if resp.Header.Get(api.HeaderAttempt) != h.id {
		h.once.closeConn()
		return errkind.New(errkind.CrossedAnswer, "node %s sent the response to another attempt", h.dest.peer.Name)
	}
	if !isFinalStatus(resp.StatusCode) {
		h.once.closeConn()
		return errkind.New(errkind.Unknown, "node %s sent the status %03d, with which no response ends", h.dest.peer.Name, resp.StatusCode)
	}
	if expected, ok := parseMilliseconds(resp.Header, api.HeaderExpected); ok {
		// A node whose link speed is not configured reports no wait.
		wait, _ := parseMilliseconds(resp.Header, api.HeaderBodyWaitMs)
		linkWait, _ := parseMilliseconds(resp.Header, api.HeaderLinkWaitMs)
		h.gateway.loads.get(h.dest.target).recordReport(
			loadReport{expected: expected, bodyWait: wait, linkWait: linkWait, at: time.Now()})
	}
	if kind := resp.Header.Get(errkind.HeaderKind); kind != "" {
		return readRefusal(errkind.Kind(kind), resp)
	}
	if h.gateway.dialect.ParseStatement(resp.Header).Leaving {
		h.gateway.departures.record(h.dest.target, time.Now())
	}
	if endsWithConnection(h.call.incoming.Method, resp) {
		return errkind.New(errkind.ShortAnswer, "response of node %s has neither a length nor chunks", h.dest.peer.Name)
	}
	return nil
}

func formatMilliseconds(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// parseMilliseconds returns the duration in a header of another node, and whether the header is
// present and valid.
func parseMilliseconds(h http.Header, name string) (time.Duration, bool) {
	ms, err := strconv.ParseInt(h.Get(name), 10, 64)
	return time.Duration(ms) * time.Millisecond, err == nil
}

func readRefusal(kind errkind.Kind, resp *http.Response) *errkind.Error {
	e := &errkind.Error{}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxRefusalSize))
	if err != nil || json.Unmarshal(text, e) != nil {
		e.Message = "refused by another node"
	}
	e.Kind = kind
	e.NotRun = resp.Header.Get(errkind.HeaderNotRun) == "true"
	if !kind.Valid() {
		return errkind.New(errkind.Unknown, "refusal with an unknown kind")
	}
	return e
}
