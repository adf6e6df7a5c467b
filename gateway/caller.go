package gateway

import (
	"context"
	"net/http"
	"strconv"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// CallerHandler serves callers.
func (g *Gateway) CallerHandler() http.Handler { return http.HandlerFunc(g.serveCaller) }

func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	if !g.begin() {
		g.refuse(w, r, nil, errkind.New(errkind.ShuttingDown, "node is leaving"))
		return
	}
	defer g.end()
	v := g.view()
	w.Header().Set(api.HeaderMapVersion, strconv.FormatUint(v.MapVersion, 10))
	if r.URL.Path == api.PathMap {
		g.serveMap(w, r, v)
		return
	}
	c, err := g.accept(w, r, v)
	if err != nil {
		g.refuse(w, r, nil, errkind.From(err))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	if e := g.takeToken(ctx, c); e != nil {
		g.refuse(w, r, c, e)
		return
	}
	g.answerCall(ctx, w, c)
}

func (g *Gateway) answerCall(ctx context.Context, w http.ResponseWriter, c *call) {
	a, e := g.route(ctx, c)
	if e != nil {
		c.endToken(e.NotRun)
		g.refuse(w, c.in, c, e)
		return
	}
	c.token.settle()
	g.requests.done(c, a.resp.StatusCode)
	g.deliver(w, c, a)
}

func (c *call) endToken(notRun bool) {
	if notRun {
		c.token.refund()
		return
	}
	c.token.settle()
}

// takeToken waits for a token of the organisation. Requests of open routes need none.
func (g *Gateway) takeToken(ctx context.Context, c *call) *errkind.Error {
	if c.open || !c.limited {
		return nil
	}
	token, err := g.tokens.Take(ctx, c.org)
	if err != nil {
		return errkind.From(err)
	}
	c.token.token = token
	return nil
}
