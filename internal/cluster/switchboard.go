package cluster

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// endpoint is one advertised listener of a process.
type endpoint struct {
	owner *Process
	// name tells the listeners of a process apart.
	name string
	// listen is the address of the process, advertised that of the switchboard.
	listen, advertised string

	mu       sync.Mutex
	listener net.Listener
}

// Names of endpoints.
const (
	endpointRPC      = "rpc"
	endpointOperator = "operator"
	endpointInternal = "internal"
	endpointAnnounce = "announce"
	endpointTarget   = "target"
)

// open starts to accept connections. The endpoint of a process that is down refuses them,
// as the process itself would.
func (c *Cluster) open(e *endpoint) error {
	l, err := net.Listen("tcp", e.advertised)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.listener = l
	e.mu.Unlock()
	go c.accept(e, l)
	return nil
}

func (e *endpoint) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listener != nil {
		_ = e.listener.Close()
		e.listener = nil
	}
}

func (c *Cluster) accept(e *endpoint, l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go c.pass(e, conn)
	}
}

// pass sends a connection through the proxy of its link.
func (c *Cluster) pass(e *endpoint, conn net.Conn) {
	defer conn.Close()
	link := c.linkOf(e, c.dialler(conn))
	if link == nil {
		return
	}
	if err := link.pass(conn); err != nil {
		c.logf("proxy of %s to %s: %v", link.From, link.To, err)
	}
}

// pass sends a connection through the proxy of the link until it ends.
func (l *Link) pass(conn net.Conn) error {
	address, err := l.address()
	if err != nil {
		return err
	}
	proxied, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil // the listener has gone
	}
	l.track(conn, true)
	defer l.track(conn, false)
	splice(conn, proxied)
	return nil
}

// splice copies both ways and closes both connections when either way ends.
func splice(a, b net.Conn) {
	done := make(chan struct{}, 2)
	for _, way := range [][2]net.Conn{{a, b}, {b, a}} {
		go func() {
			_, _ = io.Copy(way[0], way[1])
			done <- struct{}{}
		}()
	}
	<-done
	_ = a.Close()
	_ = b.Close()
	<-done
}

// dialler returns the process that opened the connection, or nil.
func (c *Cluster) dialler(conn net.Conn) *Process {
	pids := make(map[string]int)
	byName := make(map[string]*Process)
	for _, p := range c.processes() {
		if pid := p.PID(); pid != 0 {
			pids[p.Name], byName[p.Name] = pid, p
		}
	}
	return byName[c.owners.dialler(conn, pids)]
}

// dialler returns the name of the process that opened the connection, or "".
func (o *socketOwners) dialler(conn net.Conn, pids map[string]int) string {
	local := conn.RemoteAddr().(*net.TCPAddr).AddrPort()
	remote := conn.LocalAddr().(*net.TCPAddr).AddrPort()
	inode, err := inodeOf(unmap(local), unmap(remote))
	if err != nil {
		return ""
	}
	return o.find(inode, pids)
}

func unmap(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }
