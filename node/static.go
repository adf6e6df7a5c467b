package node

import (
	"context"
	"sync"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/gateway"
)

// staticLimiter gives each node a fixed share of every organisation's rate and burst. It is
// the baseline that the fleet-wide limiter is compared with.
type staticLimiter struct {
	nodes        float64
	organisation func(api.OrganisationID) *api.Organisation

	mu      sync.Mutex
	buckets map[api.OrganisationID]*staticBucket
}

type staticBucket struct {
	level float64
	last  time.Time
}

func newStaticLimiter(nodes int, organisation func(api.OrganisationID) *api.Organisation) *staticLimiter {
	return &staticLimiter{
		nodes:        float64(max(nodes, 1)),
		organisation: organisation,
		buckets:      make(map[api.OrganisationID]*staticBucket),
	}
}

// Take returns a token of this node's share at once. Errors: Unauthenticated, RateLimited.
func (l *staticLimiter) Take(_ context.Context, id api.OrganisationID) (gateway.Token, error) {
	org := l.organisation(id)
	if org == nil {
		return nil, errkind.New(errkind.Unauthenticated, "organisation %s is not configured", id)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	b := l.buckets[id]
	if b == nil {
		b = &staticBucket{level: org.Burst / l.nodes, last: now}
		l.buckets[id] = b
	}
	b.level = min(org.Burst/l.nodes, b.level+org.Rate/l.nodes*now.Sub(b.last).Seconds())
	b.last = now
	if b.level < 1 {
		return nil, errkind.New(errkind.RateLimited, "organisation %s is beyond its share on this node", id)
	}
	b.level--
	return &staticToken{limiter: l, bucket: b}, nil
}

type staticToken struct {
	limiter *staticLimiter
	bucket  *staticBucket
}

// Settle has nothing to do: the token was spent when it was taken.
func (t *staticToken) Settle() {}

// Refund gives the token back.
func (t *staticToken) Refund() {
	t.limiter.mu.Lock()
	defer t.limiter.mu.Unlock()
	t.bucket.level++
}
