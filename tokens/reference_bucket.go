package tokens

import "time"

// reportLagDivisor divides the token lifetime to give the maximum lag of a report behind the
// arrivals that it counts: one heartbeat, the wait for the next member if that is lost, and the
// delay of messages. With the default timing that is 375 ms; with 250 ms a lost heartbeat
// and 30 ms of delay already made an organisation within its rate look exhausted.
const reportLagDivisor = 2

// referenceBucket models the single central bucket that would limit an organisation if all its
// requests passed it: refilled at the rate up to the burst, one token per arrival. It decides only
// whether requests without a token wait or are refused; tokens are issued from bucket.level.
type referenceBucket struct {
	rate     float64 // tokens per second
	capacity float64 // tokens
	level    float64
	last     time.Time
	// empty is true if the last reported arrivals exceeded the level.
	empty bool
}

// configure sets rate and burst. Arrivals are reported with a delay of up to lag, so the capacity
// includes the refill of that time. Without it, refill lost at a full bucket before a report would be
// missing for the arrivals in that report, and they would look excessive.
func (s *referenceBucket) configure(now time.Time, rate, burst float64, lag time.Duration) {
	initial := s.last.IsZero()
	s.refill(now)
	s.rate, s.capacity = rate, burst+rate*lag.Seconds()
	s.level = min(s.level, s.capacity)
	if initial {
		s.level = s.capacity
	}
}

func (s *referenceBucket) refill(now time.Time) {
	if elapsed := now.Sub(s.last); elapsed > 0 {
		s.level = min(s.level+s.rate*elapsed.Seconds(), s.capacity)
		s.last = now
	}
}

// arrive takes a token for each of n arrivals. The level stops at 0, since a central bucket would have
// refused the rest.
func (s *referenceBucket) arrive(now time.Time, n int64) {
	s.refill(now)
	s.level -= float64(n)
	s.empty = s.level < 0
	s.level = max(s.level, 0)
}
