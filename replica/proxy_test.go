package replica

import (
	"io"
	"net"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// blackholeProxy forwards connections. It can stop forwarding data on the open ones for ever,
// without closing them, while new connections work.
type blackholeProxy struct {
	listener   net.Listener
	target     string
	mu         sync.Mutex
	conns      []net.Conn
	blackholed map[net.Conn]bool
}

// startProxy starts a proxy at the member's address and moves its listener to another one.
func startProxy(t testing.TB, m *testMember) *blackholeProxy {
	l, err := net.Listen("tcp", m.options.Address)
	is.New(t).NoErr(err)
	m.listen = freeAddress(t)
	p := &blackholeProxy{listener: l, target: m.listen, blackholed: map[net.Conn]bool{}}
	go p.accept()
	t.Cleanup(p.close)
	return p
}

func (p *blackholeProxy) accept() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = caller.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, caller, server)
		p.mu.Unlock()
		go p.forward(caller, server)
		go p.forward(server, caller)
	}
}

func (p *blackholeProxy) forward(from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		blackholed := p.blackholed[from] || p.blackholed[to]
		p.mu.Unlock()
		if blackholed {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			_ = to.Close()
			return
		}
	}
}

// blackholeOpen stops forwarding data on all open connections.
func (p *blackholeProxy) blackholeOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		p.blackholed[c] = true
	}
}

func (p *blackholeProxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
}
