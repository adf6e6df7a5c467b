package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// processTime returns the user and system time of this process so far.
func processTime() time.Duration {
	var u syscall.Rusage
	// Getrusage of the own process fails only for a bad address.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveHeap returns the bytes of the heap that survive a garbage collection.
func liveHeap() float64 {
	var m runtime.MemStats
	// The first collection moves pooled objects to the victim cache, the second frees them.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// heapOf returns the bytes that the result of build keeps alive.
func heapOf[T any](build func() T) float64 {
	before := liveHeap()
	v := build()
	after := liveHeap()
	runtime.KeepAlive(v)
	return after - before
}

func allocated() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}

// cost is the mean cost of one operation.
type cost struct {
	microseconds float64 // processor time
	bytes        float64 // allocated
}

// repeat runs f for at least the given time. The processor time includes the garbage
// collection that f causes.
func repeat(atLeast time.Duration, f func() error) (cost, error) {
	if err := f(); err != nil {
		return cost{}, err
	}
	runtime.GC()
	n := 0
	start, used, bytes := time.Now(), processTime(), allocated()
	for time.Since(start) < atLeast || n < 3 {
		if err := f(); err != nil {
			return cost{}, err
		}
		n++
	}
	return cost{
		microseconds: microseconds(processTime()-used) / float64(n),
		bytes:        float64(allocated()-bytes) / float64(n),
	}, nil
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
