package control

import (
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/telemetry"
)

// rpcService is the receiver registered with net/rpc under the name "Control".
type rpcService struct{ c *Control }

// openingRetryDelay is the wait before a heartbeat is processed again while its session is being
// opened in the log; a commit takes a few milliseconds.
const openingRetryDelay = 5 * time.Millisecond

// heartbeat carries a request to the control loop, and the reply or error back.
type heartbeat struct {
	req      api.HeartbeatRequest
	received time.Time
	reply    *api.HeartbeatReply
	err      *errkind.Error
	// opening is set when the session is not in the log yet; the heartbeat must be processed
	// again later.
	opening bool
	done    chan struct{} // closed when reply, err and opening are set
}

// Heartbeat renews the lease of a node's session. Errors: NotLeader, with the rpc address of
// the leader as the message, empty when none is known; NoQuorum when this member leads but
// cannot confirm it or is not ready; NoLease for a session that has ended or whose grants are
// being released; BadRequest for a heartbeat that arrives out of order.
func (s *rpcService) Heartbeat(req api.HeartbeatRequest, reply *api.HeartbeatReply) error {
	h := &heartbeat{req: req, received: time.Now()}
	if err := s.c.serveHeartbeat(h); err != nil {
		telemetry.CountRefusal(err.Kind)
		return err
	}
	*reply = *h.reply
	return nil
}

func (c *Control) serveHeartbeat(h *heartbeat) *errkind.Error {
	if err := c.checkLeadership(); err != nil {
		return err
	}
	timeout := time.NewTimer(heartbeatTimeout)
	defer timeout.Stop()
	for {
		if err := c.runHeartbeat(h, timeout.C); err != nil {
			return err
		}
		if !h.opening {
			break
		}
		select {
		case <-time.After(openingRetryDelay):
		case <-timeout.C:
			return h.err
		}
	}
	if h.err != nil {
		return h.err
	}
	return c.checkLeadership()
}

// runHeartbeat passes the heartbeat to the control loop and waits for it. It returns NoQuorum when
// timeout fires first; otherwise the result is in h.
func (c *Control) runHeartbeat(h *heartbeat, timeout <-chan time.Time) *errkind.Error {
	h.opening, h.done = false, make(chan struct{})
	select {
	case c.heartbeats <- h:
	case <-timeout:
		return errkind.New(errkind.NoQuorum, "the control loop is busy")
	}
	select {
	case <-h.done:
		return nil
	case <-timeout:
		return errkind.New(errkind.NoQuorum, "the control loop is busy")
	}
}

func (c *Control) checkLeadership() *errkind.Error {
	_, address, self := c.o.Log.Leader()
	if !self {
		return errkind.New(errkind.NotLeader, "%s", address)
	}
	if !c.o.Log.HoldsLease() {
		return errkind.New(errkind.NoQuorum, "the leader has not heard from a quorum")
	}
	return nil
}

// processHeartbeat handles a heartbeat on the control loop and reports whether to plan now.
func (c *Control) processHeartbeat(h *heartbeat) (plan bool) {
	defer close(h.done)
	// The lease is checked before pending leadership changes are applied: if it belongs to a
	// newer term of this member, the loop must not reply from the sessions and tokens of the
	// older term.
	if h.err = c.checkLeadership(); h.err != nil {
		return false
	}
	c.applyLeadershipChanges()
	if c.leader == nil {
		h.err = errkind.New(errkind.NotLeader, "")
		return false
	}
	h.reply, plan, h.err = c.leader.heartbeat(&h.req, h.received, time.Now())
	if _, opening := c.leader.opening[h.req.Session]; opening && h.err != nil {
		h.opening = true
		return true
	}
	return plan
}
