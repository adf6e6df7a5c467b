package connlimit

import (
	"math"
	"runtime/debug"
	"syscall"
)

const (
	// connectionBytes is the memory of an open connection without a request: goroutine, buffers of 4 KB for both directions
	// and bookkeeping.
	connectionBytes = 24 << 10
	// connectionShare of the memory of the process is for open connections, requestShare for what has been received of requests.
	connectionShare = 0.5
	requestShare    = 0.125
	// descriptorShare of the descriptors is for connections from peers. What this and outgoingShare leave is for connections
	// to members, for listeners and for files.
	descriptorShare = 0.75
	// outgoingShare of the descriptors is for connections that the process opens to targets and other nodes.
	outgoingShare = 0.2
	// unreadShare of the memory is for what has arrived at all connections and has not been read, which the system holds for the
	// process. Each connection gets its part of it as a receive buffer, from minReceiveBuffer to MaxReceiveBuffer.
	unreadShare      = 0.25
	minReceiveBuffer = 8 << 10
	// MaxReceiveBuffer lets a connection carry some 20 MB/s over a round trip of 10 ms.
	MaxReceiveBuffer = 256 << 10
	// minRequestBytes covers a message of a control member to another, 3 MB of entries.
	minRequestBytes = 8 << 20
	// defaultMemory is assumed where the memory of the process is not stated.
	defaultMemory = 1 << 30
	// MinConnections lets a process with very low limits still serve; each listener has minReserve of them.
	MinConnections = 64
	minReserve     = 4
)

// Derive returns the limits for a process by its memory in bytes and its descriptors. A memory of 0 stands for GOMEMLIMIT, or 1 GiB
// without it; 0 descriptors stand for those that the system allows. A host with 184 MB and 4,100 descriptors has 3,075
// connections, one with 280 MB and 4,096 descriptors 3,072.
func Derive(memory int64, descriptors int) Limits {
	if memory <= 0 {
		memory = debug.SetMemoryLimit(-1) // reads GOMEMLIMIT
	}
	if memory == math.MaxInt64 {
		memory = defaultMemory
	}
	if own := ownDescriptors(); descriptors <= 0 || descriptors > own {
		descriptors = own
	}
	return derive(memory, descriptors)
}

func derive(memory int64, descriptors int) Limits {
	byMemory := connectionShare * float64(memory) / connectionBytes
	return Limits{
		Connections:  int(max(min(byMemory, descriptorShare*float64(descriptors)), MinConnections)),
		RequestBytes: max(int64(requestShare*float64(memory)), minRequestBytes),
		UnreadBytes:  int64(unreadShare * float64(memory)),
		Outgoing:     max(int(outgoingShare*float64(descriptors)), MinConnections),
	}
}

// ReceiveBuffer returns the receive buffer of a connection in bytes: what all of them may hold unread, over their number.
func (l Limits) ReceiveBuffer() int {
	return int(min(max(l.UnreadBytes/int64(l.Connections), minReceiveBuffer), MaxReceiveBuffer))
}

// WithConnections returns the limits with another number of connections, unless that is 0.
func (l Limits) WithConnections(n int) Limits {
	if n > 0 {
		l.Connections = n
	}
	return l
}

// ownDescriptors returns the number of descriptors that the process may have.
func ownDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}
