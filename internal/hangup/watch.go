package hangup

import (
	"context"
	"net/http"
	"os"
	"sync"
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// ErrClosed is the cause with which the context of a request ends once its connection has been closed.
var ErrClosed = errors.New("connection closed by its peer")

// Handler ends the context of a request once the peer has closed its connection, also while the body or the next request has
// not been read. It needs the ConnContext of this package.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, ok := r.Context().Value(contextKey{}).(syscall.RawConn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		defer watchConn(raw, func() { cancel(ErrClosed) })()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// sharedWatcher returns the watcher of the process.
var sharedWatcher = sync.OnceValues(newWatcher)

// watchConn calls closed, at most once, when the peer has closed the connection. The returned function ends the watch and must
// be called before the process closes the connection. Without a watcher nothing is watched.
func watchConn(raw syscall.RawConn, closed func()) (stop func()) {
	w, err := sharedWatcher()
	if err != nil {
		return func() {}
	}
	return w.watch(raw, closed)
}

// watcher waits for the ends of many connections. Bytes that arrive do not wake it.
type watcher struct {
	epoll int

	mu     sync.Mutex
	last   uint64            // the last key used; none is used twice
	closed map[uint64]func() // by the key of the watch
}

// newWatcher returns a watcher that lasts as long as the process. Errors: those of the system.
func newWatcher() (*watcher, error) {
	fd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, errors.Annotate(err, "watch for closed connections")
	}
	if err := unix.SetNonblock(fd, true); err != nil {
		return nil, errors.Annotate(err, "watch for closed connections")
	}
	events, err := os.NewFile(uintptr(fd), "closed connections").SyscallConn()
	if err != nil {
		return nil, errors.Annotate(err, "watch for closed connections")
	}
	w := &watcher{epoll: fd, closed: make(map[uint64]func())}
	go w.run(events)
	return w, nil
}

func (w *watcher) watch(raw syscall.RawConn, closed func()) (stop func()) {
	key := w.add(closed)
	err := raw.Control(func(fd uintptr) {
		event := unix.EpollEvent{Events: unix.EPOLLRDHUP | unix.EPOLLONESHOT, Fd: int32(key), Pad: int32(key >> 32)}
		// Without a watch the request goes on as if its caller stayed.
		_ = unix.EpollCtl(w.epoll, unix.EPOLL_CTL_ADD, int(fd), &event)
	})
	if err != nil {
		closed() // the process itself has closed the connection
	}
	return func() {
		w.remove(key)
		_ = raw.Control(func(fd uintptr) { _ = unix.EpollCtl(w.epoll, unix.EPOLL_CTL_DEL, int(fd), nil) })
	}
}

func (w *watcher) add(closed func()) (key uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last++
	w.closed[w.last] = closed
	return w.last
}

// remove ends a watch and returns what it calls; nil if it has ended.
func (w *watcher) remove(key uint64) (closed func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	closed = w.closed[key]
	delete(w.closed, key)
	return closed
}

// run calls the functions of the watches whose connections have been closed.
func (w *watcher) run(events syscall.RawConn) {
	var batch [64]unix.EpollEvent
	for {
		var n int
		err := events.Read(func(uintptr) bool {
			n, _ = unix.EpollWait(w.epoll, batch[:], 0)
			return n > 0
		})
		if err != nil {
			return
		}
		for _, e := range batch[:n] {
			if closed := w.remove(uint64(uint32(e.Fd)) | uint64(uint32(e.Pad))<<32); closed != nil {
				closed()
			}
		}
	}
}
