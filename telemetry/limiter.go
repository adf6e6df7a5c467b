package telemetry

import (
	"sync"
	"time"
)

// Limiter bounds the lines of one sort per second. The zero value allows none.
type Limiter struct {
	// PerSecond is the number of lines allowed in each second.
	PerSecond int

	mu      sync.Mutex
	second  int64 // Unix seconds
	used    int
	omitted int64
}

// Allow reports whether a line may be written now, and how many were left out since the last one.
func (l *Limiter) Allow(now time.Time) (ok bool, omitted int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second {
		l.second, l.used = second, 0
	}
	if l.used >= l.PerSecond {
		l.omitted++
		return false, 0
	}
	l.used++
	omitted, l.omitted = l.omitted, 0
	return true, omitted
}
