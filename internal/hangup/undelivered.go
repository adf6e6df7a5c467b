package hangup

import (
	"net"

	"golang.org/x/sys/unix"
)

// ResetIfUndelivered makes the next Close of a connection reset it if bytes that were written have not arrived: the end of the
// connection would stand behind them, and a peer that does not read would never learn of it. Where that cannot be told, Close
// ends the connection in order.
func ResetIfUndelivered(conn net.Conn) {
	raw := rawConn(conn)
	if raw == nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		if undelivered, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil && undelivered > 0 {
			_ = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		}
	})
}
