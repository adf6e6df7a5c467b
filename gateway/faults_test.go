package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/errkind"
)

// Guards against a second run of a request whose connection to the target breaks, and against a
// false "not run", at each stage; locally and over a hop.
func TestBrokenTargetConnectionRunsAtMostOnce(t *testing.T) {
	stages := map[string]func(conn net.Conn, in *bufio.Reader){
		"before the headers have been read": func(net.Conn, *bufio.Reader) {},
		"in the middle of the request": func(_ net.Conn, in *bufio.Reader) {
			readHead(in)
			_, _ = in.ReadByte()
		},
		"after it ran": func(_ net.Conn, in *bufio.Reader) {
			readHead(in)
			_, _ = io.CopyN(io.Discard, in, 100<<10)
		},
		"in the middle of the response header": func(conn net.Conn, in *bufio.Reader) {
			readHead(in)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-")
		},
		"in the middle of the response": func(conn net.Conn, in *bufio.Reader) {
			readHead(in)
			_, _ = io.CopyN(io.Discard, in, 100<<10)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
		},
	}
	for name, stage := range stages {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target := newRawTarget(t, stage)
			a := newNode(t, "a", "", config.Traffic{})
			b := newNode(t, "b", target.Addr().String(), config.Traffic{})
			connect(b, a, b)
			for i, n := range []*testNode{b, a} {
				for j, path := range []string{"/quotes/k", "/orders"} {
					got := n.call(t, "POST", path, strings.Repeat("x", 100<<10))
					is.True(got.kind == errkind.Unknown || got.kind == errkind.ShortAnswer)
					is.Equal(got.notRun, "false")
					is.Equal(target.runs.Load(), int64(2*i+j+1))
				}
			}
		})
	}
}

// Guards against "unknown" for a request that certainly did not reach its target.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	is := is.New(t)
	gone := newRawTarget(t, nil)
	_ = gone.Close()
	n := newNode(t, "n", gone.Addr().String(), config.Traffic{})
	connect(n, n)
	got := n.call(t, "POST", "/quotes/k", "x", api.HeaderDeadlineMs, "300")
	is.Equal(got.kind, errkind.TargetUnreachable)
	is.Equal(got.notRun, "true")
	is.Equal(n.tokens.refunded.Load(), int64(1))
}

// dropResponse forwards the request and closes the connection at the first byte of the response.
func dropResponse(from, to net.Conn) {
	go func() { _, _ = io.Copy(to, from) }()
	_, _ = to.Read(make([]byte, 1))
}

// Guards against a wrong outcome after a lost hop: a request that arrived and started must not run
// again, and one that did not arrive is routed again and runs once.
func TestLostHopIsResolvedByFate(t *testing.T) {
	for name, c := range map[string]struct {
		lose func(from, to net.Conn)
		kind errkind.Kind
	}{
		"after the start":  {dropResponse, errkind.Unknown},
		"before the start": {func(from, _ net.Conn) { _, _ = from.Read(make([]byte, 1)) }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target := newTarget(t, echoOK)
			a := newNode(t, "a", "", config.Traffic{})
			b := newNode(t, "b", target.addr(), config.Traffic{})
			link := newRelay(t, b.peer.InternalAddr, func(n int64, from, to net.Conn) {
				if n == 0 {
					c.lose(from, to)
					return
				}
				pipe(from, to)
			})
			b.peer.InternalAddr = link.Addr().String()
			connect(b, a, b)
			got := a.call(t, "POST", "/quotes/k", "x")
			is.Equal(got.kind, c.kind)
			is.Equal(got.notRun == "false", c.kind != "")
			is.Equal(target.runs.Load(), int64(1))
		})
	}
}

// Guards against a request that runs twice because its owner's node was restarted: the new process
// does not know which attempts the previous one started, and must not report them as not started.
func TestAttemptsBeforeARestartCountAsStarted(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, echoOK)
	a := newNode(t, "a", "", config.Traffic{})
	b := newNode(t, "b", target.addr(), config.Traffic{})
	restarted := newNode(t, "restarted", "", config.Traffic{})
	link := newRelay(t, b.peer.InternalAddr, func(n int64, from, to net.Conn) {
		if n == 0 {
			dropResponse(from, to)
			return
		}
		pipe(from, to)
	})
	b.peer.InternalAddr = link.Addr().String()
	b.peer.FateAddr = restarted.peer.FateAddr
	connect(b, a, b, restarted)
	got := a.call(t, "POST", "/quotes/k", "x")
	is.Equal(got.kind, errkind.Unknown)
	is.Equal(got.notRun, "false")
	is.Equal(target.runs.Load(), int64(1))
}

// Guards against requests that are cancelled while they run because the first node still knows the
// owner's node by the session from before its restart, although the current process has the
// request.
func TestAttemptUnderAPreviousSessionCompletes(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(3 * defaultProbeInterval)
		echoOK(w, r)
	})
	a := newNode(t, "a", "", config.Traffic{})
	b := newNode(t, "b", target.addr(), config.Traffic{})
	connect(nil, a, b)
	a.change(func(v *api.View) {
		v.Peers = slices.Clone(v.Peers)
		for i := range v.Peers {
			if v.Peers[i].Name == "b" {
				v.Peers[i].Session = "s-former"
			}
		}
	})
	is.Equal(a.call(t, "POST", "/orders/k", "x").status, http.StatusOK)
	is.Equal(target.runs.Load(), int64(1))
}

// Guards against a fenced attempt whose request arrives late and still runs.
func TestFencedAttemptNeverStarts(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, echoOK)
	b := newNode(t, "b", target.addr(), config.Traffic{})
	connect(b, b)
	var fate api.FateReply
	is.NoErr(b.Fate(api.FateRequest{Attempt: "late", Session: b.peer.Session}, &fate))
	is.Equal(fate.Started, false)
	send := func(id string) *http.Response {
		req, err := http.NewRequest("POST", b.hops.URL+"/quotes/k", nil)
		is.NoErr(err)
		req.Header.Set(api.HeaderAttempt, id)
		req.Header.Set(api.HeaderHop, api.Hop{
			Service: "quotes", Partition: api.PartitionOf("k", 4), Epoch: 7, Target: "t-b", Key: "k", DeadlineMs: 900, ObjectiveMs: -1,
		}.String())
		resp, err := http.DefaultTransport.RoundTrip(req)
		is.NoErr(err)
		resp.Body.Close()
		return resp
	}
	is.Equal(send("late").Header.Get(errkind.HeaderNotRun), "true")
	is.Equal(target.runs.Load(), int64(0))
	is.Equal(send("other").StatusCode, 200)
	is.NoErr(b.Fate(api.FateRequest{Attempt: "other", Session: b.peer.Session}, &fate))
	is.Equal(fate.Started, true)
}

// Guards against a truncated response that looks complete, small and large, with a length and with
// chunks; locally and over a hop.
func TestTruncatedResponsesNeverLookComplete(t *testing.T) {
	big := strings.Repeat("x", 100<<10)
	for name, text := range map[string]string{
		"small length": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
		"large length": "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + big,
		"chunks":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n19000\r\n" + big + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target := newRawTarget(t, func(conn net.Conn, in *bufio.Reader) {
				readHead(in)
				_, _ = io.WriteString(conn, text)
			})
			a := newNode(t, "a", "", config.Traffic{})
			b := newNode(t, "b", target.Addr().String(), config.Traffic{})
			connect(b, a, b)
			for _, n := range []*testNode{a, b} {
				got := n.call(t, "GET", "/quotes/k", "")
				is.True(got.err != nil || got.kind == errkind.ShortAnswer)
				is.Equal(got.notRun == "true", false)
			}
		})
	}
}

// Guards against a response that is truncated on the hop and looks complete.
func TestResponseTruncatedOnTheHop(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 200<<10)) })
	a := newNode(t, "a", "", config.Traffic{})
	b := newNode(t, "b", target.addr(), config.Traffic{})
	link := newRelay(t, b.peer.InternalAddr, func(_ int64, from, to net.Conn) {
		go func() { _, _ = io.Copy(to, from) }()
		_, _ = io.CopyN(from, to, 50<<10)
	})
	b.peer.InternalAddr = link.Addr().String()
	connect(b, a, b)
	is.True(a.call(t, "GET", "/quotes/k", "").err != nil)
}

// Guards against the response to another attempt, from a target and from a node, and against reuse
// of the connection that it came over.
func TestResponsesToOtherAttemptsAreRefused(t *testing.T) {
	is := is.New(t)
	target := newRawTarget(t, func(conn net.Conn, in *bufio.Reader) {
		for {
			readHead(in)
			if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nZinnia-Attempt: other\r\n\r\n"); err != nil {
				return
			}
			if _, err := in.ReadString('\n'); err != nil {
				return
			}
		}
	})
	a := newNode(t, "a", "", config.Traffic{})
	b := newNode(t, "b", target.Addr().String(), config.Traffic{})
	b.local.info.EchoesAttempt = true
	connect(b, a, b)
	for range 3 {
		is.Equal(b.call(t, "POST", "/quotes/k", "").kind, errkind.CrossedAnswer)
	}
	is.Equal(target.runs.Load(), int64(3)) // a new connection each
	b.peer.InternalAddr = target.Addr().String()
	connect(b, a, b)
	got := a.call(t, "POST", "/quotes/k", "")
	is.Equal(got.kind, errkind.CrossedAnswer)
	is.Equal(got.notRun, "false")
}

// Guards against waiting until the deadline on a connection that has stopped responding while new
// ones work.
func TestUnresponsiveHopConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, echoOK)
	a := newNode(t, "a", "", config.Traffic{})
	b := newNode(t, "b", target.addr(), config.Traffic{})
	silent := make(chan struct{})
	link := newRelay(t, b.peer.InternalAddr, func(n int64, from, to net.Conn) {
		if n > 0 {
			pipe(from, to)
			return
		}
		go func() { _, _ = io.Copy(from, to) }()
		buffer := make([]byte, 4096)
		read, _ := from.Read(buffer)
		_, _ = to.Write(buffer[:read])
		<-silent // accepts bytes into its buffers and forwards nothing
	})
	defer close(silent)
	b.peer.InternalAddr = link.Addr().String()
	connect(b, a, b)
	is.Equal(a.call(t, "GET", "/quotes/k", "").status, 200)
	begin := time.Now()
	is.Equal(a.call(t, "POST", "/quotes/k", "x").body, "okx")
	is.True(time.Since(begin) < time.Second)
	is.Equal(target.runs.Load(), int64(2))
}

// Guards against a retry of a non-idempotent request that the target itself refused.
func TestShedByTargetIsRetriedOnlyWhenIdempotent(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(api.HeaderShed, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	n := newNode(t, "n", target.addr(), config.Traffic{})
	connect(n, n)
	got := n.call(t, "POST", "/orders", "x")
	is.Equal(got.kind, errkind.Overloaded)
	is.Equal(got.notRun, "false")
	is.Equal(target.runs.Load(), int64(1))
	n.call(t, "GET", "/orders", "")
	is.Equal(target.runs.Load(), int64(4)) // three attempts
}

// Guards against hedges that exceed their budget, and against no hedges at all.
func TestHedgesStayWithinTheirBudget(t *testing.T) {
	is := is.New(t)
	count := 0
	slow := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		echoOK(w, r)
	}
	ta, tb := newTarget(t, echoOK), newTarget(t, slow)
	share := 0.05
	a := newNode(t, "a", ta.addr(), config.Traffic{HedgeShare: &share})
	b := newNode(t, "b", tb.addr(), config.Traffic{})
	connect(a, a, b)
	for range minPercentileSamples {
		a.latencies.get("orders").add(time.Millisecond) // so that each slow response causes a hedge
	}
	a.now.Load().Configuration.Services.Services[1].TargetChoice = "random"
	const requests = 400
	for range requests {
		if a.call(t, "GET", "/orders", "").status == 200 {
			count++
		}
		a.latencies.get("orders").p95.Store(int64(time.Millisecond))
	}
	is.Equal(count, requests)
	hedges := ta.runs.Load() + tb.runs.Load() - requests
	t.Logf("%d hedges for %d requests", hedges, requests)
	is.True(hedges > 10)
	is.True(hedges <= initialBudget/budgetUnit+requests*5/100)
}
