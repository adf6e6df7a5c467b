package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/telemetry"
)

// slowOK responds after several probe intervals.
func slowOK(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * defaultProbeInterval)
	echoOK(w, r)
}

// newHopTo starts a target, its node b, and a node a whose requests to it take a hop.
func newHopTo(t *testing.T, f http.HandlerFunc) (target *httpTarget, a, b *testNode) {
	target = newTarget(t, f)
	a = newNode(t, "a", "", config.Traffic{})
	b = newNode(t, "b", target.addr(), config.Traffic{})
	connect(b, a, b)
	return target, a, b
}

// Guards against queries over connections of their own for each request that takes a while: the owner's node
// confirms the receipt on the connection of the hop.
func TestSlowHopNeedsNoFateQuery(t *testing.T) {
	is := is.New(t)
	target, a, _ := newHopTo(t, slowOK)
	before := telemetry.Events(eventFateQuery)
	for _, method := range []string{"GET", "POST"} {
		got := a.call(t, method, "/quotes/k", "")
		is.Equal(got.status, 200)
		is.Equal(got.body, "ok")
	}
	is.Equal(telemetry.Events(eventFateQuery), before)
	is.Equal(target.runs.Load(), int64(2))
}

// Guards against a query that repeats after the answer, and against none at all, when the confirmation of the
// receipt cannot be sent: a large body is announced, and its reading sends an interim response of its own.
func TestSlowHopWithoutReceiptIsQueriedOnce(t *testing.T) {
	is := is.New(t)
	_, a, _ := newHopTo(t, slowOK)
	before := telemetry.Events(eventFateQuery)
	got := a.call(t, "POST", "/quotes/k", string(make([]byte, 1<<20)))
	is.Equal(got.status, 200)
	is.Equal(telemetry.Events(eventFateQuery), before+1)
}

// Guards against a hop that waits until its deadline although the session of the owner's node has ended after
// the receipt.
func TestReceivedHopEndsWithTheSessionOfItsNode(t *testing.T) {
	is := is.New(t)
	hang := make(chan struct{})
	defer close(hang)
	_, a, b := newHopTo(t, func(http.ResponseWriter, *http.Request) { <-hang })
	time.AfterFunc(3*defaultProbeInterval, func() {
		b.fate.Close()
		a.change(func(v *api.View) { v.Peers = []api.Peer{a.peer} })
	})
	began := time.Now()
	got := a.call(t, "POST", "/quotes/k", "")
	is.Equal(got.notRun, "false")
	is.True(time.Since(began) < 3*defaultProbeInterval+time.Second)
}

// Guards against a body beyond its limit that changes headers while the confirmation is written: a concurrent
// change of the headers ends the process.
func TestBodyBeyondTheLimitLeavesTheHeadersAlone(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(hopBody(w, r, 4).open(true))
		is.True(err != nil)
		is.Equal(len(w.Header()), 0)
	}))
	defer server.Close()
	resp, err := http.Post(server.URL, "", strings.NewReader("too long"))
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, 200)
}
