package cluster

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Ports for listeners lie below the range from which Linux takes the ports of outgoing connections
// (32768 and up), so a port stays free while its process is down.
const (
	firstPort = 20000
	lastPort  = 32000
	portTries = 1000
)

// FreeAddress returns a loopback address that nothing listens on and that was not returned before
// for this cluster.
func (c *Cluster) FreeAddress() string {
	c.t.Helper()
	for range portTries {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if c.takeAddress(address) && isFree(address) {
			return address
		}
	}
	c.t.Fatal("cluster: no free port")
	return ""
}

func (c *Cluster) takeAddress(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.addresses[address] {
		return false
	}
	c.addresses[address] = true
	return true
}

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}
