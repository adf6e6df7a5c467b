package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/egress"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/telemetry"
)

// fromThisHost reports whether a request comes from the host itself, so that its response does not cross the link.
func fromThisHost(r *http.Request) bool {
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil || from.Addr().IsLoopback() {
		return true
	}
	to, ok := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
	return ok && to.AddrPort().Addr().Unmap() == from.Addr().Unmap()
}

// sendBody sends the body of a response whose header has been written; a large one that crosses the link is paced. A
// writeErr means that the caller has disconnected or was cut off.
func (g *Gateway) sendBody(w http.ResponseWriter, c *call, a *response) (readErr, writeErr error) {
	length := a.resp.ContentLength
	if g.egress == nil {
		return copyBody(w, a.body, length < 0)
	}
	size := &sizeReader{Reader: a.body}
	a.body = size
	defer func() {
		if readErr == nil && writeErr == nil {
			g.observeSize(c, a, size.bytes)
		}
	}()
	if !c.offHost {
		return copyBody(w, a.body, length < 0)
	}
	if length >= 0 && length <= egress.LargeSize {
		g.egress.count(messageOverhead + length)
		return copyBody(w, a.body, false)
	}
	g.egress.count(messageOverhead)
	readErr, writeErr = g.egress.send(w, c, a)
	if errors.Is(writeErr, os.ErrDeadlineExceeded) {
		g.egress.logUnread(c)
	}
	return readErr, writeErr
}

// sizeReader counts the bytes of a response.
type sizeReader struct {
	io.Reader
	bytes int64
}

// Read implements io.Reader.
func (r *sizeReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.bytes += int64(n)
	return n, err
}

// observeSize learns the size of a complete response. Those of errors say nothing about the others of their route.
func (g *Gateway) observeSize(c *call, a *response, bytes int64) {
	if c.routeName != "" && a.resp.StatusCode < http.StatusMultipleChoices {
		g.sizes.Observe(c.ref.Service, c.routeName, bytes)
	}
}

// largeResponse reports whether the response to a call is expected to be large.
func (g *Gateway) largeResponse(c *call) bool {
	return g.egress != nil && c.routeName != "" && g.sizes.Large(c.ref.Service, c.routeName)
}

// reserveLink books the link of this host for the response to a call. release may be called more than once. Errors:
// Overloaded if the response would come too late.
func (g *Gateway) reserveLink(c *call, p destination, t LocalTarget) (release func(), e *errkind.Error) {
	now := time.Now()
	d := g.linkDemand(now, c, p, t)
	took, release, ok := g.egress.Reserve(d)
	if !ok {
		telemetry.CountEvent(eventLinkBusy, 1)
		t.CountRefusal(c.ref, c.key)
		return nil, errLinkBusy(now, took, d)
	}
	return release, nil
}

// linkDemand returns what the response to a call at a target of this host would ask of the link.
func (g *Gateway) linkDemand(now time.Time, c *call, p destination, t LocalTarget) egress.Demand {
	mean, _ := g.sizes.Expected(c.ref.Service, c.routeName)
	d := egress.Demand{Priority: c.priority, Bytes: mean, Processing: t.Gate().ExpectedLatency(), Latest: c.deadline}
	if c.objective.After(now) && !p.late {
		d.Latest = c.objective
	}
	return d
}

func errLinkBusy(now time.Time, took time.Duration, d egress.Demand) *errkind.Error {
	return errkind.New(errkind.Overloaded, "response would have left over the link after %v, but must within %v",
		took, d.Latest.Sub(now))
}

// usesLink reports whether the response to a call is expected to need the link of this host.
func (g *Gateway) usesLink(c *call) bool { return c.offHost && g.largeResponse(c) }

// dispatchReserved is dispatch for a call whose response may need the link of this host. It refuses one that is expected to
// be large and to leave too late.
func (g *Gateway) dispatchReserved(ctx context.Context, v *api.View, c *call, p destination, t LocalTarget, id string, fromHop bool) (
	*response, *errkind.Error) {
	if !g.usesLink(c) {
		return g.dispatch(ctx, v, c, p, t, id, fromHop)
	}
	// Another owner may have a link that is free.
	if err := checkGrant(v, c.ref, p.epoch, c.key); err != nil {
		return nil, errkind.From(err)
	}
	release, e := g.reserveLink(c, p, t)
	if e != nil {
		return nil, e
	}
	a, e := g.dispatch(ctx, v, c, p, t, id, fromHop)
	if e != nil {
		release()
		return nil, e
	}
	a.releaseLink = release
	a.onFinish(release)
	return a, nil
}

// lastTarget reports whether a call that is refused at its next target will not be tried at another one. A response
// that is late is then better than none.
func lastTarget(v *api.View, c *call, tried []api.TargetID) bool {
	return len(tried) >= maxFailovers || len(untried(v.Index.TargetsByService[c.service.Name], tried)) <= 1
}

// returnRefusedHedge gives an attempt back to a call whose second attempt was refused before its target saw it, as where
// the link of that target could not deliver the response in time.
func (r *race) returnRefusedHedge(got raceResult) {
	if !got.first && got.err.NotRun && !got.err.Sent {
		r.call.attemptsLeft++
	}
}
