package tokens

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zinniapier/zinniapier/api"
)

const (
	// StandaloneAfter is the time without an issuing leader after which a node admits its share of
	// each organisation's rate by itself. It is longer than ReserveAfter, so that the leader has
	// set the share of a node that is cut off aside before the node uses it.
	StandaloneAfter = 1500 * time.Millisecond
	// ReserveAfter is the silence of a session after which a leader sets its share aside.
	ReserveAfter = time.Second
	// standaloneShare of its part of the rate is what such a node admits; the rest covers nodes
	// that do not agree on their number.
	standaloneShare = 0.9
)

// standalone holds the local buckets of a node that has no issuing leader.
type standalone struct {
	// nodes returns the number of nodes that share the rates; nil switches the buckets off.
	nodes func() int

	mu      sync.Mutex
	known   bool      // a leader has issued tokens to this node
	last    time.Time // when the leader was last known to issue
	buckets map[api.OrganisationID]*localBucket
}

// localBucket is this node's share of one organisation's rate and burst.
type localBucket struct {
	level float64
	last  time.Time
}

// heard notes that a leader issues tokens; the heartbeat that it answered was sent at the time.
func (s *standalone) heard(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last, s.known = at, true
	clear(s.buckets)
}

// active says whether the node admits by itself, and if not, when it will.
func (s *standalone) active(now time.Time) (bool, time.Duration) {
	if s.nodes == nil {
		return false, maxTakeWait
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	until := s.last.Add(StandaloneAfter).Sub(now)
	return until <= 0, until
}

// take says whether the node's share of the organisation bears one more request. The share is the one
// that a leader has told; a node that was told none has an even one, or next to none when leaders have
// told others theirs.
func (s *standalone) take(now time.Time, o *api.Organisation, share float64, told bool) bool {
	n := float64(max(s.nodes(), 1))
	s.mu.Lock()
	defer s.mu.Unlock()
	if !told && !s.known {
		share = 1 / n
	}
	mine := standaloneShare * part(share, n)
	rate, burst := mine*o.Rate, max(mine*o.Burst, 1)
	b := s.buckets[o.ID]
	if b == nil {
		// The share of the time without a leader has not been used; the burst may have been.
		b = &localBucket{level: min(rate*StandaloneAfter.Seconds(), burst), last: now}
		s.buckets[o.ID] = b
	}
	b.level = min(b.level+rate*now.Sub(b.last).Seconds(), burst)
	b.last = now
	if b.level < 1 {
		// In a large fleet each node has a small part of a token. It admits one with that probability, so
		// that all of them together admit as many as they may, however many requests there are.
		chance := b.level
		b.level = 0
		return rand.Float64() < chance
	}
	b.level--
	return true
}
