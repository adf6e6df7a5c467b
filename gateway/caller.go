package gateway

import (
	"context"
	"net/http"
	"strconv"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/hangup"
)

// CallerHandler returns the handler for callers' requests.
func (g *Gateway) CallerHandler() http.Handler {
	return hangup.Handler(http.HandlerFunc(g.serveCaller))
}

func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	if !g.begin() {
		g.refuse(w, r, nil, errkind.New(errkind.ShuttingDown, "node is shutting down"))
		return
	}
	defer g.end()
	v := g.view()
	w.Header().Set(api.HeaderMapVersion, strconv.FormatUint(v.MapVersion, 10))
	if g.isMapRequest(r) {
		g.serveMap(w, r, v)
		return
	}
	c, err := g.newCall(w, r, v)
	if err != nil {
		g.refuse(w, r, nil, errkind.From(err))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	if e := g.takeToken(ctx, c); e != nil {
		g.refuse(w, r, c, givenUp(ctx, e))
		return
	}
	defer c.body.done()
	if e := g.readLargerBody(w, c); e != nil {
		c.settleOrRefundToken(e.NotRun)
		g.refuse(w, r, c, givenUp(ctx, e))
		return
	}
	g.serveCall(ctx, w, c)
}

func (g *Gateway) serveCall(ctx context.Context, w http.ResponseWriter, c *call) {
	a, e := g.route(ctx, c)
	if e != nil {
		c.settleOrRefundToken(e.NotRun)
		g.refuse(w, c.incoming, c, givenUp(ctx, e))
		return
	}
	c.token.settle()
	g.requests.logAnswered(c, a.resp.StatusCode)
	g.writeResponse(w, c, a)
}

// givenUp returns the error with which a request ends: ShuttingDown instead of e for one that has not run and was given
// up because the process ends.
func givenUp(ctx context.Context, e *errkind.Error) *errkind.Error {
	if cause := context.Cause(ctx); e.NotRun && errkind.Of(cause) == errkind.ShuttingDown {
		return errkind.From(cause)
	}
	return e
}

// readLargerBody reads on where the body is not small, unless the process ends before the request would. Errors: TooLarge,
// BadRequest, DeadlineExceeded, ShuttingDown.
func (g *Gateway) readLargerBody(w http.ResponseWriter, c *call) *errkind.Error {
	if c.body.stream == nil {
		return nil
	}
	if e := g.checkLeave(c.deadline, g.latencies.get(c.service.Name).expected); e != nil {
		return e
	}
	err := c.readInTime(w, func() error { return c.body.readOn(c.incoming, &g.bodyMemory) })
	if err != nil {
		return errkind.From(err)
	}
	return nil
}

func (c *call) settleOrRefundToken(notRun bool) {
	if notRun {
		c.token.refund()
		return
	}
	c.token.settle()
}

func (c *call) needsToken() bool { return !c.open && c.limited }

// takeToken waits for a rate-limit token of the organisation. Requests on open routes and of
// organisations without a rate need none. Errors: RateLimited.
func (g *Gateway) takeToken(ctx context.Context, c *call) *errkind.Error {
	if !c.needsToken() {
		return nil
	}
	token, err := g.tokens.Take(ctx, c.org)
	if err != nil {
		return errkind.From(err)
	}
	c.token.token = token
	return nil
}
