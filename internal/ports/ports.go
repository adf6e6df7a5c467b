// Package ports hands out loopback ports for listeners whose address must be known before they
// are opened, or must outlive the process behind them.
package ports

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/juju/errors"
)

// Ports for listeners lie below the range from which Linux takes the ports of outgoing connections
// (32768 and up), so a port stays free while nothing listens on it. Processes run side by
// side, so each one takes its ports from a block of its own.
const (
	firstPort = 20000
	lastPort  = 32000
	blockSize = 400 // a large deployment takes about 100
	blocks    = (lastPort - firstPort) / blockSize
)

// block is the block of ports of this process. It is claimed by a listener on the block's
// first port, which the system closes when the process ends, however it ends.
type block struct {
	mu    sync.Mutex
	claim net.Listener
	first int
	next  int
}

var own block

// FreeAddress returns a loopback address that nothing listens on. An address comes up again only
// after all others of the block. It fails when all blocks, or all ports of the block, are taken.
func FreeAddress() (string, error) {
	port, err := own.take(1)
	return loopback(port), err
}

// FreeRow returns the first of n ports in a row that nothing listens on at 127.0.0.1. It fails
// like FreeAddress.
func FreeRow(n int) (int, error) { return own.take(n) }

func (b *block) take(n int) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.claimOne(); err != nil {
		return 0, err
	}
	for range blockSize {
		offset := b.next + 1
		if offset+n > blockSize {
			offset = 1
		}
		b.next = offset + n - 1
		if areFree(b.first+offset, n) {
			return b.first + offset, nil
		}
	}
	return 0, errors.Errorf("no free ports from %d to %d", b.first+1, b.first+blockSize-1)
}

// claimOne claims a block unless the process has one. The caller holds the lock.
func (b *block) claimOne() error {
	if b.claim != nil {
		return nil
	}
	for _, i := range rand.Perm(blocks) {
		first := firstPort + i*blockSize
		l, err := net.Listen("tcp", loopback(first))
		if err == nil {
			b.claim, b.first = l, first
			return nil
		}
	}
	return errors.Errorf("all %d blocks of ports are claimed", blocks)
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func areFree(first, n int) bool {
	for port := first; port < first+n; port++ {
		l, err := net.Listen("tcp", loopback(port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}
