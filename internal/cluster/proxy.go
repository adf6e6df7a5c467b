package cluster

import (
	"net"
	"sync"
)

// Proxy stands before one listener of a process that the Cluster does not run. It passes each
// connection through a link of its dialler, which it finds by the socket. It is safe for concurrent use.
type Proxy struct {
	name             string
	address, backend string
	kind             Kind
	pids             func() map[string]int

	owners socketOwners

	mu       sync.Mutex
	listener net.Listener
	links    map[string]*Link
}

// NewProxy returns a proxy that listens at an address once it is opened and passes connections on
// to the listener of the named process. pids returns the ids of the running processes by name;
// connections of others are closed.
func NewProxy(name, address, backend string, kind Kind, pids func() map[string]int) *Proxy {
	return &Proxy{name: name, address: address, backend: backend, kind: kind, pids: pids, links: make(map[string]*Link)}
}

// Open accepts connections until Close. The process must listen already.
func (p *Proxy) Open() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener = l
	p.mu.Unlock()
	go p.accept(l)
	return nil
}

// Close refuses connections, as the address of a process that is down does.
func (p *Proxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
}

// Stop closes the proxy and its links for good.
func (p *Proxy) Stop() {
	p.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.stop()
	}
}

// From returns the link on which the named process dials.
func (p *Proxy) From(dialler string) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[dialler] == nil {
		p.links[dialler] = newLink(dialler, p.name, p.kind, p.backend)
	}
	return p.links[dialler]
}

func (p *Proxy) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			if dialler := p.owners.dialler(conn, p.pids()); dialler != "" {
				_ = p.From(dialler).pass(conn) // a proxy that cannot start closes the connection
			}
		}()
	}
}
