package cluster

import (
	"bytes"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/Shopify/toxiproxy/v2/stream"
	"github.com/juju/errors"
	"github.com/rs/zerolog"
)

// Kind names what a link carries.
type Kind string

// Kinds of links.
const (
	ControlRPC Kind = "control-rpc" // node to control member
	Raft       Kind = "raft"        // control member to control member
	Operator   Kind = "operator"    // control member to control member, forwarded operator calls
	Hop        Kind = "hop"         // node to node, requests
	Fate       Kind = "fate"        // node to node, rpc
	Orders     Kind = "orders"      // node to its target: orders and requests
	Announce   Kind = "announce"    // target to its node
)

// Link is one direction of dialling between two processes: From opens the connections.
type Link struct {
	From, To string
	Kind     Kind

	upstream string
	valve    *valve

	mu    sync.Mutex
	proxy *toxiproxy.Proxy
	open  map[net.Conn]struct{} // connections that are passed now
}

// Cut stops the data of a direction, on open and on new connections, until Heal. New connections
// are still accepted. Data in flight waits, as in TCP.
func (l *Link) Cut(d Direction) { l.valve.set(d, true) }

// Heal ends a Cut in both directions.
func (l *Link) Heal() { l.valve.set(Both, false) }

// Silence stops all data on the connections that are open now, for good; new connections work.
func (l *Link) Silence() { l.valve.silence() }

// Reset ends the connections that are open now with a reset; new connections work.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// Delay makes the data of both directions take longer; 0 ends the delay.
func (l *Link) Delay(d time.Duration) { l.valve.delay(d) }

// track notes the begin or the end of a connection.
func (l *Link) track(conn net.Conn, begins bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !begins {
		delete(l.open, conn)
		return
	}
	if l.open == nil {
		l.open = make(map[net.Conn]struct{})
	}
	l.open[conn] = struct{}{}
}

// toxiproxyServer is needed by proxies for their logger and metrics; it does not listen.
var toxiproxyServer = toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())

// lastValve numbers the entries of valves.
var lastValve atomic.Int64

func newLink(from, to string, kind Kind, upstream string) *Link {
	return &Link{From: from, To: to, Kind: kind, upstream: upstream, valve: newValve()}
}

// address starts the proxy of the link on first use and returns its address.
func (l *Link) address() (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.proxy != nil {
		return l.proxy.Listen, nil
	}
	id := lastValve.Add(1)
	valves.Store(id, l.valve)
	proxy := toxiproxy.NewProxy(toxiproxyServer, l.From+" "+l.To+" "+string(l.Kind), "127.0.0.1:0", l.upstream)
	for _, d := range []stream.Direction{stream.Upstream, stream.Downstream} {
		if err := addToxic(proxy, id, d); err != nil {
			return "", err
		}
	}
	if err := proxy.Start(); err != nil {
		return "", errors.Trace(err)
	}
	l.proxy = proxy
	return proxy.Listen, nil
}

func addToxic(proxy *toxiproxy.Proxy, id int64, d stream.Direction) error {
	toxic, err := json.Marshal(map[string]any{
		"type": toxicType, "stream": d.String(), "attributes": valveToxic{ID: id, Direction: d},
	})
	if err != nil {
		return errors.Trace(err)
	}
	_, err = proxy.Toxics.AddToxicJson(bytes.NewReader(toxic))
	return errors.Trace(err)
}

func (l *Link) stop() {
	l.valve.release()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.proxy != nil {
		l.proxy.Stop()
	}
}
