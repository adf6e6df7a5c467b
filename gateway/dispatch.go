package gateway

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/gate"
	"github.com/zinniapier/zinniapier/internal/routematch"
	"github.com/zinniapier/zinniapier/telemetry"
)

// dispatch runs one attempt on a target of this node. fromHop is true if the attempt came from
// another node, which may query its fate (its outcome).
func (g *Gateway) dispatch(ctx context.Context, v *api.View, c *call, p destination, t LocalTarget, id string, fromHop bool) (*response, *errkind.Error) {
	if err := checkGrant(v, c.ref, p.epoch, c.key); err != nil {
		return nil, errkind.From(err)
	}
	began := time.Now()
	releaseBody := func() {}
	if fromHop && c.body.large() {
		var err error
		if releaseBody, err = g.bodies.waitTurn(ctx, c.body.length, c.gateRequest(began), t.Gate().ExpectedLatency()); err != nil {
			return nil, errkind.From(err)
		}
	}
	slot, err := t.Gate().AcquireFor(ctx, c.gateRequest(began))
	if err != nil {
		releaseBody()
		t.CountRefusal(c.ref, c.key)
		return nil, errkind.From(err)
	}
	telemetry.Observe("gate", c.ref.Service, time.Since(began))
	if e := g.checkStart(c.deadline, t.Gate().MeanLatency); e != nil {
		slot.Release(gate.Outcome{})
		releaseBody()
		return nil, e
	}
	ctx, endAttempt, err := t.Begin(ctx, c.ref, p.epoch, c.key)
	if err != nil {
		slot.Release(gate.Outcome{})
		releaseBody()
		return nil, errkind.From(err)
	}
	r := &localAttempt{
		gateway: g, call: c, dest: p, target: t, id: id, fromHop: fromHop, slot: slot, endAttempt: endAttempt, releaseBody: releaseBody,
	}
	return r.do(ctx)
}

// checkGrant checks, by the view, that this node holds its lease and the grant for the key. The key
// is checked since an override may have moved it to another partition. Errors: NoLease, WrongOwner,
// StaleEpoch.
func checkGrant(v *api.View, ref api.PartitionRef, epoch api.Epoch, key string) error {
	if !v.LeaseValid(time.Now()) {
		return errkind.New(errkind.NoLease, "session lease has expired")
	}
	if ref.Partition < 0 {
		return nil
	}
	owner := v.Owner(ref)
	if epoch < owner.Epoch {
		return errkind.New(errkind.StaleEpoch, "epoch %d is older than the current epoch %d", epoch, owner.Epoch)
	}
	if !owner.Serves() || owner.Session != v.Session || epoch != owner.Epoch {
		return errkind.New(errkind.WrongOwner, "this node does not own partition %d of %s", ref.Partition, ref.Service)
	}
	if s := v.Configuration.Services.Find(ref.Service); s == nil || v.Partition(s, key) != ref.Partition {
		return errkind.New(errkind.WrongOwner, "key is not in partition %d of %s", ref.Partition, ref.Service)
	}
	return nil
}

// localAttempt is one attempt at a target of this node; it holds a slot.
type localAttempt struct {
	gateway    *Gateway
	call       *call
	dest       destination
	target     LocalTarget
	id         string
	fromHop    bool
	slot       *gate.Slot
	endAttempt func()
	// releaseBody cancels the booking of the link if the body was not asked for.
	releaseBody func()

	once     sendOnce
	sentInfo AttemptInfo // what the target is sent about the attempt
	cancel   context.CancelFunc
	began    time.Time // when the first byte was about to be sent
	cold     bool      // the target was in its cold start then
	outcome  gate.Outcome
	// ended counts the response for a roll-out once it has been read; nil without one that counts.
	ended func()
}

func (r *localAttempt) do(ctx context.Context) (*response, *errkind.Error) {
	ctx, r.cancel = context.WithCancel(ctx)
	r.once.check, r.once.requestID = r.beforeFirstByte, r.call.id
	info := r.target.Info()
	conns := r.gateway.targetTransports.get(string(info.ID)+"@"+info.Address, info.MaxConnections)
	req := r.request(ctx, info.Address)
	timer := r.dropIdleWhenUnresponsive(conns)
	resp, err := conns.roundTrip(req, r.call.body)
	timer.Stop()
	if err != nil {
		e := r.failure(ctx, err)
		if e.Kind == errkind.TargetTimeout {
			// Idle connections to the target may be just as unresponsive.
			conns.transport.CloseIdleConnections()
		}
		_ = req.Body.Close()
		r.end()
		return nil, e
	}
	a := &response{resp: resp}
	a.onFinish(func() { _ = req.Body.Close() })
	a.onFinish(r.end)
	if e := r.checkResponse(info, resp); e != nil {
		a.finish()
		return nil, e
	}
	r.trackBody(ctx, resp)
	if e := a.readSmallBody(r.call.incoming.Method); e != nil {
		return nil, e
	}
	return a, nil
}

// dropIdleWhenUnresponsive closes idle connections if a reused connection gives no response within
// the probe interval. The attempt itself goes on, since the target may still be working; without
// this, each later request would wait for its deadline on another dead connection.
func (r *localAttempt) dropIdleWhenUnresponsive(l *peerTransport) *time.Timer {
	return time.AfterFunc(r.gateway.probeInterval, func() {
		if r.once.reused.Load() {
			l.dropIdle(time.Now())
		}
	})
}

// beforeFirstByte checks the lease and the grant a last time, against the current view, and that the caller is there.
func (r *localAttempt) beforeFirstByte() error {
	if err := checkGrant(r.gateway.view(), r.call.ref, r.dest.epoch, r.call.key); err != nil {
		return err
	}
	if err := r.call.checkCaller(); err != nil {
		return err
	}
	if r.fromHop {
		if err := r.gateway.attemptTable.Start(r.id); err != nil {
			return err
		}
	}
	r.call.token.settle()
	r.cold = r.target.Gate().ColdStart()
	r.began = time.Now()
	return nil
}

func (r *localAttempt) end() {
	if r.ended != nil {
		r.ended()
	}
	r.cancel()
	r.endAttempt()
	if !r.call.body.asked() {
		r.releaseBody()
	}
	r.outcome.BodyAwaited = r.call.body.asked() && r.call.body.large()
	r.slot.Release(r.outcome)
}

func (r *localAttempt) request(ctx context.Context, address string) *http.Request {
	h := r.call.header.Clone()
	r.sentInfo = r.attemptInfo()
	r.gateway.dialect.SetAttemptHeaders(h, r.sentInfo)
	return newOutgoingRequest(httptrace.WithClientTrace(ctx, r.once.trace()), r.call, "http", address, h)
}

func (r *localAttempt) attemptInfo() AttemptInfo {
	return AttemptInfo{
		RequestID:    r.call.id,
		Attempt:      r.id,
		Service:      r.call.ref.Service,
		Organisation: r.call.org,
		Origin:       r.call.origin,
		Target:       r.target.Info(),
		Deadline:     r.call.deadline,
		Partition:    r.call.ref.Partition,
		Epoch:        r.dest.epoch,
	}
}

func setHeader(h http.Header, name, value string) { h[name] = []string{value} }

// newOutgoingRequest builds the request that carries a call to an address.
func newOutgoingRequest(ctx context.Context, c *call, scheme, address string, h http.Header) *http.Request {
	in := c.incoming
	u := &url.URL{
		Scheme:     scheme,
		Host:       address,
		RawQuery:   in.URL.RawQuery,
		ForceQuery: in.URL.ForceQuery,
	}
	routematch.Forward(u, in.URL)
	req := &http.Request{
		Method: in.Method,
		// net/http waits for "100 Continue" only in requests with a protocol version.
		ProtoMajor:    1,
		ProtoMinor:    1,
		URL:           u,
		Host:          in.Host,
		Header:        h,
		Body:          c.body.open(c.idempotent),
		ContentLength: c.body.length,
	}
	return req.WithContext(ctx)
}

// failure returns the error of an attempt that got no response.
func (r *localAttempt) failure(ctx context.Context, err error) *errkind.Error {
	sent, refusal := r.once.fence()
	if sent {
		return r.failureAfterSend(ctx, err)
	}
	if refusal != nil {
		return refusal
	}
	if ctx.Err() != nil {
		return errkind.New(errkind.DeadlineExceeded, "request ended before it was sent: %v", ctx.Err())
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		r.target.ReportConnectionRefused()
	}
	return unsentFailure(errkind.TargetUnreachable, "target "+string(r.dest.target), err)
}

func (r *localAttempt) failureAfterSend(ctx context.Context, err error) *errkind.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && r.call.body.partlyRead() {
		// The sender of the body is late, which is no failure of the target.
		return errkind.New(errkind.TargetTimeout, "the request body for target %s did not arrive in time", r.dest.target)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.outcome = gate.Outcome{Failed: true, TimedOutAfter: time.Since(r.began)}
		r.countOutcome(true)
		return errkind.New(errkind.TargetTimeout, "target %s did not respond in time", r.dest.target)
	}
	if ctx.Err() != nil {
		return errkind.New(errkind.Unknown, "attempt was cancelled while it ran")
	}
	if e := bodyError(err); e.Kind == errkind.TooLarge {
		// The target has received part of the body.
		e.NotRun = false
		return e
	}
	r.outcome = gate.Outcome{Failed: true}
	if !r.call.body.streamFailed.Load() {
		r.countOutcome(true)
	}
	return errkind.New(errkind.Unknown, "target %s: %v", r.dest.target, err)
}

// checkResponse checks the header of a response. Errors: CrossedAnswer, Unknown, and the target's refusal.
func (r *localAttempt) checkResponse(info api.Announcement, resp *http.Response) *errkind.Error {
	if !isFinalStatus(resp.StatusCode) {
		r.countOutcome(true)
		r.once.closeConn()
		return errkind.New(errkind.Unknown, "target %s sent the status %03d, with which no response ends", info.ID, resp.StatusCode)
	}
	parsed := r.gateway.dialect.ParseResponse(resp, r.sentInfo)
	if parsed.WrongAttempt {
		r.countOutcome(true)
		r.once.closeConn()
		return errkind.New(errkind.CrossedAnswer, "target %s sent a response that is not the one to this attempt", info.ID)
	}
	statement := r.gateway.dialect.ParseStatement(resp.Header)
	r.target.ReportStatement(statement.RateLimit, statement.Leaving)
	if statement.Leaving {
		r.gateway.departures.record(r.dest.target, time.Now())
	}
	if parsed.ColdRemaining >= 0 {
		r.target.ReportColdRemaining(parsed.ColdRemaining)
	}
	if parsed.Refusal != nil {
		r.once.recordRefusal()
		// A target that refuses with free slots is not overloaded: a lower limit would only refuse
		// more.
		r.outcome.Shed, r.outcome.Cold = parsed.Shed && !parsed.Load.HasFreeSlots(), parsed.Cold
		parsed.Refusal.Sent = true
		return parsed.Refusal
	}
	r.outcome.Latency = time.Since(r.began)
	return nil
}
