package egress

import (
	"context"
	"math"
	"runtime/debug"
	"sync"
	"time"
)

const (
	// maxMemory limits the memory in bytes for large responses that wait for the link.
	maxMemory = 16 << 20
	// memoryDivisor divides the memory limit of the process into the memory for large responses.
	memoryDivisor = 8
)

// Options configure a link.
type Options struct {
	// LinkMbps is the speed of the link in Mbit/s. It must be positive.
	LinkMbps float64
	// MemoryLimit is the memory limit of the process in bytes; 0 means that of debug.SetMemoryLimit.
	MemoryLimit int64
}

// Link paces the large responses that leave over the link of the host. It is safe for concurrent use.
type Link struct {
	memory *Memory

	mu        sync.Mutex
	scheduler *Scheduler
	timer     *time.Timer
}

// NewLink returns a link.
func NewLink(o Options) *Link {
	limit := o.MemoryLimit
	if limit <= 0 {
		limit = debug.SetMemoryLimit(-1)
	}
	if limit <= 0 {
		limit = math.MaxInt64
	}
	l := &Link{scheduler: NewScheduler(o.LinkMbps), memory: &Memory{limit: min(maxMemory, limit/memoryDivisor)}}
	l.timer = time.AfterFunc(time.Hour, l.wake)
	return l
}

// Memory returns the memory for large responses that wait for the link.
func (l *Link) Memory() *Memory { return l.memory }

// Open registers a transfer of the given length in bytes, negative if unknown. Close must be called.
func (l *Link) Open(t *Transfer, length int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scheduler.Open(t, length)
}

// Close removes a transfer, sent or not.
func (l *Link) Close(t *Transfer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scheduler.Close(t)
}

// Wait returns when the next chunk of the transfer may be sent. It returns the error of ctx if that ends first.
func (l *Link) Wait(ctx context.Context, t *Transfer, chunk int) error {
	ready := make(chan struct{})
	l.mu.Lock()
	t.ready = ready
	l.scheduler.Request(time.Now(), t, int64(chunk))
	l.grant()
	l.mu.Unlock()
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.scheduler.Withdraw(t) {
		return nil // granted while ctx ended
	}
	return ctx.Err()
}

// Reserve books the link for a response that is about to be processed, and returns when it is expected to have been sent.
// If that is too late, nothing is booked; otherwise release must be called once, when its transfer is open or will not be.
func (l *Link) Reserve(d Demand) (took time.Duration, release func(), ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	took, ok = l.scheduler.Reserve(time.Now(), d)
	if !ok {
		return took, nil, false
	}
	return took, sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.scheduler.Release(d)
	}), true
}

// Check returns what Reserve would, and books nothing.
func (l *Link) Check(d Demand) (took time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.scheduler.Check(time.Now(), d)
}

// LargeWait returns how long one more large response would wait for the link.
func (l *Link) LargeWait() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.scheduler.Wait(time.Now(), math.MaxInt)
}

// Count records bytes of other traffic that are sent over the link.
func (l *Link) Count(bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scheduler.Count(time.Now(), bytes)
}

// Backlog returns the bytes of large responses that have not been sent.
func (l *Link) Backlog() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.scheduler.Backlog()
}

func (l *Link) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grant()
}

// grant grants the chunks that are due, and sets the timer for the next one. The caller holds the lock.
func (l *Link) grant() {
	for {
		t, wait := l.scheduler.Next(time.Now())
		if t == nil {
			if wait > 0 {
				l.timer.Reset(wait)
			}
			return
		}
		close(t.ready)
	}
}
