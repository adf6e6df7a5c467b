package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/gate"
)

const (
	// bodyShare of the link is for large bodies from other nodes; the rest is for heartbeats, small
	// requests and answers.
	bodyShare = 0.75
	// bodyLead is how long before the bodies asked for have arrived the next one is asked for. Its
	// sender is some milliseconds away.
	bodyLead = 50 * time.Millisecond
	// unknownBody in bytes stands for the length of a body that is sent in chunks.
	unknownBody = bufferedBody
)

// bodyPace spaces the large bodies that other nodes send to this one. Without it, the bodies of as
// many uploads as the target has slots queue on the link of the host, and heartbeats wait behind them.
// A body is asked for by its turn; the sender holds it back until then.
type bodyPace struct {
	rate float64 // bytes a second for bodies; 0 when the speed of the link is not known

	mu   sync.Mutex
	free time.Time // when all bodies that have a turn will have arrived
}

func newBodyPace(linkMbps float64) *bodyPace {
	return &bodyPace{rate: linkMbps * 1e6 / 8 * bodyShare}
}

// await waits for the turn of a body of so many bytes, negative when not known. work is the time in
// which the target would answer. giveBack must be called when the body is not asked for after all.
// Errors: Overloaded when the claim cannot be met, DeadlineExceeded when ctx ends first.
func (p *bodyPace) await(ctx context.Context, bytes int64, c gate.Request, work time.Duration) (giveBack func(), err error) {
	if p.rate == 0 {
		return func() {}, nil
	}
	if bytes < 0 {
		bytes = unknownBody
	}
	now := time.Now()
	deadline, _ := ctx.Deadline()
	start, err := p.reserve(now, bytes, c, work, deadline)
	if err != nil {
		return nil, err
	}
	turn := time.NewTimer(start.Sub(now))
	defer turn.Stop()
	select {
	case <-turn.C:
		return func() { p.giveBack(bytes) }, nil
	case <-ctx.Done():
		p.giveBack(bytes)
		return nil, errkind.New(errkind.DeadlineExceeded, "ended before the link was free: %v", ctx.Err())
	}
}

// reserve returns when a body may be asked for. A zero deadline means none.
func (p *bodyPace) reserve(now time.Time, bytes int64, c gate.Request, work time.Duration, deadline time.Time) (time.Time, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	start := p.free
	if start.Before(now) {
		start = now
	}
	arrived := start.Add(p.span(bytes))
	latest := c.LatestStart(now, work)
	if !deadline.IsZero() && (latest.IsZero() || deadline.Add(-work).Before(latest)) {
		latest = deadline.Add(-work)
	}
	if !latest.IsZero() && arrived.After(latest) {
		return time.Time{}, errkind.New(errkind.Overloaded, "link needs %v for the body, of use for %v",
			arrived.Sub(now), latest.Sub(now))
	}
	p.free = arrived
	return start.Add(-bodyLead), nil
}

func (p *bodyPace) giveBack(bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free = p.free.Add(-p.span(bytes))
}

// wait returns the time until the link is free for one more body.
func (p *bodyPace) wait(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.free.Sub(now), 0)
}

func (p *bodyPace) span(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / p.rate * float64(time.Second))
}
