package egress

import (
	"slices"
	"sync"
	"time"
)

// Demand is what a request would ask of the link.
type Demand struct {
	Priority int
	// Bytes is the expected size of the response.
	Bytes int64
	// Processing is the expected time until the response is ready.
	Processing time.Duration
	// Latest is the time by which the response must have been sent; zero for none.
	Latest time.Time
}

// Reserve books the link for a response, and returns the time after which it is expected to have been sent: the wait for
// the bytes before it, the processing and the transfer. If that is after the latest time, nothing is booked and ok is
// false.
//
// Load pattern: bursts of requests for large responses whose link is taken for longer than they can wait. Run and sent
// late, they take the slots and the bandwidth of those that follow; refused before they run, they are in time at
// another target. Where no other target is left, the latest time should be the deadline: with the objective, bursts
// beyond the links would lose what the scheduler still delivers.
func (s *Scheduler) Reserve(now time.Time, d Demand) (took time.Duration, ok bool) {
	took, ok = s.Check(now, d)
	if ok {
		s.expect(d.Priority, d.Bytes)
	}
	return took, ok
}

// Check returns what Reserve would, and books nothing.
func (s *Scheduler) Check(now time.Time, d Demand) (took time.Duration, ok bool) {
	took = s.Wait(now, d.Priority) + d.Processing + duration(d.Bytes, s.available(now))
	return took, d.Latest.IsZero() || !now.Add(took).After(d.Latest)
}

// Release cancels a reservation.
func (s *Scheduler) Release(d Demand) { s.expect(d.Priority, -d.Bytes) }

// Wait returns how long a large response of the priority would wait for the link: for those of the same and more urgent
// priorities that are open or reserved, and for other traffic that has been counted.
func (s *Scheduler) Wait(now time.Time, priority int) time.Duration {
	var ahead int64
	for p, bytes := range s.expected {
		if p <= priority {
			ahead += bytes
		}
	}
	return max(s.freeAt.Sub(now), 0) + duration(ahead, s.available(now))
}

const (
	// maxRoutes limits the routes whose sizes are known. Beyond it all are learned again.
	maxRoutes = 1024
	// sizeWindow is the number of responses whose sizes are kept for a route.
	sizeWindow = 64
	// sizeInterval is the number of responses between two computations of the tail.
	sizeInterval = 8
	// minSizes is the number of responses before the size of a route counts as known.
	minSizes = 4
	// tailShare is the share of responses that are no larger than the tail.
	tailShare = 0.95
	// meanWeight is the number of responses in the mean.
	meanWeight = 32
)

// Sizes learns the sizes of responses by route. The zero value knows none. It is safe for concurrent use.
type Sizes struct {
	mu      sync.RWMutex
	byRoute map[routeKey]*routeSize
}

type routeKey struct{ service, route string }

type routeSize struct {
	window [sizeWindow]int64
	count  int
	mean   float64
	tail   int64
}

// Observe records the size of a response.
func (s *Sizes) Observe(service, route string, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := routeKey{service, route}
	r := s.byRoute[key]
	if r == nil {
		if s.byRoute == nil || len(s.byRoute) >= maxRoutes {
			s.byRoute = make(map[routeKey]*routeSize)
		}
		r = new(routeSize)
		s.byRoute[key] = r
	}
	r.add(bytes)
}

func (r *routeSize) add(bytes int64) {
	r.window[r.count%sizeWindow] = bytes
	r.count++
	r.mean += (float64(bytes) - r.mean) / float64(min(r.count, meanWeight))
	if r.count > sizeInterval && r.count%sizeInterval != 0 {
		return
	}
	n := min(r.count, sizeWindow)
	sorted := r.window
	slices.Sort(sorted[:n])
	r.tail = sorted[min(int(float64(n)*tailShare), n-1)]
}

// Expected returns the mean size and the tail, the size that one response in twenty exceeds; zeros if they are not known.
func (s *Sizes) Expected(service, route string) (mean, tail int64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	r := s.byRoute[routeKey{service, route}]
	if r == nil || r.count < minSizes {
		return 0, 0
	}
	return int64(r.mean), r.tail
}

// Large reports whether the route has large responses, by its tail.
func (s *Sizes) Large(service, route string) bool {
	_, tail := s.Expected(service, route)
	return tail > LargeSize
}
