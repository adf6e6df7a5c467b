package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/telemetry"
)

const (
	// defaultSilence is the time without an answer after which the first node asks the owner's
	// node whether the request has arrived at all.
	defaultSilence = 150 * time.Millisecond
	// hopMargin is what the owner's node gets less of the deadline, so that its own
	// error arrives before the first node gives up.
	hopMargin = 20 * time.Millisecond
	// refusalSize bounds in bytes what is read of a refusal by another node.
	refusalSize = 4 << 10
)

// hop is one attempt that goes through the owner's node.
type hop struct {
	gateway *Gateway
	call    *call
	place   place
	id      string
	link    *link

	shot   shot
	cancel context.CancelFunc
	timer  *time.Timer
	barred atomic.Bool // the owner's node has promised not to start the attempt
}

// hop makes an attempt through another node.
func (g *Gateway) hop(ctx context.Context, c *call, p place, id string) (*answer, *errkind.Error) {
	key := string(p.session) + "@" + p.peer.InternalAddr
	h := &hop{gateway: g, call: c, place: p, id: id, link: g.nodeLinks.get(key, 0)}
	h.shot.check = func() error { return nil }
	return h.do(ctx)
}

func (h *hop) do(ctx context.Context) (*answer, *errkind.Error) {
	outer := ctx
	ctx, h.cancel = context.WithCancel(ctx)
	req := outgoing(httptrace.WithClientTrace(ctx, h.shot.trace()), h.call, h.scheme(), h.place.peer.InternalAddr, h.header())
	h.watch(ctx)
	began := time.Now()
	resp, err := h.link.roundTrip(req, h.call.body)
	h.timer.Stop()
	telemetry.Observe("hop", h.call.ref.Service, time.Since(began))
	if err != nil {
		h.cancel()
		_ = req.Body.Close()
		return nil, h.failure(outer, err)
	}
	a := &answer{resp: resp}
	a.onFinish(h.cancel)
	if e := h.checkAnswer(resp); e != nil {
		a.finish()
		return nil, e
	}
	if e := a.prefetch(h.call.in.Method); e != nil {
		return nil, e
	}
	return a, nil
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
	setOnce(out, api.HeaderHop, "1")
	if c.org != "" {
		setOnce(out, api.HeaderOrganisation, string(c.org))
	}
	if c.origin != "" {
		setOnce(out, api.HeaderOrigin, c.origin)
	}
	setOnce(out, api.HeaderPriority, strconv.Itoa(c.priority))
	if !c.objective.IsZero() {
		setOnce(out, api.HeaderObjectiveMs, milliseconds(max(time.Until(c.objective), 0)))
	}
	setOnce(out, api.HeaderAttempt, h.id)
	setOnce(out, api.HeaderService, c.ref.Service)
	setOnce(out, api.HeaderPartition, strconv.Itoa(c.ref.Partition))
	setOnce(out, api.HeaderEpoch, strconv.FormatUint(uint64(h.place.epoch), 10))
	setOnce(out, api.HeaderTarget, string(h.place.target))
	setOnce(out, api.HeaderKey, url.QueryEscape(c.key))
	setOnce(out, api.HeaderIdempotent, strconv.FormatBool(c.idempotent))
	setOnce(out, api.HeaderAttemptsLeft, strconv.Itoa(h.place.left))
	setOnce(out, api.HeaderDeadlineMs, remainingMs(hopDeadline(c.deadline)))
	if c.body.large() {
		// The owner's node asks for the body once its link and its target are free for it: a refused one
		// does not cross the link, and can still be sent elsewhere.
		setOnce(out, "Expect", "100-continue")
	}
	return out
}

// hopDeadline is the deadline for the owner's node.
func hopDeadline(deadline time.Time) time.Time {
	return deadline.Add(-min(hopMargin, time.Until(deadline)/10))
}

// watch asks after each silence whether the request has arrived. When it has not, its
// connection is silent: the attempt is barred, and the call is routed again over a new one.
func (h *hop) watch(ctx context.Context) {
	// The timer is armed only once the field is set, since the function reads it.
	h.timer = time.AfterFunc(time.Hour, func() { h.probe(ctx) })
	h.timer.Reset(h.gateway.silence)
}

func (h *hop) probe(ctx context.Context) {
	// A token that is held longer would keep the organisation from its rate.
	h.call.token.settle()
	if ctx.Err() != nil {
		return
	}
	reply, err := h.gateway.fates.ask(ctx, h.place.peer.FateAddr, api.FateRequest{Attempt: h.id, Session: h.place.session, Peek: true})
	if err == nil && (reply.Former || !reply.Received && h.bar()) {
		h.abandon()
		return
	}
	if err != nil && h.gateway.view().Index.Peers[h.place.session] == nil {
		// The owner's session has ended and it does not answer: nobody will.
		h.abandon()
		return
	}
	if ctx.Err() == nil {
		h.timer.Reset(h.gateway.silence)
	}
}

// bar asks the owner's node never to start the attempt, and says whether that is certain.
func (h *hop) bar() bool {
	if fired, _ := h.shot.bar(); !fired {
		return true
	}
	if h.barred.Load() {
		return true
	}
	reply, err := h.gateway.fates.ask(context.Background(), h.place.peer.FateAddr, api.FateRequest{Attempt: h.id, Session: h.place.session})
	if err != nil || reply.Started {
		return false
	}
	h.barred.Store(true)
	return true
}

// abandon ends the attempt and drops the idle connections of its link, which may be as
// silent as the one that was used.
func (h *hop) abandon() {
	h.cancel()
	h.shot.closeConn()
	h.link.transport.CloseIdleConnections()
}

// failure says what became of an attempt whose hop failed.
func (h *hop) failure(ctx context.Context, err error) *errkind.Error {
	if fired, _ := h.shot.bar(); fired && ctx.Err() == context.Canceled {
		// The caller has gone, or another attempt was faster: nobody needs the fate.
		return errkind.New(errkind.Unknown, "attempt was cancelled while it ran")
	}
	if !h.bar() {
		return errkind.New(errkind.Unknown, "lost the hop to %s: %v", h.place.peer.Name, err)
	}
	if ctx.Err() != nil {
		return errkind.New(errkind.DeadlineExceeded, "ended before dispatch: %v", ctx.Err())
	}
	return errkind.New(errkind.NodeUnreachable, "hop to %s: %v", h.place.peer.Name, err)
}

// checkAnswer checks that the answer belongs to this attempt and turns a refusal of the
// owner's node into an error.
func (h *hop) checkAnswer(resp *http.Response) *errkind.Error {
	if resp.Header.Get(api.HeaderAttempt) != h.id {
		h.shot.closeConn()
		return errkind.New(errkind.CrossedAnswer, "node %s answered another attempt", h.place.peer.Name)
	}
	if expected, ok := readMilliseconds(resp.Header, api.HeaderExpected); ok {
		// A node whose link is not limited states no wait.
		wait, _ := readMilliseconds(resp.Header, api.HeaderBodyWaitMs)
		h.gateway.loads.get(h.place.target).state(statement{expected: expected, bodyWait: wait, at: time.Now()})
	}
	if kind := resp.Header.Get(errkind.HeaderKind); kind != "" {
		return readRefusal(errkind.Kind(kind), resp)
	}
	if !verifiable(h.call.in.Method, resp) {
		return errkind.New(errkind.ShortAnswer, "answer of node %s has neither a length nor chunks", h.place.peer.Name)
	}
	return nil
}

func milliseconds(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// readMilliseconds returns the time in a header of another node, and whether there is one.
func readMilliseconds(h http.Header, name string) (time.Duration, bool) {
	ms, err := strconv.ParseInt(h.Get(name), 10, 64)
	return time.Duration(ms) * time.Millisecond, err == nil
}

func readRefusal(kind errkind.Kind, resp *http.Response) *errkind.Error {
	e := &errkind.Error{}
	text, err := io.ReadAll(io.LimitReader(resp.Body, refusalSize))
	if err != nil || json.Unmarshal(text, e) != nil {
		e.Message = "refused by another node"
	}
	e.Kind = kind
	e.NotRun = resp.Header.Get(errkind.HeaderNotRun) == "true"
	if !kind.Valid() {
		return errkind.New(errkind.Unknown, "refusal of an unknown kind")
	}
	return e
}
