// Package egress decides which large response is sent next over the link of a host, and when, so that small responses,
// heartbeats and leases do not wait behind large responses.
package egress

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// ChunkSize is the number of bytes of a large response that are sent at once. A link of 8.6 Mbit/s takes 15 ms for it,
	// which is the longest wait of a small response behind large ones.
	ChunkSize = 16 << 10
	// LargeSize is the size in bytes above which a response is large.
	LargeSize = 32 << 10
	// linkShare is the share of the link for all counted traffic. The rest is for heartbeats, leases, configurations and
	// the overhead of the protocols, which are not counted.
	linkShare = 0.85
	// minShare is the share of the link that large responses get even if other traffic fills it.
	minShare = 0.1
	// maxDebt bounds by how much counted traffic may be ahead of the share of the link, beyond what the link cannot have sent yet.
	maxDebt = time.Second
	// oldestEvery is the interval, in chunks, at which the transfer that has waited longest is next, whatever its order:
	// an eighth of the bandwidth keeps every transfer going and delays those in time by no more than a seventh.
	oldestEvery = 8
	// rateWindow is the time constant of the mean rate of other traffic.
	rateWindow = time.Second
)

// Transfer is one large response that is being sent.
type Transfer struct {
	// Priority is the rank of the request; lower values are sent first.
	Priority int
	// Objective is the time by which the response should have been sent; zero for none.
	Objective time.Time
	// Deadline is the time after which the response is of no use; zero for none.
	Deadline time.Time

	remaining    int64 // bytes not yet granted, as far as known
	chunk        int64 // bytes of the chunk that waits
	waitingSince time.Time
	ready        chan struct{} // closed when the chunk that waits may be sent
}

// Scheduler decides which transfer sends its next chunk, and when. It does no I/O, takes the time as an argument and is
// not safe for concurrent use.
//
// Load pattern: bursts of responses of some ten to some hundred KB share the link of a host with several hundred small
// responses a second. Unpaced, a small response waits for all bytes of the large ones that the kernel has taken; first
// come first served, one response of 540 KB makes several others late.
//
// The order is: priority, earliest objective that can still be met, earliest deadline that can still be met. Transfers that
// miss their deadline get the bandwidth that is left, and each eighth chunk goes to the transfer that has waited longest.
type Scheduler struct {
	linkRate float64 // bytes per second of the link
	rate     float64 // bytes per second for all counted traffic
	minRate  float64 // bytes per second that large responses get in any case

	freeAt   time.Time // when the counted traffic so far will have left at its share of the link
	sentAt   time.Time // when the link can have sent the counted traffic so far
	latestAt time.Time // when the next chunk may leave even if other traffic fills the link
	others   rateAverage
	waiting  []*Transfer
	chunks   int
	backlog  int64 // bytes of open transfers that have not been granted
	// expected holds, by priority, the bytes that have not been granted, with those reserved.
	expected map[int]int64
}

// NewScheduler returns a scheduler for a link of the speed in Mbit/s, which must be positive.
func NewScheduler(linkMbps float64) *Scheduler {
	bytesPerSecond := linkMbps * 1e6 / 8
	return &Scheduler{
		linkRate: bytesPerSecond, rate: bytesPerSecond * linkShare, minRate: bytesPerSecond * minShare, expected: make(map[int]int64),
	}
}

// Open registers a transfer of the given length in bytes, negative if unknown.
func (s *Scheduler) Open(t *Transfer, length int64) {
	s.grow(t, max(length, 0))
}

// grow adds bytes to what remains of a transfer; a negative number takes them off.
func (s *Scheduler) grow(t *Transfer, bytes int64) {
	t.remaining += bytes
	s.backlog += bytes
	s.expect(t.Priority, bytes)
}

func (s *Scheduler) expect(priority int, bytes int64) {
	if s.expected[priority] += bytes; s.expected[priority] == 0 {
		delete(s.expected, priority)
	}
}

// Close removes a transfer, sent or not.
func (s *Scheduler) Close(t *Transfer) {
	s.Withdraw(t)
	s.grow(t, -t.remaining)
}

// Request registers that the transfer has a chunk of the given length to send.
func (s *Scheduler) Request(now time.Time, t *Transfer, chunk int64) {
	s.settle(now)
	s.grow(t, max(chunk-t.remaining, 0))
	t.chunk, t.waitingSince = chunk, now
	s.waiting = append(s.waiting, t)
}

// Withdraw cancels a Request and reports whether its chunk was still waiting.
func (s *Scheduler) Withdraw(t *Transfer) bool {
	i := slices.Index(s.waiting, t)
	if i < 0 {
		return false
	}
	s.waiting = slices.Delete(s.waiting, i, i+1)
	return true
}

// Count records bytes of other traffic that have been sent over the link.
func (s *Scheduler) Count(now time.Time, bytes int64) {
	s.settle(now)
	s.others.add(now, bytes)
	s.advance(now, bytes)
}

// advance moves the clocks by bytes that are sent now. While traffic exceeds its share of the link, freeAt stays within
// maxDebt of what the link can have sent: otherwise a minute of it would make the link look busy for seconds afterwards.
func (s *Scheduler) advance(now time.Time, bytes int64) {
	if s.sentAt.Before(now) {
		s.sentAt = now
	}
	s.sentAt = s.sentAt.Add(duration(bytes, s.linkRate))
	s.freeAt = earlier(s.freeAt.Add(duration(bytes, s.rate)), s.sentAt.Add(maxDebt))
}

// Next returns the transfer whose chunk is to be sent now. Without one it returns how long to wait until the next may be
// sent, or zero if none waits.
func (s *Scheduler) Next(now time.Time) (t *Transfer, wait time.Duration) {
	if len(s.waiting) == 0 {
		return nil, 0
	}
	s.settle(now)
	if wait := earlier(s.freeAt, s.latestAt).Sub(now); wait > 0 {
		return nil, wait
	}
	t = s.pick(now)
	s.Withdraw(t)
	s.chunks++
	s.advance(now, t.chunk)
	s.latestAt = now.Add(duration(t.chunk, s.minRate))
	s.grow(t, -t.chunk)
	return t, 0
}

// settle forgets bandwidth that was not used. While transfers wait, that of one chunk is kept, so that a timer that
// fires late does not lower the rate.
func (s *Scheduler) settle(now time.Time) {
	unused := now
	if len(s.waiting) > 0 {
		unused = now.Add(-duration(ChunkSize, s.rate))
	}
	if s.freeAt.Before(unused) {
		s.freeAt = unused
	}
}

func (s *Scheduler) pick(now time.Time) *Transfer {
	if (s.chunks+1)%oldestEvery == 0 {
		return slices.MinFunc(s.waiting, func(a, b *Transfer) int { return a.waitingSince.Compare(b.waitingSince) })
	}
	rest := slices.Clone(s.waiting)
	slices.SortStableFunc(rest, func(a, b *Transfer) int { return cmp.Compare(a.Priority, b.Priority) })
	for len(rest) > 0 {
		n := len(rest)
		if i := slices.IndexFunc(rest, func(t *Transfer) bool { return t.Priority != rest[0].Priority }); i > 0 {
			n = i
		}
		if t := s.firstInTime(now, rest[:n], func(t *Transfer) time.Time { return t.Objective }); t != nil {
			return t
		}
		if t := s.firstInTime(now, rest[:n], func(t *Transfer) time.Time { return t.Deadline }); t != nil {
			return t
		}
		rest = rest[n:]
	}
	return slices.MinFunc(s.waiting, func(a, b *Transfer) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.remaining, b.remaining))
	})
}

// firstInTime returns the first transfer of a set that can meet their limits one after the other; nil if there is none.
// Where not all can, the longest is left out, so that as many as possible are in time (rule of Moore and Hodgson).
// Transfers without a limit are never late and come last. All must have the same priority.
func (s *Scheduler) firstInTime(now time.Time, transfers []*Transfer, limit func(*Transfer) time.Time) *Transfer {
	ordered := slices.Clone(transfers)
	slices.SortStableFunc(ordered, func(a, b *Transfer) int {
		return cmp.Or(compareLimits(limit(a), limit(b)), cmp.Compare(a.remaining, b.remaining))
	})
	rate := s.available(now)
	inTime := ordered[:0:0]
	var sum int64
	for _, t := range ordered {
		inTime = append(inTime, t)
		sum += t.remaining
		if limit(t).IsZero() || !now.Add(duration(sum, rate)).After(limit(t)) {
			continue
		}
		longest := 0
		for k := range inTime {
			if inTime[k].remaining >= inTime[longest].remaining {
				longest = k
			}
		}
		sum -= inTime[longest].remaining
		inTime = slices.Delete(inTime, longest, longest+1)
	}
	if len(inTime) == 0 {
		return nil
	}
	return inTime[0]
}

// compareLimits puts the earlier time first, and no time last.
func compareLimits(a, b time.Time) int {
	switch {
	case a.IsZero() && b.IsZero():
		return 0
	case a.IsZero():
		return 1
	case b.IsZero():
		return -1
	}
	return a.Compare(b)
}

// available returns the rate in bytes per second that other traffic leaves to large responses.
func (s *Scheduler) available(now time.Time) float64 {
	return max(s.rate-s.others.rate(now), s.minRate)
}

// Backlog returns the bytes of large responses that have not been sent.
func (s *Scheduler) Backlog() int64 { return s.backlog }

// duration returns the time that the bytes take at a rate.
func duration(bytes int64, rate float64) time.Duration {
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// rateAverage is a decaying mean of bytes per second.
type rateAverage struct {
	value float64
	last  time.Time
}

func (r *rateAverage) add(now time.Time, bytes int64) {
	r.value, r.last = r.rate(now)+float64(bytes)/rateWindow.Seconds(), now
}

func (r *rateAverage) rate(now time.Time) float64 {
	return r.value * math.Exp(-max(now.Sub(r.last), 0).Seconds()/rateWindow.Seconds())
}
