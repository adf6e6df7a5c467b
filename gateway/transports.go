package gateway

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/connlimit"
)

const (
	// dialTimeout limits a dial, so that a host that drops packets is detected while there is time
	// to route the request again.
	dialTimeout = 500 * time.Millisecond
	// idleConnTimeout closes idle connections to targets early: one that has stopped responding is
	// worse than a new one, which takes about 1 ms.
	idleConnTimeout = 10 * time.Second
	// nodeIdleConnTimeout is the same for connections to other nodes, which lost hops show to be dead.
	//
	// Load pattern: a large fleet, in which two nodes exchange a request in ten seconds or less often.
	nodeIdleConnTimeout = 30 * time.Second
	// unusedTransportTimeout is the time after which the transport of an unused peer is dropped.
	unusedTransportTimeout = 30 * time.Second
	// maxResponseHead limits the head of a response in bytes. A target in trouble may send a head
	// without end on each of its connections.
	maxResponseHead = 64 << 10
	// maxIdleConns limits the idle connections to one peer or target.
	maxIdleConns = 100
)

// peerTransport holds the connections to one target or node.
type peerTransport struct {
	transport   *http.Transport
	lastUsed    atomic.Int64 // unix nanoseconds
	idleDropped atomic.Int64 // time of the last dropIdle, unix nanoseconds
}

// roundTrip sends the request of an attempt with the body b. A pending read of the body ends with
// the context of the request.
func (l *peerTransport) roundTrip(req *http.Request, b *body) (*http.Response, error) {
	stop := context.AfterFunc(req.Context(), b.interruptRead)
	defer stop()
	return l.transport.RoundTrip(req)
}

// dropIdle closes the idle connections, which may be as unresponsive as the one in use. It does so
// at most once per defaultProbeInterval, since slow work looks the same and a new connection costs
// 1 ms.
func (l *peerTransport) dropIdle(now time.Time) {
	last := l.idleDropped.Load()
	if now.UnixNano()-last < defaultProbeInterval.Nanoseconds() || !l.idleDropped.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	l.transport.CloseIdleConnections()
}

// transportPool holds a transport for each recently used target or node.
type transportPool struct {
	tls         *tls.Config
	idleTimeout time.Duration
	outgoing    *connlimit.Outgoing

	mu    sync.RWMutex
	byKey map[string]*peerTransport
	swept time.Time
}

func newTransportPool(config *tls.Config, idleTimeout time.Duration, outgoing *connlimit.Outgoing) *transportPool {
	return &transportPool{tls: config, idleTimeout: idleTimeout, outgoing: outgoing, byKey: make(map[string]*peerTransport)}
}

// get returns the transport of a key, which identifies one process of the peer, so that a restarted
// peer never gets a connection of its predecessor. maxConns of 0 means no limit.
func (l *transportPool) get(key string, maxConns int) *peerTransport {
	now := time.Now()
	l.mu.RLock()
	found := l.byKey[key]
	l.mu.RUnlock()
	if found == nil {
		found = l.add(key, maxConns, now)
	}
	found.lastUsed.Store(now.UnixNano())
	return found
}

func (l *transportPool) add(key string, maxConns int, now time.Time) *peerTransport {
	l.mu.Lock()
	defer l.mu.Unlock()
	if found := l.byKey[key]; found != nil {
		return found
	}
	l.sweep(now)
	created := &peerTransport{transport: newTransport(l.tls, maxConns, l.idleTimeout, l.outgoing)}
	l.byKey[key] = created
	return created
}

// sweep drops transports that have not been used for unusedTransportTimeout. The caller holds the
// lock. Requests in flight on a dropped transport end normally.
func (l *transportPool) sweep(now time.Time) {
	if now.Sub(l.swept) < unusedTransportTimeout/2 {
		return
	}
	l.swept = now
	oldest := now.Add(-unusedTransportTimeout).UnixNano()
	for key, peer := range l.byKey {
		if peer.lastUsed.Load() < oldest {
			peer.transport.CloseIdleConnections()
			delete(l.byKey, key)
		}
	}
}

func (l *transportPool) closeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, peer := range l.byKey {
		peer.transport.CloseIdleConnections()
	}
}

// newTransport returns a transport whose connections consult the sendOnce of an attempt before each
// request.
func newTransport(config *tls.Config, maxConns int, idleTimeout time.Duration, outgoing *connlimit.Outgoing) *http.Transport {
	t := &http.Transport{
		DialContext:         guardedDialer(nil, outgoing),
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		// The deadline of the request ends the wait for "100 Continue".
		ExpectContinueTimeout:  maxDeadline,
		MaxResponseHeaderBytes: maxResponseHead,
	}
	if config != nil {
		t.DialTLSContext = guardedDialer(config, outgoing)
	}
	return t
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// errNoConnection is the cause of a failed attempt for which no connection may be opened.
var errNoConnection = errors.New("as many connections to targets and nodes are open as this node may have")

// unsentFailure returns the error of an attempt of which nothing was sent, of the given kind unless this node is the cause.
func unsentFailure(kind errkind.Kind, peer string, err error) *errkind.Error {
	if errors.Is(err, errNoConnection) {
		kind = errkind.Overloaded
	}
	return errkind.New(kind, "%s: %v", peer, err)
}

func guardedDialer(config *tls.Config, outgoing *connlimit.Outgoing) dialFunc {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := dialer.DialContext
	if config != nil {
		dial = (&tls.Dialer{NetDialer: dialer, Config: config}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if !outgoing.Open() {
			return nil, errNoConnection
		}
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		conn, err := dial(ctx, network, address)
		if err != nil {
			outgoing.Close()
			return nil, err
		}
		return &guardedConn{Conn: conn, closed: sync.OnceFunc(outgoing.Close)}, nil
	}
}
