package gate

import (
	"context"
	"time"

	"github.com/zinniapier/zinniapier/errkind"
)

// Preview describes what a gate would do with a request that arrives now.
type Preview struct {
	Stats Stats
	// Starts is true if the request would get a slot at once.
	Starts bool
	// Ahead is the number of waiting requests that would be served before it.
	Ahead int
	// Wait is its estimated wait in the queue.
	Wait time.Duration
	// Mean is the mean service time; 0 before the first response.
	Mean time.Duration
	// NamedRate is the limit in requests per second that the target has named; 0 for none.
	NamedRate float64
	// Err is the refusal; nil if the request would start or wait. Errors: Overloaded, DeadlineExceeded.
	Err *errkind.Error
}

// Preview returns what AcquireFor would do now, by the same rules. It changes nothing: the ramp of a cold target, which
// a request that arrives may move, is moved in a copy.
func (g *Gate) Preview(ctx context.Context, r Request) Preview {
	if r.Weight <= 0 {
		r.Weight = 1
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	l := g.limiter
	l.advance(now)
	p := Preview{Stats: g.stats(&l), Starts: g.startsAtOnce(now, &l), Mean: l.times.mean, NamedRate: g.namedRate.perSecond()}
	if p.Starts {
		return p
	}
	p.Ahead = g.queue.Ahead(r)
	p.Wait = max(g.estimatedWait(now, &l, r), g.startWait(now))
	err := g.checkDeadline(ctx, now, &l, r)
	if err == nil {
		err = g.checkQueueSpace(r)
	}
	if err != nil {
		p.Err = errkind.From(err)
	}
	return p
}
