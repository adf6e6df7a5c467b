package replica

import (
	"io"
	"net"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// silentProxy forwards connections and can make the open ones silent for good, without
// closing them, while new ones work.
type silentProxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	conns    []net.Conn
	silent   map[net.Conn]bool
}

// startProxy moves the address of the member to a proxy in front of it.
func startProxy(t testing.TB, m *testMember) *silentProxy {
	l, err := net.Listen("tcp", m.options.Address)
	is.New(t).NoErr(err)
	m.listen = freeAddress(t)
	p := &silentProxy{listener: l, target: m.listen, silent: map[net.Conn]bool{}}
	go p.accept()
	t.Cleanup(p.close)
	return p
}

func (p *silentProxy) accept() {
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

func (p *silentProxy) forward(from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		silent := p.silent[from] || p.silent[to]
		p.mu.Unlock()
		if silent {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			_ = to.Close()
			return
		}
	}
}

func (p *silentProxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		p.silent[c] = true
	}
}

func (p *silentProxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
}
