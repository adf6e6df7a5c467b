package tokens

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zinniapier/zinniapier/api"
)

const (
	// StandaloneAfter is the time without contact to an issuing leader after which a node admits its
	// local share of each rate by itself. It is longer than ReserveAfter, so that the leader has
	// reserved the share of an unreachable node before the node uses it.
	StandaloneAfter = 1500 * time.Millisecond
	// ReserveAfter is the time without contact to a session after which a leader reserves its share.
	ReserveAfter = time.Second
	// standaloneShare is the fraction of its local share that a node admits; the rest allows for
	// nodes that disagree on the number of nodes.
	standaloneShare = 0.9
)

// standaloneBuckets are the local token buckets of a node that has no issuing leader.
type standaloneBuckets struct {
	// nodes returns the number of nodes that share the rates; nil disables the buckets.
	nodes func() int

	mu          sync.Mutex
	hadLeader   bool      // a leader has issued tokens to this node before
	lastContact time.Time // send time of the last heartbeat that an issuing leader replied to
	buckets     map[api.OrganisationID]*localBucket
}

// localBucket is this node's bucket for its share of one organisation's rate and burst.
type localBucket struct {
	level float64
	last  time.Time
}

// recordContact records that an issuing leader replied to a heartbeat sent at the given time, and
// discards the local buckets.
func (s *standaloneBuckets) recordContact(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastContact, s.hadLeader = at, true
	clear(s.buckets)
}

// active reports whether the node admits by itself, and the time until it does; with no node count it
// never does and the time is maxTakeWait.
func (s *standaloneBuckets) active(now time.Time) (bool, time.Duration) {
	if s.nodes == nil {
		return false, maxTakeWait
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	until := s.lastContact.Add(StandaloneAfter).Sub(now)
	return until <= 0, until
}

// take takes a token from the local bucket and reports whether the request is admitted. share is the
// one that a leader has sent. A node that was sent none uses 1/n if it never had a leader, else only
// its part of evenShare, since leaders have sent shares to other nodes.
func (s *standaloneBuckets) take(now time.Time, o *api.Organisation, share float64, shareKnown bool) bool {
	n := float64(max(s.nodes(), 1))
	s.mu.Lock()
	defer s.mu.Unlock()
	if !shareKnown && !s.hadLeader {
		share = 1 / n
	}
	fraction := standaloneShare * localShare(share, n)
	rate, burst := fraction*o.Rate, max(fraction*o.Burst, 1)
	b := s.buckets[o.ID]
	if b == nil {
		// The tokens of the time without a leader have not been used; the burst may have been. In a large fleet
		// each node has only a fraction of a token. A random fraction is added, so that all nodes together admit
		// what they may, and each node its part over time.
		b = &localBucket{level: rand.Float64(), last: s.lastContact}
		s.buckets[o.ID] = b
	}
	b.level = min(b.level+rate*now.Sub(b.last).Seconds(), burst)
	b.last = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
