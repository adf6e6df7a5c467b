package session

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/errkind"
)

// Leave drains the node and ends the session. It reports the node as leaving, waits until the node owns
// no partition and is idle, and sends a final heartbeat. If ctx ends first, it returns an error and
// sends no final heartbeat, because that would release grants under which requests may still run:
// heartbeats stop and the lease expires. Serve returns in both cases.
func (s *Session) Leave(ctx context.Context) error {
	s.leaving.Store(true)
	s.Wake()
	drained := s.awaitDrained(ctx)
	req := finishRequest{ctx: ctx, final: drained, result: make(chan error, 1)}
	timer := time.NewTimer(replyTimeoutFactor*s.o.MemberTimeout + finalHeartbeatTimeout)
	defer timer.Stop()
	select {
	case s.finish <- req:
	case <-s.done:
		return nil
	case <-timer.C:
		return errors.New("the control thread is not running")
	}
	err := <-req.result
	if !drained {
		return errors.Annotate(ctx.Err(), "node left before it was drained")
	}
	return errors.Trace(err)
}

// awaitDrained waits until the node is drained or ctx ends, and reports whether it is drained.
func (s *Session) awaitDrained(ctx context.Context) bool {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		if s.drained() {
			return true
		}
		select {
		case <-ctx.Done():
			return s.drained()
		case <-ticker.C:
		}
	}
}

func (s *Session) drained() bool {
	return !s.View().OwnsAny() && s.o.Idle()
}

// endSession ends the lease, so that nothing more is admitted, and sends the final heartbeat if requested.
func (s *Session) endSession(req finishRequest) bool {
	v := *s.view.Load()
	v.LeaseUntil, v.LeaseEnd = time.Time{}, 0
	s.publish(&v)
	var err error
	if req.final {
		err = s.sendFinal()
	}
	close(s.done)
	req.result <- err
	return true
}

// sendFinal sends the final heartbeat, trying the members in turn within finalHeartbeatTimeout. It does
// not use the context of Leave, which may already have ended.
func (s *Session) sendFinal() error {
	s.abandonLate() // their replies would count as replies to the final heartbeat
	ctx, cancel := context.WithTimeout(context.Background(), finalHeartbeatTimeout)
	defer cancel()
	for {
		req := s.newHeartbeat(time.Now())
		req.Leaving, req.Final = true, true
		_, err := s.send(ctx, req)
		if err == nil || errkind.Of(err) == errkind.UnknownMember {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Annotate(err, "send final heartbeat")
		}
		s.prepareFinalRetry(ctx, err)
	}
}

// prepareFinalRetry selects another member and pauses briefly.
func (s *Session) prepareFinalRetry(ctx context.Context, err error) {
	s.members.handleFailure(err)
	timer := time.NewTimer(drainPollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
