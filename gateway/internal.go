package gateway

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// InternalHandler serves the hop from other nodes. It dispatches to targets of this node
// only, so a request makes at most one hop.
func (g *Gateway) InternalHandler() http.Handler { return http.HandlerFunc(g.serveHop) }

func (g *Gateway) serveHop(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(api.HeaderAttempt)
	if e := g.checkPeer(r, id); e != nil {
		g.refuseHop(w, e)
		return
	}
	setOnce(w.Header(), api.HeaderAttempt, id)
	if !g.begin() {
		g.refuseHop(w, errkind.New(errkind.ShuttingDown, "node is leaving"))
		return
	}
	defer g.end()
	g.started.Receive(id)
	defer g.started.Finish(id)
	g.runHop(w, r, id)
}

func (g *Gateway) runHop(w http.ResponseWriter, r *http.Request, id string) {
	v := g.view()
	c, p, err := g.acceptHop(w, r, v)
	if err != nil {
		g.refuseHop(w, errkind.From(err))
		return
	}
	t := g.targets.Lookup(p.target)
	if t == nil {
		g.refuseHop(w, errkind.New(errkind.WrongOwner, "target %s is not on this node", p.target))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	a, e := g.dispatch(ctx, g.awaitEpoch(ctx, v, c.ref, p.epoch), c, p, t, id, true)
	setOnce(w.Header(), api.HeaderExpected, milliseconds(t.Gate().ExpectedLatency()))
	setOnce(w.Header(), api.HeaderBodyWaitMs, milliseconds(g.bodies.wait(time.Now())))
	g.requests.attempt(c, p, id, v, e)
	if e != nil {
		g.refuseHop(w, e)
		return
	}
	g.deliver(w, c, a)
}

// epochWait bounds the wait for a grant that the first node has learned of earlier than this one.
// A node learns of it with its next heartbeat, after 100 ms at most by default.
const epochWait = 250 * time.Millisecond

// awaitEpoch returns a view that knows the epoch of the partition, or the latest one after
// epochWait. Refusals meanwhile would use up the attempts of the call, which then waits for
// another owner although this node is the owner.
func (g *Gateway) awaitEpoch(ctx context.Context, v *api.View, ref api.PartitionRef, epoch api.Epoch) *api.View {
	if ref.Partition < 0 {
		return v
	}
	limit := time.NewTimer(epochWait)
	defer limit.Stop()
	for v.Owner(ref).Epoch < epoch {
		changed := *g.changed.Load()
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

// checkPeer refuses what does not come from a node of the system.
func (g *Gateway) checkPeer(r *http.Request, id string) *errkind.Error {
	if g.tls != nil && (r.TLS == nil || len(r.TLS.VerifiedChains) == 0) {
		return errkind.New(errkind.UnknownMember, "no verified certificate")
	}
	if r.Header.Get(api.HeaderHop) == "" || id == "" {
		return errkind.New(errkind.UnknownMember, "not a hop of another node")
	}
	return nil
}

// acceptHop reads the internal headers of a hop. Errors: NoLease, BadRequest, WrongOwner.
func (g *Gateway) acceptHop(w http.ResponseWriter, r *http.Request, v *api.View) (*call, place, error) {
	if v.Configuration == nil || v.Index == nil {
		return nil, place{}, errkind.New(errkind.NoLease, "node has no configuration yet")
	}
	h := r.Header
	partition, err := strconv.Atoi(h.Get(api.HeaderPartition))
	if err != nil {
		return nil, place{}, errkind.New(errkind.BadRequest, "malformed partition")
	}
	epoch, err := strconv.ParseUint(h.Get(api.HeaderEpoch), 10, 64)
	if err != nil {
		return nil, place{}, errkind.New(errkind.BadRequest, "malformed epoch")
	}
	ms, err := strconv.ParseInt(h.Get(api.HeaderDeadlineMs), 10, 64)
	if err != nil || ms <= 0 || ms > longestDeadline.Milliseconds() {
		return nil, place{}, errkind.New(errkind.BadRequest, "malformed deadline")
	}
	key, err := url.QueryUnescape(h.Get(api.HeaderKey))
	if err != nil {
		return nil, place{}, errkind.New(errkind.BadRequest, "malformed key")
	}
	c := &call{
		in:         r,
		id:         g.requestID(r),
		header:     g.requestHeader(h),
		body:       hopBody(w, r, g.maxBody),
		idempotent: h.Get(api.HeaderIdempotent) == "true",
		org:        api.OrganisationID(h.Get(api.HeaderOrganisation)),
		key:        key,
		origin:     h.Get(api.HeaderOrigin),
		priority:   priorityOf(h),
		ref:        api.PartitionRef{Service: h.Get(api.HeaderService), Partition: partition},
		deadline:   time.Now().Add(time.Duration(ms) * time.Millisecond),
	}
	c.track.began = time.Now()
	if left, ok := readMilliseconds(h, api.HeaderObjectiveMs); ok {
		c.objective = c.track.began.Add(left)
	}
	if s := v.Configuration.Services.Find(c.ref.Service); s != nil && s.Ranged() && partition >= 0 {
		// The first node may not know yet, or know before this one, that the partition was divided.
		c.ref.Partition = v.Partition(s, key)
	}
	if org := v.Index.Organisations[c.org]; org != nil {
		c.weight = org.Weight
	}
	return c, place{target: api.TargetID(h.Get(api.HeaderTarget)), epoch: api.Epoch(epoch)}, checkService(v, c.ref)
}

// requestID returns the caller's id of a request that came over a hop, for logs.
func (g *Gateway) requestID(r *http.Request) string {
	envelope, err := g.dialect.ParseRequest(r)
	if err != nil {
		return ""
	}
	return envelope.ID
}

// priorityOf reads the priority that the first node found; a hop of an older node has none.
func priorityOf(h http.Header) int {
	n, err := strconv.Atoi(h.Get(api.HeaderPriority))
	if err != nil {
		return 0
	}
	return n
}

// checkService refuses a hop whose first node knows the service otherwise than this one:
// as undivided, it would reach the target without a grant.
func checkService(v *api.View, ref api.PartitionRef) error {
	s := v.Configuration.Services.Find(ref.Service)
	if s == nil || s.Divided() != (ref.Partition >= 0) {
		return errkind.New(errkind.WrongOwner, "service %s is not known in this form", ref.Service)
	}
	return nil
}

// hopBody passes the body through; a hop makes one attempt and needs no buffer.
func hopBody(w http.ResponseWriter, r *http.Request, limit int64) *body {
	if r.ContentLength == 0 {
		return &body{}
	}
	return &body{length: r.ContentLength, stream: http.MaxBytesReader(w, r.Body, limit), unblock: unblocker(w)}
}
