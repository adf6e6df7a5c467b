package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/gate"
	"github.com/zinniapier/zinniapier/internal/hangup"
	"github.com/zinniapier/zinniapier/rpc"
)

const orgKey = "secret-key"

// testNode is a gateway with its listeners, and with fakes for the session, the host and the
// tokens.
type testNode struct {
	*Gateway
	caller *httptest.Server
	hops   *httptest.Server
	fate   net.Listener
	peer   api.Peer
	local  *testTarget
	now    atomic.Pointer[api.View]
	tokens testTokens
	// reading is locked while the node reads nothing from its callers.
	reading sync.RWMutex
}

// pauseReading makes the node read nothing from its callers until resume is called.
func (n *testNode) pauseReading() (resume func()) {
	n.reading.Lock()
	return n.reading.Unlock
}

// slowListener accepts connections of callers, whose reads return only while the node reads.
type slowListener struct {
	net.Listener
	node *testNode
}

func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return slowConn{conn, l.node}, err
}

type slowConn struct {
	net.Conn
	node *testNode
}

func (c slowConn) NetConn() net.Conn { return c.Conn }

func (c slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.node.reading.RLock()
	defer c.node.reading.RUnlock()
	return n, err
}

// testTokens counts settled and refunded tokens.
type testTokens struct {
	settled, refunded atomic.Int64
	none              bool // there is no token to be had
	refuses           bool
}

func (t *testTokens) Take(ctx context.Context, _ api.OrganisationID) (Token, error) {
	if t.refuses {
		return nil, errkind.New(errkind.RateLimited, "beyond the rate")
	}
	if t.none {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return t, nil
}
func (t *testTokens) Settle() { t.settled.Add(1) }
func (t *testTokens) Refund() { t.refunded.Add(1) }

// testTarget is a local target. onBegin, if set, runs when an attempt begins.
type testTarget struct {
	info    api.Announcement
	gate    *gate.Gate
	onBegin func()
}

func (t *testTarget) Info() api.Announcement                { return t.info }
func (t *testTarget) Gate() *gate.Gate                      { return t.gate }
func (t *testTarget) ReportConnectionRefused()              {}
func (t *testTarget) CountRefusal(api.PartitionRef, string) {}
func (t *testTarget) ReportColdRemaining(time.Duration)     {}

func (t *testTarget) ReportStatement(float64, bool) {}

func (t *testTarget) Begin(ctx context.Context, _ api.PartitionRef, _ api.Epoch, _ string) (context.Context, func(), error) {
	if t.onBegin != nil {
		t.onBegin()
	}
	return ctx, func() {}, nil
}

func (n *testNode) Lookup(id api.TargetID) LocalTarget {
	if n.local == nil || n.local.info.ID != id {
		return nil
	}
	return n.local
}

// newNode starts a node with a target at the address, or with none if it is empty.
func newNode(t *testing.T, name, target string, traffic config.Traffic) *testNode {
	t.Helper()
	n := &testNode{peer: api.Peer{Session: api.SessionID("s-" + name), Name: name}}
	if target != "" {
		id := api.TargetID("t-" + name)
		n.local = &testTarget{
			info: api.Announcement{ID: id, Address: target, Slots: 8},
			gate: gate.New(gate.Options{Slots: 8, NoColdStart: true}),
		}
		for _, s := range []string{"quotes", "orders"} {
			n.peer.Targets = append(n.peer.Targets, api.PeerTarget{ID: id, Service: s, Slots: 8, State: api.TargetServing})
		}
	}
	n.now.Store(&api.View{})
	n.Gateway = New(Options{View: n.now.Load, Targets: n, Tokens: &n.tokens, Traffic: traffic})
	n.caller = n.newServer(n.CallerHandler())
	n.hops = n.newServer(n.InternalHandler())
	n.fate = serveFate(t, n.Gateway)
	n.peer.InternalAddr = n.hops.Listener.Addr().String()
	n.peer.CallerAddr = n.caller.Listener.Addr().String()
	n.peer.FateAddr = n.fate.Addr().String()
	t.Cleanup(func() {
		n.caller.CloseClientConnections()
		n.hops.CloseClientConnections()
		n.caller.Close()
		n.hops.Close()
	})
	return n
}

// newServer starts a server that tells its handlers of the ends of their connections, as daemon.HTTPService does.
func (n *testNode) newServer(handler http.Handler) *httptest.Server {
	s := httptest.NewUnstartedServer(handler)
	s.Listener = slowListener{s.Listener, n}
	s.Config.ConnContext = hangup.ConnContext
	s.Start()
	return s
}

func serveFate(t *testing.T, g *Gateway) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	server := rpc.NewServer(nil)
	if err := server.Register("Node", g); err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(ctx, l) }()
	return l
}

// connect publishes one view to all nodes: the owner holds every partition of "quotes".
func connect(owner *testNode, nodes ...*testNode) {
	segment := 1
	c := &api.Configuration{
		Services: api.Services{Services: []api.Service{
			{Name: "quotes", Key: &api.KeySource{PathSegment: &segment}, Partitions: 4, DeadlineMs: 2000,
				Routes: []api.Route{{Prefix: "/quotes"}}},
			{Name: "orders", Routes: []api.Route{{Prefix: "/orders"}, {Prefix: "/open", Open: true}}, DeadlineMs: 2000},
			{Name: "needy", DependsOn: []string{"missing"}, Routes: []api.Route{{Prefix: "/needy"}}},
		}},
		Organisations: []api.Organisation{{ID: "acme", Rate: 1000, Burst: 1000}},
		Keys:          []api.OrganisationKey{{ID: "k", Organisation: "acme", Digest: api.DigestKey(orgKey)}},
	}
	var peers []api.Peer
	for _, n := range nodes {
		peers = append(peers, n.peer)
	}
	for _, n := range nodes {
		v := &api.View{Session: n.peer.Session, LeaseUntil: time.Now().Add(time.Hour), Configuration: c,
			MapVersion: 3, Assignments: ownedBy(owner, 7), Peers: peers}
		v.Index = api.NewViewIndex(v)
		n.now.Store(v)
		n.ViewChanged(v)
	}
}

// ownedBy returns assignments of all partitions of "quotes" to the node's target; nil for no owner.
func ownedBy(owner *testNode, epoch api.Epoch) api.AssignmentTable {
	list := make([]api.Assignment, 4)
	for i := range list {
		if owner != nil {
			list[i] = api.Assignment{State: api.Granted, Target: owner.local.info.ID, Session: owner.peer.Session, Epoch: epoch}
		}
	}
	return api.NewAssignmentTable(api.Assignments{"quotes": list})
}

// fillGate gives the node's target a single slot and takes it.
func fillGate(t *testing.T, n *testNode) {
	t.Helper()
	n.local.gate = gate.New(gate.Options{Slots: 1, NoColdStart: true})
	if _, err := n.local.gate.Acquire(t.Context(), "busy", 1); err != nil {
		t.Fatal(err)
	}
}

// change publishes a changed copy of the node's view.
func (n *testNode) change(f func(v *api.View)) {
	v := *n.now.Load()
	f(&v)
	v.Index = api.NewViewIndex(&v)
	n.now.Store(&v)
	n.ViewChanged(&v)
}

func expire(v *api.View) { v.LeaseUntil = time.Now().Add(-time.Second) }

// reply is the response that a caller got.
type reply struct {
	status int
	kind   errkind.Kind
	notRun string
	body   string
	err    error // from reading the body
	header http.Header
}

// call sends a request to the node. Pairs of header name and value follow the body.
func (n *testNode) call(t *testing.T, method, path, body string, header ...string) reply {
	t.Helper()
	req, err := http.NewRequest(method, n.caller.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+orgKey)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return reply{
		status: resp.StatusCode,
		kind:   errkind.Kind(resp.Header.Get(errkind.HeaderKind)),
		notRun: resp.Header.Get(errkind.HeaderNotRun),
		body:   string(text),
		err:    err,
		header: resp.Header,
	}
}

// httpTarget is a target that counts its requests.
type httpTarget struct {
	*httptest.Server
	runs atomic.Int64
	last atomic.Pointer[http.Request]
}

func newTarget(t *testing.T, f http.HandlerFunc) *httpTarget {
	t.Helper()
	h := new(httpTarget)
	h.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.runs.Add(1)
		h.last.Store(r)
		f(w, r)
	}))
	t.Cleanup(func() {
		h.CloseClientConnections()
		h.Close()
	})
	return h
}

func (h *httpTarget) addr() string { return h.Listener.Addr().String() }

func echoOK(w http.ResponseWriter, r *http.Request) {
	text, _ := io.ReadAll(r.Body)
	_, _ = io.WriteString(w, "ok"+string(text))
}

// rawTarget serves raw connections and counts those that carried a request.
type rawTarget struct {
	net.Listener
	runs atomic.Int64
}

// newRawTarget calls f for each connection that has sent its first line.
func newRawTarget(t *testing.T, f func(conn net.Conn, in *bufio.Reader)) *rawTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	raw := &rawTarget{Listener: l}
	go accept(l, func(conn net.Conn) {
		defer conn.Close()
		in := bufio.NewReader(conn)
		if _, err := in.ReadString('\n'); err != nil {
			return
		}
		raw.runs.Add(1)
		f(conn, in)
	})
	return raw
}

func accept(l net.Listener, serve func(net.Conn)) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

// closedByPeer reports whether the other end has closed the connection, also where bytes before that are unread.
func closedByPeer(conn net.Conn) bool {
	return hangup.Closed(hangup.ConnContext(context.Background(), conn))
}

// awaitClosedByPeer waits for the close. A read learns of it only after the bytes before it.
func awaitClosedByPeer(conn net.Conn) {
	for !closedByPeer(conn) {
		time.Sleep(time.Millisecond)
	}
}

// readHead skips the rest of a request's header.
func readHead(in *bufio.Reader) {
	for {
		line, err := in.ReadString('\n')
		if err != nil || line == "\r\n" {
			return
		}
	}
}

// relay is a TCP proxy in front of a listener; it can inject faults.
type relay struct {
	net.Listener
	// forward handles each connection by its number, from 0.
	forward func(n int64, from, to net.Conn)
	conns   atomic.Int64
}

func newRelay(t *testing.T, to string, forward func(n int64, from, to net.Conn)) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{Listener: l, forward: forward}
	t.Cleanup(func() { _ = l.Close() })
	go accept(l, func(from net.Conn) {
		defer from.Close()
		dest, err := net.Dial("tcp", to)
		if err != nil {
			return
		}
		defer dest.Close()
		r.forward(r.conns.Add(1)-1, from, dest)
	})
	return r
}

// pipe copies in both directions until one of them ends.
func pipe(from, to net.Conn) {
	done := make(chan struct{}, 2)
	copyTo := func(a, b net.Conn) {
		_, _ = io.Copy(a, b)
		done <- struct{}{}
	}
	go copyTo(to, from)
	go copyTo(from, to)
	<-done
}
