package session

import (
	"context"
	"slices"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/boottime"
	"github.com/zinniapier/zinniapier/rpc"
	"github.com/zinniapier/zinniapier/telemetry"
)

const (
	heartbeatMethod = "Control.Heartbeat"
	// replyTimeoutFactor is the number of member timeouts within which a reply must be complete. A long
	// reply on a busy link takes longer than one timeout; restarted after each, it would never arrive.
	replyTimeoutFactor = 5
	// eventLateReply counts replies that arrived after their member had been silent for the idle timeout.
	eventLateReply = "heartbeat_reply_late"
)

// heartbeatCall is a heartbeat that has been sent to a member.
type heartbeatCall struct {
	req    *api.HeartbeatRequest
	reply  *api.HeartbeatReply
	err    error // valid once the call has ended
	member string
	client *rpc.Client
	// The lease starts at sent and sentBoot: the leader cannot have received the heartbeat earlier.
	sent     time.Time
	sentBoot time.Duration
	ctx      context.Context
	cancel   context.CancelFunc
}

func (c *heartbeatCall) abandon() {
	c.cancel()
	c.client.Close()
}

// startCall sends the heartbeat to the current member.
func (s *Session) startCall(ctx context.Context, req *api.HeartbeatRequest) *heartbeatCall {
	c := &heartbeatCall{
		req: req, reply: new(api.HeartbeatReply), member: s.members.current, client: s.members.client(),
		sent: time.Now(), sentBoot: boottime.Now(),
	}
	c.ctx, c.cancel = context.WithTimeout(ctx, replyTimeoutFactor*s.o.MemberTimeout)
	go func() {
		c.err = c.client.Call(c.ctx, heartbeatMethod, c.req, c.reply)
		select {
		case s.ended <- c:
		case <-c.ctx.Done():
		}
	}()
	return c
}

// send sends a heartbeat to the current member and returns the call that a member has answered first: this one, or an
// earlier one whose member was silent. If nothing arrives for idleTimeout, the next heartbeat goes to another member, while
// this one may still be answered: a reply that waits in a queue on the link, or for the processor, must not begin anew.
func (s *Session) send(ctx context.Context, req *api.HeartbeatRequest) (*heartbeatCall, error) {
	call := s.startCall(ctx, req)
	limit := s.idleTimeout()
	idleTicker := time.NewTicker(limit)
	defer idleTicker.Stop()
	for received := call.client.Received(); ; {
		select {
		case ended := <-s.ended:
			if ended == call {
				call.cancel()
				return call, call.err
			}
			if s.removeLate(ended) && ended.err == nil {
				call.cancel()
				s.members.adopt(ended.member, ended.client)
				telemetry.CountEvent(eventLateReply, 1)
				return ended, nil
			}
		case <-call.ctx.Done():
			call.cancel()
			return nil, errkind.New(errkind.Unknown, "no reply from %s: %v", call.member, call.ctx.Err())
		case <-idleTicker.C:
			now := call.client.Received()
			if now == received {
				s.keepLate(call)
				return nil, errkind.New(errkind.Unknown, "no reply from %s for %v", call.member, limit)
			}
			received = now
		}
	}
}

// keepLate lets the call go on beside the next heartbeats.
func (s *Session) keepLate(call *heartbeatCall) {
	s.members.release()
	s.late = append(slices.DeleteFunc(s.late, (*heartbeatCall).endedByTime), call)
}

// endedByTime reports whether the time of the call is over, and then frees its connection.
func (c *heartbeatCall) endedByTime() bool {
	if c.ctx.Err() == nil {
		return false
	}
	c.abandon()
	return true
}

// removeLate removes a call that has ended; false if it was not waited for.
func (s *Session) removeLate(call *heartbeatCall) bool {
	i := slices.Index(s.late, call)
	if i < 0 {
		return false
	}
	s.late = slices.Delete(s.late, i, i+1)
	call.cancel()
	if call.err != nil {
		call.client.Close()
	}
	return true
}

// abandonLate ends the calls whose replies must not be used any more.
func (s *Session) abandonLate() {
	for _, c := range s.late {
		c.abandon()
	}
	s.late = nil
}

// idleTimeout is the time without received bytes after which another member is tried. It grows by
// MemberTimeout after each round in which every member has failed, up to MaxTimeoutFactor times
// MemberTimeout: if queueing on the link takes longer than the timeout, no shorter one can succeed.
func (s *Session) idleTimeout() time.Duration {
	rounds := s.failures / s.members.count()
	return s.o.MemberTimeout * time.Duration(min(1+rounds, s.o.MaxTimeoutFactor))
}
