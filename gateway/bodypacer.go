package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/gate"
)

const (
	// bodyLinkShare is the share of the link for large bodies from other nodes; the rest is for
	// heartbeats, small requests and responses.
	bodyLinkShare = 0.75
	// bodyRequestAdvance is how long before the end of the transfers under way the next body is
	// asked for. Its sender is some milliseconds away.
	bodyRequestAdvance = 50 * time.Millisecond
	// assumedBodySize is the length in bytes assumed for a chunked body.
	assumedBodySize = maxSmallBody
)

// bodyPacer paces the large bodies that other nodes send to this one. Otherwise as many uploads as
// the target has slots would queue on the link of the host, and heartbeats would wait behind them.
// Each body is asked for in turn; the sender holds it back until then ("100 Continue").
type bodyPacer struct {
	rate float64 // bytes per second for bodies; 0 if the speed of the link is not known

	mu     sync.Mutex
	freeAt time.Time // when the transfers of all admitted bodies will have ended
}

func newBodyPacer(linkMbps float64) *bodyPacer {
	return &bodyPacer{rate: linkMbps * 1e6 / 8 * bodyLinkShare}
}

// waitTurn waits until a body of the given length, negative if unknown, may be asked for.
// serviceTime is the time in which the target would respond. The returned function must be called
// if the body is not asked for after all. Errors: Overloaded if the body would arrive too late for
// the request, DeadlineExceeded if ctx ends first.
func (p *bodyPacer) waitTurn(ctx context.Context, bytes int64, r gate.Request, serviceTime time.Duration) (release func(), err error) {
	if p.rate == 0 {
		return func() {}, nil
	}
	if bytes < 0 {
		bytes = assumedBodySize
	}
	now := time.Now()
	deadline, _ := ctx.Deadline()
	start, err := p.reserve(now, bytes, r, serviceTime, deadline)
	if err != nil {
		return nil, err
	}
	turn := time.NewTimer(start.Sub(now))
	defer turn.Stop()
	select {
	case <-turn.C:
		return func() { p.release(bytes) }, nil
	case <-ctx.Done():
		p.release(bytes)
		return nil, errkind.New(errkind.DeadlineExceeded, "request ended before the link was free: %v", ctx.Err())
	}
}

// reserve books the transfer of a body and returns when it may be asked for. A zero deadline means
// none. Errors: Overloaded if the body would arrive too late.
func (p *bodyPacer) reserve(now time.Time, bytes int64, r gate.Request, serviceTime time.Duration, deadline time.Time) (time.Time, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	start := p.freeAt
	if start.Before(now) {
		start = now
	}
	arrived := start.Add(p.transferTime(bytes))
	latest := r.LatestStart(now, serviceTime)
	if !deadline.IsZero() && (latest.IsZero() || deadline.Add(-serviceTime).Before(latest)) {
		latest = deadline.Add(-serviceTime)
	}
	if !latest.IsZero() && arrived.After(latest) {
		return time.Time{}, errkind.New(errkind.Overloaded, "body would arrive after %v, but must arrive within %v",
			arrived.Sub(now), latest.Sub(now))
	}
	p.freeAt = arrived
	return start.Add(-bodyRequestAdvance), nil
}

func (p *bodyPacer) release(bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.freeAt = p.freeAt.Add(-p.transferTime(bytes))
}

// wait returns the time until the link is free for one more body.
func (p *bodyPacer) wait(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.freeAt.Sub(now), 0)
}

func (p *bodyPacer) transferTime(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / p.rate * float64(time.Second))
}
