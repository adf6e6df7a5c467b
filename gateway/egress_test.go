package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/egress"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/telemetry"
)

// newEgressNodes returns an entry node and an owner's node on a link of the speed, with a target.
func newEgressNodes(t *testing.T, mbps float64, f http.HandlerFunc) (entry, owner *testNode) {
	target := newTarget(t, f)
	entry = newNode(t, "a", "", config.Traffic{LinkMbps: mbps})
	owner = newNode(t, "b", target.addr(), config.Traffic{LinkMbps: mbps})
	connect(owner, entry, owner)
	return entry, owner
}

// sendBytes is a target that sends a response of the size, with its length or in chunks.
func sendBytes(text []byte, withLength bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if !withLength {
			_ = http.NewResponseController(w).Flush()
		}
		_, _ = w.Write(text)
	}
}

// eventually fails the test if the condition does not come true.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for began := time.Now(); !condition(); time.Sleep(time.Millisecond) {
		if time.Since(began) > 5*time.Second {
			t.Fatal(what)
		}
	}
}

// Guards against large responses that are changed on their way, hold the slot of their target while they wait for the link,
// or leave it faster than its share.
func TestLargeResponseIsPacedAndFreesTheSlot(t *testing.T) {
	for _, withLength := range []bool{true, false} {
		is := is.New(t)
		text := bytes.Repeat([]byte("0123456789abcdef"), 200_000/16)
		a, b := newEgressNodes(t, 4, sendBytes(text, withLength))
		freed := make(chan struct{})
		go func() {
			defer close(freed)
			eventually(t, "the target is not done before its response is", func() bool {
				return b.egress.Backlog() > 0 && b.local.gate.Snapshot().Running == 0
			})
		}()
		began := time.Now()
		got := a.call(t, "GET", "/orders/k", "")
		is.NoErr(got.err)
		is.Equal(got.body, string(text))
		<-freed
		atLeast := time.Duration(float64(len(text)-egress.LargeSize-2*egress.ChunkSize) / (4e6 / 8) * float64(time.Second))
		is.True(time.Since(began) >= atLeast)
		is.Equal(b.egress.Backlog(), int64(0))
		is.Equal(b.egress.Memory().Used(), int64(0))
		is.Equal(a.egress.Backlog(), int64(0)) // the caller is on the host of the first node
	}
}

// Guards against a truncated large response that looks complete.
func TestTruncatedLargeResponseIsNotComplete(t *testing.T) {
	is := is.New(t)
	a, b := newEgressNodes(t, 100, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("length") {
			w.Header().Set("Content-Length", "200000")
		}
		_, _ = w.Write(make([]byte, 150_000))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	for _, path := range []string{"/orders/k?length", "/orders/k"} {
		got := a.call(t, "GET", path, "")
		is.True(got.err != nil)
		eventually(t, "memory stays booked", func() bool { return b.egress.Memory().Used() == 0 && b.egress.Backlog() == 0 })
	}
}

// Guards against a caller that reads nothing and so keeps the memory and the place of its response, and against a response
// that looks complete after that.
func TestCallerThatReadsNothingIsCutOff(t *testing.T) {
	is := is.New(t)
	const size = 64 << 20 // more than the buffers of all sockets on the way
	a, b := newEgressNodes(t, 100_000, sendBytes(make([]byte, size), true))
	b.egress.unreadLimit = 100 * time.Millisecond
	before := telemetry.Events(eventUnread)
	conn, err := net.Dial("tcp", a.caller.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /orders/k HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+orgKey+"\r\n\r\n")
	is.NoErr(err)
	eventually(t, "not cut off", func() bool { return telemetry.Events(eventUnread) > before })
	eventually(t, "memory, backlog or slot stays taken", func() bool {
		return b.egress.Memory().Used() == 0 && b.egress.Backlog() == 0 && b.local.gate.Snapshot().Running == 0
	})
	got, _ := io.Copy(io.Discard, conn)
	is.True(got < size)
}

// Guards against the memory and the place of a response whose caller has left while it waits for the link.
func TestCallerThatLeavesFreesItsResponse(t *testing.T) {
	is := is.New(t)
	a, b := newEgressNodes(t, 0.1, sendBytes(make([]byte, 500_000), true))
	ctx, leave := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, "GET", a.caller.URL+"/orders/k", nil)
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+orgKey)
	resp, err := http.DefaultTransport.RoundTrip(req)
	is.NoErr(err)
	defer resp.Body.Close()
	eventually(t, "no backlog", func() bool { return b.egress.Backlog() > 0 })
	leave()
	eventually(t, "memory or backlog stays taken", func() bool { return b.egress.Memory().Used() == 0 && b.egress.Backlog() == 0 })
}

// Guards against responses that are ready and lost because the node stops while they wait for the link.
func TestStoppingNodeDeliversResponses(t *testing.T) {
	is := is.New(t)
	l := newPacedLink(0.001)
	transfer := &egress.Transfer{}
	l.Open(transfer, 10*egress.ChunkSize)
	ctx, stop := context.WithCancelCause(t.Context())
	chunk := make([]byte, egress.ChunkSize)
	is.NoErr(l.waitTurn(ctx, transfer, chunk))
	time.AfterFunc(10*time.Millisecond, func() { stop(errkind.New(errkind.ShuttingDown, "process ends")) })
	is.NoErr(l.waitTurn(ctx, transfer, chunk))
	is.NoErr(l.waitTurn(ctx, transfer, chunk))
}

// Guards against pacing of responses that do not cross the link.
func TestCallerOnThisHost(t *testing.T) {
	is := is.New(t)
	for from, want := range map[string]bool{"127.0.0.1:9": true, "10.0.0.7:9": true, "10.0.0.8:9": false, "[::1]:9": true, "": true} {
		r := &http.Request{RemoteAddr: from}
		r = r.WithContext(context.WithValue(t.Context(), http.LocalAddrContextKey, &net.TCPAddr{IP: net.IPv4(10, 0, 0, 7), Port: 80}))
		is.Equal(fromThisHost(r), want)
	}
}
