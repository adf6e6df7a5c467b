package session

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/errkind"
)

// Leave drains the node and ends the session. It reports the node as leaving, waits until the
// node owns nothing and nothing runs, and sends a final heartbeat. When ctx ends first, no
// final heartbeat is sent, because it would release grants under which requests may still run:
// the heartbeats stop and the lease runs out. Serve returns in both cases.
func (s *Session) Leave(ctx context.Context) error {
	s.leaving.Store(true)
	s.Wake()
	drained := s.awaitDrained(ctx)
	req := finishRequest{ctx: ctx, final: drained, result: make(chan error, 1)}
	timer := time.NewTimer(longestReply*s.o.MemberTimeout + finalLimit)
	defer timer.Stop()
	select {
	case s.finish <- req:
	case <-s.done:
		return nil
	case <-timer.C:
		return errors.New("the control thread does not run")
	}
	err := <-req.result
	if !drained {
		return errors.Annotate(ctx.Err(), "node left before it had drained")
	}
	return errors.Trace(err)
}

func (s *Session) awaitDrained(ctx context.Context) bool {
	ticker := time.NewTicker(idlePoll)
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

// end ends the lease, so that nothing is admitted any more, and sends the final heartbeat.
func (s *Session) end(req finishRequest) bool {
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

// sendFinal tries the members in turn within finalLimit. It does not depend on the context of
// Leave, which may just have ended.
func (s *Session) sendFinal() error {
	ctx, cancel := context.WithTimeout(context.Background(), finalLimit)
	defer cancel()
	for {
		req := s.heartbeat(time.Now())
		req.Leaving, req.Final = true, true
		_, err := s.send(ctx, req)
		if err == nil || errkind.Of(err) == errkind.UnknownMember {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Annotate(err, "final heartbeat")
		}
		s.retryFinal(ctx, err)
	}
}

func (s *Session) retryFinal(ctx context.Context, err error) {
	s.members.fail(err)
	timer := time.NewTimer(idlePoll)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
