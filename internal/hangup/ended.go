package hangup

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpCloseWait is the state of a socket whose peer has ended its sending side in order, TCP_CLOSE_WAIT in tcp_states.h.
const tcpCloseWait = 8

// EndedInOrder reports whether the peer has ended its sending side in order, so that an end which was read is the end of what
// it sent. After a reset, a write may have taken the error of the socket, and a read then reports an end as well. It returns
// false where that cannot be told.
func EndedInOrder(conn net.Conn) bool {
	raw := rawConn(conn)
	if raw == nil {
		return false
	}
	inOrder := false
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		inOrder = err == nil && info.State == tcpCloseWait
	})
	return inOrder
}

// ResetOnClose makes the next Close of the connection of the request with the context reset it. It does nothing where the
// context has no connection.
func ResetOnClose(ctx context.Context) {
	raw, ok := ctx.Value(contextKey{}).(syscall.RawConn)
	if !ok {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	})
}
