package gate

import (
	"context"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// Request says for whom a slot is wanted.
type Request struct {
	Organisation api.OrganisationID
	// Weight is the organisation's share; one that is not positive counts as 1.
	Weight float64
	// Priority is the rank of the request; a lower one is more urgent.
	Priority int
	// Objective is when the answer loses most of its worth; the zero time means never. A request
	// that cannot be answered by then is refused at once, while that is cheap for its caller.
	Objective time.Time
	// MaxWait bounds the wait of a request whose objective has passed; 0 means no bound.
	MaxWait time.Duration
}

// LatestStart is when a request has to start so that waiting for it is of use; zero means any time.
func (c Request) LatestStart(now time.Time, mean time.Duration) time.Time {
	switch {
	case c.MaxWait > 0:
		return now.Add(c.MaxWait)
	case !c.Objective.IsZero():
		return c.Objective.Add(-mean)
	}
	return time.Time{}
}

// checkDeadline refuses a request that would not be answered before its deadline, given
// the mean service time and its position in the queue.
func (g *Gate) checkDeadline(ctx context.Context, now time.Time, c Request) error {
	deadline, ok := ctx.Deadline()
	mean := g.limiter.times.mean
	if !ok || mean == 0 {
		return nil
	}
	turns := time.Duration(g.queue.Ahead(c) + 1)
	wait := mean * turns / time.Duration(g.limiter.limit())
	if latest := c.LatestStart(now, mean); !latest.IsZero() && now.Add(wait).After(latest) {
		return errkind.New(errkind.Overloaded, "queue needs %v, of use for %v; %d of %d slots in use",
			wait, latest.Sub(now), g.running, g.limiter.limit())
	}
	need := wait + mean
	if deadline.Sub(now) >= need {
		return nil
	}
	return errkind.New(errkind.DeadlineExceeded, "queue needs %v, deadline is in %v; %d of %d slots in use",
		need, deadline.Sub(now), g.running, g.limiter.limit())
}

// withLatestStart ends the wait when the mean service time no longer fits before the deadline:
// a request that starts later takes a slot and is most likely cut off in its work.
func withLatestStart(ctx context.Context, mean time.Duration, latest time.Time) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if ok {
		deadline = deadline.Add(-mean)
	}
	if !latest.IsZero() && (!ok || latest.Before(deadline)) {
		deadline, ok = latest, true
	}
	if !ok {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, deadline)
}
