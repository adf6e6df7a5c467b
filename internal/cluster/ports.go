package cluster

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports for listeners lie below the range from which Linux takes the ports of outgoing connections
// (32768 and up), so a port stays free while its process is down. Test processes run side by
// side, so each one takes its ports from a block of its own.
const (
	firstPort = 20000
	lastPort  = 32000
	blockSize = 400 // a large deployment takes about 100
	blocks    = (lastPort - firstPort) / blockSize
)

// portBlock is the block of ports of this test process. It is claimed by a listener on the
// block's first port, which the system closes when the process ends, however it ends.
type portBlock struct {
	mu    sync.Mutex
	claim net.Listener
	first int
	next  int
}

var ports portBlock

// FreeAddress returns a loopback address that nothing listens on. An address comes up again only
// after all others of the block.
func (c *Cluster) FreeAddress() string {
	c.t.Helper()
	ports.mu.Lock()
	defer ports.mu.Unlock()
	if !ports.claimed() {
		c.t.Fatal("cluster: no free block of ports")
	}
	for range blockSize {
		ports.next = ports.next%(blockSize-1) + 1
		address := loopback(ports.first + ports.next)
		if isFree(address) {
			return address
		}
	}
	c.t.Fatal("cluster: no free port")
	return ""
}

// claimed claims a block unless the process has one. The caller holds the lock.
func (b *portBlock) claimed() bool {
	if b.claim != nil {
		return true
	}
	for _, i := range rand.Perm(blocks) {
		first := firstPort + i*blockSize
		l, err := net.Listen("tcp", loopback(first))
		if err == nil {
			b.claim, b.first = l, first
			return true
		}
	}
	return false
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}
