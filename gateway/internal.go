package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/hangup"
)

// InternalHandler returns the handler for hops from other nodes. It dispatches only to targets of
// this node, so a request makes at most one hop.
func (g *Gateway) InternalHandler() http.Handler { return hangup.Handler(http.HandlerFunc(g.serveHop)) }

func (g *Gateway) serveHop(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(api.HeaderAttempt)
	if e := g.checkPeer(r, id); e != nil {
		g.refuseHop(w, e)
		return
	}
	setHeader(w.Header(), api.HeaderAttempt, id)
	if !g.begin() {
		g.refuseHop(w, errkind.New(errkind.ShuttingDown, "node is shutting down"))
		return
	}
	defer g.end()
	g.attemptTable.Receive(id)
	defer g.attemptTable.Finish(id)
	g.runHop(w, r, id)
}

func (g *Gateway) runHop(w http.ResponseWriter, r *http.Request, id string) {
	v := g.view()
	c, p, err := g.newHopCall(w, r, v)
	if err != nil {
		g.refuseHop(w, errkind.From(err))
		return
	}
	t := g.targets.Lookup(p.target)
	if t == nil {
		g.refuseHop(w, errkind.New(errkind.WrongOwner, "target %s is not on this node", p.target))
		return
	}
	if e := g.checkLeave(c.deadline, t.Gate().ExpectedLatency); e != nil {
		g.refuseHop(w, e)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	stopReceipt := startReceipt(w, r, time.Duration(receiptShare*float64(g.probeInterval)))
	a, e := g.dispatchReserved(ctx, g.awaitEpoch(ctx, v, c.ref, p.epoch), c, p, t, id, true)
	stopReceipt()
	setHeader(w.Header(), api.HeaderExpected, formatMilliseconds(t.Gate().ExpectedLatency()))
	setHeader(w.Header(), api.HeaderBodyWaitMs, formatMilliseconds(g.bodies.wait(time.Now())))
	g.egress.reportWait(w.Header())
	g.requests.logAttempt(c, p, id, v, e)
	if e != nil {
		g.refuseHop(w, givenUp(ctx, e))
		return
	}
	g.writeResponse(w, c, a)
}

// maxEpochWait limits the wait for a grant that the first node received earlier than this one. A
// node receives it with its next heartbeat, after 100 ms at most by default.
const maxEpochWait = 250 * time.Millisecond

// awaitEpoch returns a view that has the epoch of the partition, or the latest one after
// maxEpochWait. Refusing the attempt instead would use up the attempts of the call, which then
// waits for another owner although this node is the owner.
func (g *Gateway) awaitEpoch(ctx context.Context, v *api.View, ref api.PartitionRef, epoch api.Epoch) *api.View {
	if ref.Partition < 0 {
		return v
	}
	limit := time.NewTimer(maxEpochWait)
	defer limit.Stop()
	for v.Owner(ref).Epoch < epoch {
		changed := *g.viewChanged.Load()
		if v = g.view(); v.Owner(ref).Epoch >= epoch {
			break
		}
		select {
		case <-changed:
		case <-limit.C:
			return g.view()
		case <-ctx.Done():
			return v
		}
	}
	return v
}

// checkPeer refuses a request that does not come from a node of the system. Errors: UnknownMember.
func (g *Gateway) checkPeer(r *http.Request, id string) *errkind.Error {
	if g.tls != nil && (r.TLS == nil || len(r.TLS.VerifiedChains) == 0) {
		return errkind.New(errkind.UnknownMember, "no verified client certificate")
	}
	if r.Header.Get(api.HeaderHop) == "" || id == "" {
		return errkind.New(errkind.UnknownMember, "not a hop from another node")
	}
	return nil
}

// newHopCall reads the description of a hop. Errors: NoLease, BadRequest, WrongOwner.
func (g *Gateway) newHopCall(w http.ResponseWriter, r *http.Request, v *api.View) (*call, destination, error) {
	if v.Configuration == nil || v.Index == nil {
		return nil, destination{}, errNoConfiguration()
	}
	d, err := api.ParseHop(r.Header.Get(api.HeaderHop))
	if err != nil {
		return nil, destination{}, errkind.New(errkind.BadRequest, "%v", err)
	}
	if d.DeadlineMs <= 0 || d.DeadlineMs > maxDeadline.Milliseconds() {
		return nil, destination{}, errkind.New(errkind.BadRequest, "malformed deadline")
	}
	c := &call{
		incoming:   r,
		id:         g.requestID(r),
		header:     g.requestHeader(r.Header),
		body:       hopBody(w, r, g.maxBody),
		idempotent: d.Idempotent,
		org:        d.Organisation,
		key:        d.Key,
		origin:     d.Origin,
		routeName:  d.Route,
		priority:   d.Priority,
		ref:        api.PartitionRef{Service: d.Service, Partition: d.Partition},
		deadline:   time.Now().Add(time.Duration(d.DeadlineMs) * time.Millisecond),
		offHost:    true,
	}
	c.history.began = time.Now()
	if d.ObjectiveMs >= 0 {
		c.objective = c.history.began.Add(time.Duration(d.ObjectiveMs) * time.Millisecond)
	}
	if s := v.Configuration.Services.Find(c.ref.Service); s != nil && s.Ranged() && d.Partition >= 0 {
		// The first node may see the split of a range later or earlier than this one.
		c.ref.Partition = v.Partition(s, d.Key)
	}
	if org := v.Index.Organisations[c.org]; org != nil {
		c.weight = org.Weight
	}
	return c, destination{target: d.Target, epoch: d.Epoch, late: d.Late}, checkService(v, c.ref)
}

// requestID returns the caller's ID of the request, for logs.
func (g *Gateway) requestID(r *http.Request) string {
	info, err := g.dialect.ParseRequest(r)
	if err != nil {
		return ""
	}
	return info.ID
}

// checkService refuses a hop if the two nodes disagree on whether the service is partitioned: as
// not partitioned, the request would reach the target without a grant. Errors: WrongOwner.
func checkService(v *api.View, ref api.PartitionRef) error {
	s := v.Configuration.Services.Find(ref.Service)
	if s == nil || s.Divided() != (ref.Partition >= 0) {
		return errkind.New(errkind.WrongOwner, "service %s is unknown or partitioned differently on this node", ref.Service)
	}
	return nil
}

// hopBody streams the body; a hop makes one attempt and needs no buffer. A body beyond the limit does not change
// the headers of the response, which a receipt may be sending.
func hopBody(w http.ResponseWriter, r *http.Request, limit int64) *body {
	if r.ContentLength == 0 {
		return &body{}
	}
	return &body{length: r.ContentLength, stream: http.MaxBytesReader(nil, r.Body, limit), unblock: readUnblocker(w)}
}
