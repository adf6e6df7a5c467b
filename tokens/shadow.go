package tokens

import "time"

// reportLagShare divides the span into the time by which a report may trail the arrivals
// that it counts: one heartbeat, the wait for the next member when that is lost, and the
// delay of messages. With the default timing that is 375 ms; with 250 ms a lost heartbeat
// and 30 ms of delay already made an organisation within its rate look exhausted.
const reportLagShare = 2

// shadow is the bucket that would limit an organisation if all its requests met one
// central bucket: refilled at the rate up to the burst, one token for each arrival. It
// decides only whether waiting is of use; tokens are issued from the level of the bucket.
type shadow struct {
	rate     float64 // tokens per second
	capacity float64 // tokens
	level    float64
	last     time.Time
	// empty says that the last reported arrivals exceeded the level.
	empty bool
}

// configure sets rate and burst. Arrivals are reported up to lag late, so the capacity
// includes the refill of that time; otherwise the refill that passes a full bucket before a
// report would be missing for its arrivals, and they would look excessive.
func (s *shadow) configure(now time.Time, rate, burst float64, lag time.Duration) {
	fresh := s.last.IsZero()
	s.refill(now)
	s.rate, s.capacity = rate, burst+rate*lag.Seconds()
	s.level = min(s.level, s.capacity)
	if fresh {
		s.level = s.capacity
	}
}

func (s *shadow) refill(now time.Time) {
	if elapsed := now.Sub(s.last); elapsed > 0 {
		s.level = min(s.level+s.rate*elapsed.Seconds(), s.capacity)
		s.last = now
	}
}

// arrive takes a token for each of n arrivals. At level 0 the others would have been refused.
func (s *shadow) arrive(now time.Time, n int64) {
	s.refill(now)
	s.level -= float64(n)
	s.empty = s.level < 0
	s.level = max(s.level, 0)
}
