package connlimit

import (
	"syscall"
	"time"

	"github.com/juju/errors"
)

const (
	firstAcceptPause = 5 * time.Millisecond
	maxAcceptPause   = time.Second
)

// AcceptPause is the pause after a failure to accept a connection, which doubles with each failure in succession.
type AcceptPause struct{ next time.Duration }

// After returns the pause after an error of accept; false if accepting cannot go on. A connection that is not at work is closed
// when the process has run out of descriptors or memory.
func (a *AcceptPause) After(err error, g *Group) (time.Duration, bool) {
	switch {
	case errors.Is(err, syscall.EMFILE):
		g.Relieve(true)
	case errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.ENOBUFS), errors.Is(err, syscall.ENOMEM):
		g.Relieve(false)
	case errors.Is(err, syscall.ECONNABORTED), errors.Is(err, syscall.ECONNRESET):
	default:
		return 0, false
	}
	a.next = min(max(2*a.next, firstAcceptPause), maxAcceptPause)
	return a.next, true
}

// Reset ends a succession of failures, after a connection was accepted.
func (a *AcceptPause) Reset() { a.next = 0 }
