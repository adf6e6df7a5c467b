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
	"github.com/zinniapier/zinniapier/telemetry"
)

// dispatch runs one attempt on a target of this node. fromHop says that the attempt came
// from another node, which may ask for its fate.
func (g *Gateway) dispatch(ctx context.Context, v *api.View, c *call, p place, t LocalTarget, id string, fromHop bool) (*answer, *errkind.Error) {
	if err := checkGrant(v, c.ref, p.epoch, c.key); err != nil {
		return nil, errkind.From(err)
	}
	began := time.Now()
	giveBack := func() {}
	if fromHop && c.body.large() {
		var err error
		if giveBack, err = g.bodies.await(ctx, c.body.length, c.claim(began), t.Gate().ExpectedLatency()); err != nil {
			return nil, errkind.From(err)
		}
	}
	slot, err := t.Gate().AcquireFor(ctx, c.claim(began))
	if err != nil {
		giveBack()
		t.CountRefusal(c.ref, c.key)
		return nil, errkind.From(err)
	}
	telemetry.Observe("gate", c.ref.Service, time.Since(began))
	ctx, leave, err := t.Begin(ctx, c.ref, p.epoch, c.key)
	if err != nil {
		slot.Release(gate.Outcome{})
		return nil, errkind.From(err)
	}
	r := &run{gateway: g, call: c, place: p, target: t, id: id, fromHop: fromHop, slot: slot, leave: leave}
	return r.do(ctx)
}

// checkGrant says whether this node holds its lease and the grant for the key by the view.
// The key counts since an override may have moved it to another partition. Errors:
// NoLease, WrongOwner, StaleEpoch.
func checkGrant(v *api.View, ref api.PartitionRef, epoch api.Epoch, key string) error {
	if !v.LeaseValid(time.Now()) {
		return errkind.New(errkind.NoLease, "session lease has expired")
	}
	if ref.Partition < 0 {
		return nil
	}
	owner := v.Owner(ref)
	if epoch < owner.Epoch {
		return errkind.New(errkind.StaleEpoch, "epoch %d, current %d", epoch, owner.Epoch)
	}
	if !owner.Serves() || owner.Session != v.Session || epoch != owner.Epoch {
		return errkind.New(errkind.WrongOwner, "partition %d of %s is not owned here", ref.Partition, ref.Service)
	}
	if s := v.Configuration.Services.Find(ref.Service); s == nil || v.Partition(s, key) != ref.Partition {
		return errkind.New(errkind.WrongOwner, "key is not in partition %d of %s", ref.Partition, ref.Service)
	}
	return nil
}

// run is one attempt at a local target that holds a slot.
type run struct {
	gateway *Gateway
	call    *call
	place   place
	target  LocalTarget
	id      string
	fromHop bool
	slot    *gate.Slot
	leave   func()

	shot    shot
	stamp   AttemptInfo // what the target was told
	cancel  context.CancelFunc
	began   time.Time // when the first byte was about to be sent
	outcome gate.Outcome
}

func (r *run) do(ctx context.Context) (*answer, *errkind.Error) {
	ctx, r.cancel = context.WithCancel(ctx)
	r.shot.check = r.beforeFirstByte
	info := r.target.Info()
	link := r.gateway.targetLinks.get(string(info.ID)+"@"+info.Address, info.MaxConnections)
	req := r.request(ctx, info.Address)
	timer := r.watchSilence(link)
	resp, err := link.roundTrip(req, r.call.body)
	timer.Stop()
	if err != nil {
		e := r.failure(ctx, err)
		if e.Kind == errkind.TargetTimeout {
			// Idle connections to the target may be as silent as this one.
			link.transport.CloseIdleConnections()
		}
		_ = req.Body.Close()
		r.end()
		return nil, e
	}
	a := &answer{resp: resp}
	a.onFinish(r.end)
	if e := r.checkAnswer(info, resp); e != nil {
		a.finish()
		return nil, e
	}
	if e := a.prefetch(r.call.in.Method); e != nil {
		return nil, e
	}
	return a, nil
}

// watchSilence drops the idle connections of the link when a reused one gives no answer for a
// while. The attempt itself goes on, since the target may be at work; but without this, each
// later request would wait for its deadline on another silent connection.
func (r *run) watchSilence(l *link) *time.Timer {
	return time.AfterFunc(r.gateway.silence, func() {
		if r.shot.reused.Load() {
			l.dropIdle(time.Now())
		}
	})
}

// beforeFirstByte is the last check: the lease and the grant, as they are now.
func (r *run) beforeFirstByte() error {
	if err := checkGrant(r.gateway.view(), r.call.ref, r.place.epoch, r.call.key); err != nil {
		return err
	}
	if r.fromHop {
		if err := r.gateway.started.Start(r.id); err != nil {
			return err
		}
	}
	r.call.token.settle()
	r.began = time.Now()
	return nil
}

func (r *run) end() {
	r.cancel()
	r.leave()
	r.slot.Release(r.outcome)
}

func (r *run) request(ctx context.Context, address string) *http.Request {
	h := r.call.header.Clone()
	r.stamp = r.newStamp()
	r.gateway.dialect.SetAttemptHeaders(h, r.stamp)
	return outgoing(httptrace.WithClientTrace(ctx, r.shot.trace()), r.call, "http", address, h)
}

func (r *run) newStamp() AttemptInfo {
	return AttemptInfo{
		RequestID:    r.call.id,
		Attempt:      r.id,
		Service:      r.call.ref.Service,
		Organisation: r.call.org,
		Origin:       r.call.origin,
		Target:       r.target.Info(),
		Deadline:     r.call.deadline,
		Partition:    r.call.ref.Partition,
		Epoch:        r.place.epoch,
	}
}

func setOnce(h http.Header, name, value string) { h[name] = []string{value} }

// outgoing builds the request that carries a call to an address.
func outgoing(ctx context.Context, c *call, scheme, address string, h http.Header) *http.Request {
	in := c.in
	u := &url.URL{
		Scheme:     scheme,
		Host:       address,
		Path:       in.URL.Path,
		RawPath:    in.URL.RawPath,
		RawQuery:   in.URL.RawQuery,
		ForceQuery: in.URL.ForceQuery,
	}
	req := &http.Request{
		Method: in.Method,
		// net/http waits for permission to send a body only in requests of a stated protocol.
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

// failure says what became of an attempt that got no answer.
func (r *run) failure(ctx context.Context, err error) *errkind.Error {
	fired, refusal := r.shot.bar()
	if fired {
		return r.failureAfterStart(ctx, err)
	}
	if refusal != nil {
		return refusal
	}
	if ctx.Err() != nil {
		return errkind.New(errkind.DeadlineExceeded, "ended before dispatch: %v", ctx.Err())
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		r.target.ReportConnectionRefused()
	}
	return errkind.New(errkind.TargetUnreachable, "target %s: %v", r.place.target, err)
}

func (r *run) failureAfterStart(ctx context.Context, err error) *errkind.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && r.call.body.stuck() {
		// The sender is late; that says nothing of the target.
		return errkind.New(errkind.TargetTimeout, "the body for target %s did not arrive in time", r.place.target)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.outcome = gate.Outcome{Failed: true, TimedOutAfter: time.Since(r.began)}
		return errkind.New(errkind.TargetTimeout, "target %s gave no answer in time", r.place.target)
	}
	if ctx.Err() != nil {
		return errkind.New(errkind.Unknown, "attempt was cancelled while it ran")
	}
	if e := bodyError(err); e.Kind == errkind.TooLarge {
		// The target has seen a part of the body.
		e.NotRun = false
		return e
	}
	r.outcome = gate.Outcome{Failed: true}
	return errkind.New(errkind.Unknown, "target %s: %v", r.place.target, err)
}

// checkAnswer checks the header of an answer. Errors: CrossedAnswer, ShortAnswer, Unknown,
// and what the target refused the attempt with.
func (r *run) checkAnswer(info api.Announcement, resp *http.Response) *errkind.Error {
	verdict := r.gateway.dialect.ParseResponse(resp, r.stamp)
	if verdict.WrongAttempt {
		r.shot.closeConn()
		return errkind.New(errkind.CrossedAnswer, "target %s answered another attempt", info.ID)
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		r.shot.closeConn()
		return errkind.New(errkind.Unknown, "target %s switched protocols", info.ID)
	}
	if verdict.ColdRemaining >= 0 {
		r.target.ReportColdRemaining(verdict.ColdRemaining)
	}
	if verdict.Refusal != nil {
		// A target that refuses with free slots is not overloaded: a lower limit would only refuse more.
		r.outcome.Shed, r.outcome.Cold = verdict.Shed && !verdict.Load.HasFreeSlots(), verdict.Cold
		verdict.Refusal.Sent = true
		return verdict.Refusal
	}
	r.outcome.Latency = time.Since(r.began)
	if !verifiable(r.call.in.Method, resp) {
		return errkind.New(errkind.ShortAnswer, "answer of target %s has neither a length nor chunks", info.ID)
	}
	return nil
}
