package daemon

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// pendingListener is a TCP listener that can end without resetting the connections that the system has accepted for it
// and the process has not.
type pendingListener struct {
	*net.TCPListener
	ending atomic.Bool
}

// Accept implements net.Listener. After end it returns the connections that are pending, then closes the listener and
// returns net.ErrClosed.
func (l *pendingListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err == nil || !l.ending.Load() {
		return conn, err
	}
	if conn, err = l.acceptPending(); err == nil {
		return conn, nil
	}
	_ = l.Close()
	return nil, net.ErrClosed
}

func (l *pendingListener) end() {
	l.ending.Store(true)
	_ = l.SetDeadline(time.Unix(1, 0)) // wakes Accept
}

// acceptPending returns a connection that is pending. Errors: EAGAIN when there is none, and those of accept.
func (l *pendingListener) acceptPending() (net.Conn, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, errors.Trace(err)
	}
	fd := -1
	var acceptErr error
	err = raw.Control(func(listener uintptr) {
		fd, _, acceptErr = syscall.Accept4(int(listener), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		for acceptErr == syscall.EINTR || acceptErr == syscall.ECONNABORTED {
			fd, _, acceptErr = syscall.Accept4(int(listener), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		}
	})
	if err == nil {
		err = acceptErr
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	f := os.NewFile(uintptr(fd), "connection")
	defer f.Close()
	conn, err := net.FileConn(f) // has a descriptor of its own
	return conn, errors.Trace(err)
}
