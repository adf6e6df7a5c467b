package gateway

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/errkind"
)

// Guards against callers that impersonate an organisation or a node, and against targets that
// receive an organisation key; locally and over a hop.
func TestInternalHeadersAndKeysAreStripped(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Zinnia-Not-Run", "true") // only the gateway may set this
		echoOK(w, r)
	})
	a := newNode(t, "a", "", config.Traffic{})
	b := newNode(t, "b", target.addr(), config.Traffic{})
	connect(b, a, b)
	for _, n := range []*testNode{a, b} {
		for _, path := range []string{"/quotes/k", "/open"} {
			got := n.call(t, "GET", path, "", api.HeaderOrganisation, "evil", api.HeaderHop, "1", api.HeaderAttempt, "mine",
				api.HeaderEpoch, "99", "Connection", "X-Private", "X-Private", "1", "X-Public", "2")
			is.Equal(got.status, 200)
			is.Equal(got.notRun, "")
			h := target.last.Load().Header
			is.Equal(h.Get("Authorization"), "")
			is.True(h.Get(api.HeaderOrganisation) != "evil")
			is.True(h.Get(api.HeaderAttempt) != "mine")
			is.True(h.Get(api.HeaderEpoch) != "99")
			is.Equal(h.Get(api.HeaderHop), "")
			is.Equal(h.Get("X-Private"), "")
			is.Equal(h.Get("X-Public"), "2")
		}
	}
	is.Equal(target.runs.Load(), int64(4))
}

// Guards against a withdrawn key that still works on an open connection.
func TestWithdrawnKeyStopsOnOpenConnection(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, echoOK)
	n := newNode(t, "n", target.addr(), config.Traffic{})
	connect(n, n)
	is.Equal(n.call(t, "GET", "/quotes/k", "").status, 200)
	n.change(func(v *api.View) {
		c := *v.Configuration
		c.Keys = nil
		v.Configuration = &c
	})
	got := n.call(t, "GET", "/quotes/k", "")
	is.Equal(got.kind, errkind.Unauthenticated)
	is.Equal(got.notRun, "true")
	is.Equal(target.runs.Load(), int64(1))
}

// Guards against requests that should be refused but are admitted, or are refused with the wrong
// kind.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, echoOK)
	n := newNode(t, "n", target.addr(), config.Traffic{MaxBodyBytes: 10})
	connect(n, n)
	for _, c := range []struct {
		method, path, body string
		header             []string
		want               errkind.Kind
	}{
		{"GET", "/quotesX/k", "", nil, errkind.NoRoute},
		{"GET", "/needy", "", nil, errkind.DependencyDown},
		{"GET", "/quotes/k", "", []string{"Authorization", "Bearer wrong"}, errkind.Unauthenticated},
		{"GET", "/quotes/", "", nil, errkind.BadRequest},
		{"GET", "/open/%2e%2e/quotes/k", "", nil, errkind.BadRequest},
		{"GET", "/open/..%2fquotes/k", "", nil, errkind.BadRequest},
		{"GET", "/orders", "", []string{api.HeaderDeadlineMs, "-5"}, errkind.BadRequest},
		{"POST", "/orders", "more than ten bytes", nil, errkind.TooLarge},
	} {
		got := n.call(t, c.method, c.path, c.body, c.header...)
		is.Equal(got.kind, c.want)
		is.Equal(got.notRun, "true")
	}
	is.Equal(target.runs.Load(), int64(0))
	is.Equal(n.tokens.settled.Load(), int64(0))
}

// Guards against a caller that raises its deadline, and against a lower deadline that is ignored.
func TestDeadlineIsOnlyLowered(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // net/http detects a closed connection only then
		<-r.Context().Done()
	})
	n := newNode(t, "n", target.addr(), config.Traffic{})
	connect(n, n)
	begin := time.Now()
	got := n.call(t, "POST", "/quotes/k", "", api.HeaderDeadlineMs, "100")
	is.Equal(got.kind, errkind.TargetTimeout)
	is.Equal(got.notRun, "false")
	is.True(time.Since(begin) < time.Second)
	c := &call{incoming: httptest.NewRequest("GET", "/", nil)}
	c.incoming.Header.Set(api.HeaderDeadlineMs, "9223372036854775807")
	c.incoming.Header.Set(api.HeaderAttemptsLeft, "100")
	info, err := defaultDialect{}.ParseRequest(c.incoming)
	is.NoErr(err)
	c.setLimits(info, time.Second, 3)
	is.True(time.Until(c.deadline) <= time.Second)
	is.Equal(c.attemptsLeft, 3)
}

// Guards against hops accepted from callers that are not nodes, and against second hops.
func TestInternalListenerServesOnlyNodesAndLocalTargets(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, echoOK)
	a := newNode(t, "a", "", config.Traffic{})
	b := newNode(t, "b", target.addr(), config.Traffic{})
	connect(b, a, b)
	send := func(n *testNode, header ...string) errkind.Kind {
		r := httptest.NewRequest("GET", "/quotes/k", nil)
		for i := 0; i < len(header); i += 2 {
			r.Header.Set(header[i], header[i+1])
		}
		w := httptest.NewRecorder()
		n.InternalHandler().ServeHTTP(w, r)
		return errkind.Kind(w.Header().Get(errkind.HeaderKind))
	}
	hop := func(epoch api.Epoch, partition int) []string {
		d := api.Hop{Service: "quotes", Partition: partition, Epoch: epoch, Target: "t-b", Key: "k", DeadlineMs: 500, ObjectiveMs: -1}
		return []string{api.HeaderHop, d.String(), api.HeaderAttempt, api.NewID()}
	}
	own := api.PartitionOf("k", 4)
	other := (own + 1) % 4
	is.Equal(send(b), errkind.UnknownMember)
	is.Equal(send(b, api.HeaderHop, "1", api.HeaderAttempt, api.NewID()), errkind.BadRequest)
	is.Equal(send(b, hop(6, own)...), errkind.StaleEpoch)
	is.Equal(send(b, hop(8, own)...), errkind.WrongOwner)
	is.Equal(send(b, hop(7, other)...), errkind.WrongOwner)
	is.Equal(send(b, hop(0, -1)...), errkind.WrongOwner)  // the service is partitioned, so a grant is required
	is.Equal(send(a, hop(7, own)...), errkind.WrongOwner) // no second hop
	is.Equal(target.runs.Load(), int64(0))
	is.Equal(send(b, hop(7, own)...), errkind.Kind(""))
	b.Gateway.tls = &tls.Config{}
	is.Equal(send(b, hop(7, own)...), errkind.UnknownMember) // no certificate
}

// Guards against a request that reaches the target although the lease expires while it waits at the
// gate, or between the check by LocalTarget.Begin and the first byte.
func TestLeaseLapseWhileQueuedRunsNothing(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, echoOK)
	n := newNode(t, "n", target.addr(), config.Traffic{})
	connect(n, n)
	n.local.onBegin = func() { n.change(expire) }
	got := n.call(t, "POST", "/quotes/k", "x")
	is.Equal(got.kind, errkind.NoLease)
	is.Equal(got.notRun, "true")
	is.Equal(target.runs.Load(), int64(0))
	is.Equal(n.tokens.refunded.Load(), int64(1))
	is.Equal(n.tokens.settled.Load(), int64(0))
}

// Guards against refusals during a move: a request waits for the next owner.
func TestCallWaitsForAnOwner(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, echoOK)
	a := newNode(t, "a", "", config.Traffic{})
	b := newNode(t, "b", target.addr(), config.Traffic{})
	connect(nil, a, b)
	got := a.call(t, "POST", "/quotes/k", "x", api.HeaderDeadlineMs, "50")
	is.Equal(got.kind, errkind.NoOwner)
	is.Equal(got.notRun, "true")
	time.AfterFunc(100*time.Millisecond, func() { connect(b, a, b) })
	is.Equal(a.call(t, "POST", "/quotes/k", "x").body, "okx")
}

// Guards against a shutdown that aborts a request in flight or admits a new one.
func TestShutdownWaitsForRunningRequests(t *testing.T) {
	is := is.New(t)
	running := make(chan struct{})
	target := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		close(running)
		time.Sleep(100 * time.Millisecond)
		echoOK(w, r)
	})
	n := newNode(t, "n", target.addr(), config.Traffic{})
	connect(n, n)
	done := make(chan reply, 1)
	go func() { done <- n.call(t, "POST", "/quotes/k", "x") }()
	<-running
	finished := make(chan error, 1)
	go func() { finished <- n.Shutdown(context.Background()) }()
	for !n.closing.Load() {
		time.Sleep(time.Millisecond)
	}
	is.Equal(n.call(t, "POST", "/quotes/k", "").kind, errkind.ShuttingDown)
	is.NoErr(<-finished)
	is.Equal(n.Running(), int64(0))
	is.Equal((<-done).body, "okx")
}
