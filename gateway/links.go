package gateway

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// dialTimeout bounds a dial, so that a host that drops packets is found out while
	// there is time to route the request again.
	dialTimeout = 500 * time.Millisecond
	// idleConnTimeout closes idle connections early: one that has gone silent is worse
	// than a new one, which takes about 1 ms.
	idleConnTimeout = 10 * time.Second
	// linkIdle is the time after which the transport of an unused peer is dropped.
	linkIdle = 30 * time.Second
	// maxIdleConns bounds the idle connections to one peer or target.
	maxIdleConns = 100
)

// link is the connections to one target or one node.
type link struct {
	transport *http.Transport
	used      atomic.Int64 // unix nanoseconds
	dropped   atomic.Int64 // time of the last dropIdle, unix nanoseconds
}

// roundTrip sends the request of an attempt with the body b. A read of the body that waits for its sender
// ends with the context of the request.
func (l *link) roundTrip(req *http.Request, b *body) (*http.Response, error) {
	stop := context.AfterFunc(req.Context(), b.interrupt)
	defer stop()
	return l.transport.RoundTrip(req)
}

// dropIdle closes the idle connections, which may be as silent as one that gives no answer. It
// does so at most once per silence, since slow work looks the same and a new connection costs 1 ms.
func (l *link) dropIdle(now time.Time) {
	last := l.dropped.Load()
	if now.UnixNano()-last < defaultSilence.Nanoseconds() || !l.dropped.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	l.transport.CloseIdleConnections()
}

// links holds a link for each target or node in recent use.
type links struct {
	tls *tls.Config

	mu    sync.RWMutex
	byKey map[string]*link
	swept time.Time
}

func newLinks(config *tls.Config) *links {
	return &links{tls: config, byKey: make(map[string]*link)}
}

// get returns the link of a key, which names one run of the peer, so that a restarted
// peer never gets a connection of its predecessor. maxConns of 0 means no limit.
func (l *links) get(key string, maxConns int) *link {
	now := time.Now()
	l.mu.RLock()
	found := l.byKey[key]
	l.mu.RUnlock()
	if found == nil {
		found = l.add(key, maxConns, now)
	}
	found.used.Store(now.UnixNano())
	return found
}

func (l *links) add(key string, maxConns int, now time.Time) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	if found := l.byKey[key]; found != nil {
		return found
	}
	l.sweep(now)
	created := &link{transport: newTransport(l.tls, maxConns)}
	l.byKey[key] = created
	return created
}

// sweep drops links that have not been used for a while. The caller holds the lock.
// Requests that still run on a dropped link end normally.
func (l *links) sweep(now time.Time) {
	if now.Sub(l.swept) < linkIdle/2 {
		return
	}
	l.swept = now
	oldest := now.Add(-linkIdle).UnixNano()
	for key, link := range l.byKey {
		if link.used.Load() < oldest {
			link.transport.CloseIdleConnections()
			delete(l.byKey, key)
		}
	}
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, link := range l.byKey {
		link.transport.CloseIdleConnections()
	}
}

// newTransport returns a transport whose connections ask the shot before each request.
func newTransport(config *tls.Config, maxConns int) *http.Transport {
	t := &http.Transport{
		DialContext:         dialGuarded(nil),
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		// The deadline of the request ends the wait for permission to send a body.
		ExpectContinueTimeout: longestDeadline,
		// The answer's headers are small; the default of 10 MB is a risk to memory.
		MaxResponseHeaderBytes: 1 << 20,
	}
	if config != nil {
		t.DialTLSContext = dialGuarded(config)
	}
	return t
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func dialGuarded(config *tls.Config) dialFunc {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := dialer.DialContext
	if config != nil {
		dial = (&tls.Dialer{NetDialer: dialer, Config: config}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: conn}, nil
	}
}
