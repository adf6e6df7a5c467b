package gate

import (
	"context"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// Request describes a request that needs a slot.
type Request struct {
	Organisation api.OrganisationID
	// Weight is the share of the organisation; a value that is not positive counts as 1.
	Weight float64
	// Priority is the rank of the request; lower values are more urgent.
	Priority int
	// Objective is the time by which the response should arrive; zero means none. A request
	// that cannot meet it is refused at once, while a refusal is cheap for its caller.
	Objective time.Time
	// MaxWait bounds the time in the queue of a request whose objective has passed; 0 means no bound.
	MaxWait time.Duration
}

// LatestStart returns the latest time at which starting the request is still useful, given the
// mean service time; zero means any time.
func (r Request) LatestStart(now time.Time, mean time.Duration) time.Time {
	switch {
	case r.MaxWait > 0:
		return now.Add(r.MaxWait)
	case !r.Objective.IsZero():
		return r.Objective.Add(-mean)
	}
	return time.Time{}
}

// checkDeadline refuses a request that would miss its deadline or its latest start, given the
// mean service time and its position in the queue. The caller holds the lock.
func (g *Gate) checkDeadline(ctx context.Context, now time.Time, l *limiter, r Request) error {
	deadline, ok := ctx.Deadline()
	mean := l.times.mean
	if !ok || mean == 0 {
		return nil
	}
	wait := g.estimatedWait(now, l, r)
	if latest := r.LatestStart(now, mean); !latest.IsZero() && now.Add(wait).After(latest) {
		return errkind.New(errkind.Overloaded, "estimated queue wait %v exceeds the remaining %v; %d of %d slots in use",
			wait, latest.Sub(now), g.running, g.settledLimit(l))
	}
	required := wait + mean
	if deadline.Sub(now) >= required {
		return nil
	}
	return errkind.New(errkind.DeadlineExceeded, "estimated response time %v exceeds the deadline in %v; %d of %d slots in use",
		required, deadline.Sub(now), g.running, g.settledLimit(l))
}

// estimatedWait returns how long a request that arrives now would wait in the queue. The caller holds the lock.
func (g *Gate) estimatedWait(now time.Time, l *limiter, r Request) time.Duration {
	position := g.queue.Ahead(r) + 1
	return max(l.times.mean*time.Duration(position)/time.Duration(g.settledLimit(l)), g.namedRate.wait(now, position))
}

// withLatestStart ends the wait at the latest start, and when the mean service time no longer fits
// before the deadline: a request that starts later occupies a slot and is probably cut off.
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
