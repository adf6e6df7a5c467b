// Package hangup tells whether the peer of a connection has closed it, without reading from the connection. A server that
// reads learns of the close only after all bytes before it, and the server of net/http only once it has read the body of the
// request.
package hangup

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

type contextKey struct{}

// ConnContext is the ConnContext of an http.Server whose handlers ask Closed.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	raw := rawConn(conn)
	if raw == nil {
		return ctx
	}
	return context.WithValue(ctx, contextKey{}, raw)
}

// rawConn returns the socket of a connection, also of a wrapped one; nil if there is none.
func rawConn(conn net.Conn) syscall.RawConn {
	for conn != nil {
		if socket, ok := conn.(syscall.Conn); ok {
			raw, err := socket.SyscallConn()
			if err != nil {
				return nil
			}
			return raw
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = wrapper.NetConn()
	}
	return nil
}

// Closed reports whether the peer has closed or reset the connection of the request with the context, or has ended its
// sending side. It returns false where that cannot be told.
func Closed(ctx context.Context) bool {
	raw, ok := ctx.Value(contextKey{}).(syscall.RawConn)
	if !ok {
		return false
	}
	closed := false
	err := raw.Control(func(fd uintptr) { closed = polledClosed(int32(fd)) })
	return closed || err != nil // the process itself has closed it
}

func polledClosed(fd int32) bool {
	fds := []unix.PollFd{{Fd: fd, Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// ResetOnClose makes the close of the connection of the request with the context a reset, which discards what has not been
// sent. It does nothing where the connection is not known.
func ResetOnClose(ctx context.Context) {
	if raw, ok := ctx.Value(contextKey{}).(syscall.RawConn); ok {
		_ = raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		})
	}
}
