package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/gate"
)

// leftLimit is how long after the close of its connection a request may still be under way.
const leftLimit = 500 * time.Millisecond

// leaver is a caller that closes its connection while its request is under way.
type leaver struct{ net.Conn }

// sendAndStay sends a request with a body of the given size, or as many of its bytes as are taken, and leaves the
// connection open. The body has a length, is chunked, or is held back until it is asked for.
func sendAndStay(t *testing.T, n *testNode, path string, size int, form string) *leaver {
	t.Helper()
	conn, err := net.Dial("tcp", n.peer.CallerAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	framing, body := fmt.Sprintf("Content-Length: %d", size), strings.Repeat("x", size)
	switch form {
	case "chunked":
		framing, body = "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, body)
	case "held":
		framing, body = framing+"\r\nExpect: 100-continue", ""
	}
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n%s", path, orgKey, framing, body)
	go func() { _, _ = io.WriteString(conn, text) }()
	time.Sleep(50 * time.Millisecond)
	return &leaver{conn}
}

// leave closes the connection, or resets it.
func (l *leaver) leave(reset bool) {
	if reset {
		_ = l.Conn.(*net.TCPConn).SetLinger(0)
	}
	_ = l.Close()
}

// awaitEnd fails the test if a request is under way at a node once leftLimit has passed.
func awaitEnd(t *testing.T, nodes ...*testNode) {
	t.Helper()
	left := time.Now()
	for _, n := range nodes {
		for n.Running() > 0 {
			if time.Since(left) > leftLimit {
				t.Fatalf("node %s has %d requests under way %v after their callers have left", n.peer.Name, n.Running(), leftLimit)
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// newLeftNodes returns the node of a target and the node that callers use: the same one, or another one for a hop.
func newLeftNodes(t *testing.T, target string, viaHop bool, traffic config.Traffic) (owner, entry *testNode, all []*testNode) {
	owner = newNode(t, "a", target, traffic)
	if !viaHop {
		connect(owner, owner)
		return owner, owner, []*testNode{owner}
	}
	entry = newNode(t, "b", "", traffic)
	connect(owner, owner, entry)
	return owner, entry, []*testNode{owner, entry}
}

// Guards against a request that keeps its place in a queue, and then reaches its target, because the close of its caller
// stands behind a body that nothing reads. 30,000 bytes are asked for by 100-continue over a hop, 80,000 by the first node
// where their caller holds them back.
func TestWaitWithAnUnreadBodyEndsWithItsCaller(t *testing.T) {
	withoutOwner := func(v *api.View) {
		v.Assignments = ownedBy(nil, 0)
	}
	waits := map[string]struct {
		path    string
		prepare func(t *testing.T, owner, entry *testNode)
	}{
		"slot":    {"/quotes/k", func(t *testing.T, owner, _ *testNode) { fillGate(t, owner) }},
		"any":     {"/orders/k", func(t *testing.T, owner, _ *testNode) { fillGate(t, owner) }},
		"owner":   {"/quotes/k", func(_ *testing.T, _, entry *testNode) { entry.change(withoutOwner) }},
		"token":   {"/quotes/k", func(_ *testing.T, _, entry *testNode) { entry.tokens.none = true }},
		"attempt": {"/quotes/k", func(_ *testing.T, owner, _ *testNode) { owner.local.info.Address = "127.0.0.1:1" }},
		"grant": {"/quotes/k", func(_ *testing.T, owner, entry *testNode) {
			entry.change(func(v *api.View) { v.Assignments = ownedBy(owner, 9) })
		}},
		"link": {"/orders/k", func(_ *testing.T, owner, _ *testNode) {
			owner.bodies.rate = 1e6
			owner.bodies.freeAt = time.Now().Add(1500 * time.Millisecond)
		}},
	}
	for name, c := range waits {
		for _, viaHop := range []bool{false, true} {
			for _, size := range []int{0, 1, 1000, 30_000, 80_000} {
				if name == "link" && (!viaHop || size < largeBodySize) || name == "grant" && !viaHop {
					continue // only hops wait for the link, with large bodies, or for a grant that the first node has seen
				}
				for _, form := range []string{"length", "chunked", "held"} {
					if form == "held" && size <= maxSmallBody {
						continue
					}
					t.Run(fmt.Sprintf("%s/hop=%t/%d/%s", name, viaHop, size, form), func(t *testing.T) {
						t.Parallel()
						is := is.New(t)
						target := newTarget(t, echoOK)
						owner, entry, nodes := newLeftNodes(t, target.addr(), viaHop, config.Traffic{})
						c.prepare(t, owner, entry)
						l := sendAndStay(t, entry, c.path, size, form)
						is.Equal(entry.Running(), int64(1))
						l.leave(size%3 == 0)
						awaitEnd(t, nodes...)
						is.Equal(owner.local.gate.Snapshot().Queued, 0)
						is.Equal(target.runs.Load(), int64(0))
					})
				}
			}
		}
	}
}

// Guards against a request that is sent to its target although its caller had left before the node read it, as on a host
// without processor time.
func TestRequestReadAfterItsCallerHasLeftIsNotSent(t *testing.T) {
	for _, late := range []string{"only node", "first node", "owner's node"} {
		for _, size := range []int{0, 1000, 30_000} {
			t.Run(fmt.Sprintf("%s/%d", late, size), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				target := newTarget(t, echoOK)
				owner, entry, nodes := newLeftNodes(t, target.addr(), late != "only node", config.Traffic{})
				is.Equal(entry.call(t, "POST", "/quotes/k", "x").status, 200) // opens the connections
				before := target.runs.Load()
				paused := map[string]*testNode{"only node": owner, "first node": entry, "owner's node": owner}[late]
				for range 40 {
					resume := paused.pauseReading()
					l := sendAndStay(t, entry, "/quotes/k", size, "length")
					l.leave(false)
					time.Sleep(5 * time.Millisecond)
					if entry != paused {
						awaitEnd(t, entry) // the owner's node cannot know earlier than the entry node
					}
					resume()
				}
				time.Sleep(50 * time.Millisecond)
				awaitEnd(t, nodes...)
				is.Equal(target.runs.Load(), before)
			})
		}
	}
}

// Guards against the second of two attempts of a request that goes on after its caller has left.
func TestBothAttemptsOfAHedgedRequestEndWithTheirCaller(t *testing.T) {
	is := is.New(t)
	var running atomic.Int64
	work := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		running.Add(1)
		defer running.Add(-1)
		<-r.Context().Done()
	}
	share := 1.0
	entry := newNode(t, "a", newTarget(t, work).addr(), config.Traffic{HedgeShare: &share})
	other := newNode(t, "b", newTarget(t, work).addr(), config.Traffic{})
	connect(nil, entry, other)
	for range 100 {
		entry.latencies.get("orders").add(time.Millisecond)
		entry.hedges.deposit()
	}
	conn, err := net.Dial("tcp", entry.peer.CallerAddr)
	is.NoErr(err)
	_, err = fmt.Fprintf(conn, "PUT /orders/k HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 3\r\n\r\nput", orgKey)
	is.NoErr(err)
	for begin := time.Now(); running.Load() < 2; time.Sleep(time.Millisecond) {
		is.True(time.Since(begin) < time.Second) // both attempts are at work
	}
	_ = conn.Close()
	awaitEnd(t, entry, other)
	time.Sleep(10 * time.Millisecond)
	is.Equal(running.Load(), int64(0))
}

// Guards against a request that goes on because its caller had begun to send the next one before it left: the server has read
// a byte of that and reads no further.
func TestRequestWithAnotherBehindItEndsWithItsCaller(t *testing.T) {
	for _, viaHop := range []bool{false, true} {
		for _, request := range []string{"GET /quotes/k HTTP/1.1\r\n", "POST /quotes/k HTTP/1.1\r\nContent-Length: 0\r\n"} {
			t.Run(fmt.Sprintf("hop=%t/%.4s", viaHop, request), func(t *testing.T) {
				is := is.New(t)
				begun, ended := make(chan struct{}, 1), make(chan struct{}, 1)
				target := newTarget(t, func(_ http.ResponseWriter, r *http.Request) {
					_, _ = io.ReadAll(r.Body)
					begun <- struct{}{}
					<-r.Context().Done()
					ended <- struct{}{}
				})
				_, entry, nodes := newLeftNodes(t, target.addr(), viaHop, config.Traffic{})
				conn, err := net.Dial("tcp", entry.peer.CallerAddr)
				is.NoErr(err)
				_, err = fmt.Fprintf(conn, "%sHost: x\r\nAuthorization: Bearer %s\r\n\r\n", request, orgKey)
				is.NoErr(err)
				<-begun
				_, err = io.WriteString(conn, "GET /quotes/k HTTP/1.1\r\nHost: x\r\n")
				is.NoErr(err)
				time.Sleep(10 * time.Millisecond)
				_ = conn.Close()
				awaitEnd(t, nodes...)
				<-ended
			})
		}
	}
}

// newDeafTarget returns a target that sends the text once a request has arrived, reads none of its body, and reports
// when the connection has ended.
func newDeafTarget(t *testing.T, text string) (*rawTarget, <-chan struct{}) {
	t.Helper()
	ended := make(chan struct{}, 1)
	raw := newRawTarget(t, func(conn net.Conn, _ *bufio.Reader) {
		_, _ = io.WriteString(conn, text)
		awaitClosedByPeer(conn)
		ended <- struct{}{}
	})
	return raw, ended
}

// Guards against a target that goes on working, since the end of an attempt stands behind a body that it does not read:
// before its response and in the midst of one.
func TestTargetThatDoesNotReadLearnsThatItsCallerHasLeft(t *testing.T) {
	responses := map[string]string{
		"silent":  "",
		"begun":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbegun\r\n",
		"partial": "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nbegun",
	}
	for name, text := range responses {
		for _, viaHop := range []bool{false, true} {
			for _, size := range []int{1000, 30_000, 80_000, 300_000, 8_000_000} {
				t.Run(fmt.Sprintf("%s/hop=%t/%d", name, viaHop, size), func(t *testing.T) {
					t.Parallel()
					target, ended := newDeafTarget(t, text)
					_, entry, nodes := newLeftNodes(t, target.Addr().String(), viaHop, config.Traffic{})
					l := sendAndStay(t, entry, "/quotes/k", size, "length")
					time.Sleep(100 * time.Millisecond)
					l.leave(size >= 8_000_000)
					select {
					case <-ended:
					case <-time.After(leftLimit):
						t.Fatal("the target is still at work")
					}
					awaitEnd(t, nodes...)
				})
			}
		}
	}
}

// Guards against a response that goes on after its caller has left, where it has begun before the owner's node asked for
// the body: nothing reads the body any more.
func TestResponseBeforeTheBodyEndsWithItsCaller(t *testing.T) {
	ended := make(chan struct{}, 1)
	hops := newRawTarget(t, func(conn net.Conn, in *bufio.Reader) {
		req, err := http.ReadRequest(bufio.NewReader(io.MultiReader(strings.NewReader("POST / HTTP/1.1\r\n"), in)))
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbegun\r\n",
			api.HeaderAttempt, req.Header.Get(api.HeaderAttempt))
		awaitClosedByPeer(conn)
		ended <- struct{}{}
	})
	owner, entry, _ := newLeftNodes(t, "127.0.0.1:1", true, config.Traffic{})
	owner.peer.InternalAddr = hops.Addr().String()
	connect(owner, owner, entry)
	l := sendAndStay(t, entry, "/quotes/k", 80_000, "length")
	l.leave(false)
	select {
	case <-ended:
	case <-time.After(leftLimit):
		t.Fatal("the response goes on")
	}
	awaitEnd(t, entry)
}

// Guards against uploads that reach their target after their caller has left, because they are larger than the window
// of the connection: the close is queued at the caller until the node reads on.
func TestWaitOfALargeUploadEndsWithItsCaller(t *testing.T) {
	for _, viaHop := range []bool{false, true} {
		t.Run(fmt.Sprintf("hop=%t", viaHop), func(t *testing.T) {
			is := is.New(t)
			target := newTarget(t, echoOK)
			owner, entry, nodes := newLeftNodes(t, target.addr(), viaHop, config.Traffic{})
			fillGate(t, owner)
			l := sendAndStay(t, entry, "/orders/k", 300_000, "length")
			l.leave(false)
			awaitEnd(t, nodes...)
			is.Equal(target.runs.Load(), int64(0))
		})
	}
}

// Guards against uploads whose response has begun before they were in, and that run on once their senders have left.
func TestEarlyResponseToASlowUploadEndsWithItsSender(t *testing.T) {
	const uploads, piece = 60, 8_000
	upload := strings.Repeat("x", maxBufferedBody+400_000)
	for _, viaHop := range []bool{false, true} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("hop=%t/chunked=%t", viaHop, chunked), func(t *testing.T) {
				t.Parallel()
				var begun, running atomic.Int64
				target := newRawTarget(t, func(conn net.Conn, in *bufio.Reader) {
					readHead(in)
					_, _ = io.CopyN(io.Discard, in, 2*piece)
					begun.Add(1)
					running.Add(1)
					defer running.Add(-1)
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbegun\r\n")
					go func() { _, _ = io.Copy(io.Discard, in) }()
					for begin := time.Now(); !closedByPeer(conn) && time.Since(begin) < 2500*time.Millisecond; {
						time.Sleep(5 * time.Millisecond)
					}
				})
				owner, entry, nodes := newLeftNodes(t, target.Addr().String(), viaHop, config.Traffic{})
				owner.local.gate = gate.New(gate.Options{Slots: uploads, NoColdStart: true})
				for range uploads {
					conn, err := net.Dial("tcp", entry.peer.CallerAddr)
					if err != nil {
						t.Fatal(err)
					}
					go sendInPieces(conn, upload, maxBufferedBody+piece, piece, 20*time.Millisecond, chunked)
					time.AfterFunc(300*time.Millisecond, func() { _ = conn.Close() })
				}
				time.Sleep(300*time.Millisecond + leftLimit)
				if n := running.Load(); n > 0 || begun.Load() == 0 {
					t.Errorf("%d of %d uploads run on", n, begun.Load())
				}
				awaitEnd(t, nodes...)
			})
		}
	}
}
