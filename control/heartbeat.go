package control

import (
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/telemetry"
)

// service is the receiver that is published on net/rpc under the name "Control".
type service struct{ c *Control }

// openingPause is the wait before a heartbeat of a session that is being opened is answered
// again; a commit takes a few milliseconds.
const openingPause = 5 * time.Millisecond

// heartbeat carries a request to the loop and the answer back.
type heartbeat struct {
	req      api.HeartbeatRequest
	received time.Time
	reply    *api.HeartbeatReply
	err      *errkind.Error
	// opening says that the session has to be in the log before the answer; the heartbeat is
	// then answered again.
	opening bool
	done    chan struct{}
}

// Heartbeat renews the session of a node. It refuses with NotLeader and the rpc address
// of the leader as message, empty when none is known; NoQuorum when this member leads but
// cannot show it; NoLease for a session that has ended or whose grants are being released;
// and BadRequest for a heartbeat that arrives after a later one.
func (s *service) Heartbeat(req api.HeartbeatRequest, reply *api.HeartbeatReply) error {
	h := &heartbeat{req: req, received: time.Now()}
	if err := s.c.handle(h); err != nil {
		telemetry.CountRefusal(err.Kind)
		return err
	}
	*reply = *h.reply
	return nil
}

func (c *Control) handle(h *heartbeat) *errkind.Error {
	if err := c.checkLease(); err != nil {
		return err
	}
	timeout := time.NewTimer(heartbeatTimeout)
	defer timeout.Stop()
	for {
		if err := c.ask(h, timeout.C); err != nil {
			return err
		}
		if !h.opening {
			break
		}
		select {
		case <-time.After(openingPause):
		case <-timeout.C:
			return h.err
		}
	}
	if h.err != nil {
		return h.err
	}
	return c.checkLease()
}

// ask has the loop answer the heartbeat; the answer is in h unless ask returns an error.
func (c *Control) ask(h *heartbeat, timeout <-chan time.Time) *errkind.Error {
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

func (c *Control) checkLease() *errkind.Error {
	_, address, self := c.o.Log.Leader()
	if !self {
		return errkind.New(errkind.NotLeader, "%s", address)
	}
	if !c.o.Log.HoldsLease() {
		return errkind.New(errkind.NoQuorum, "the leader has no answer from a quorum")
	}
	return nil
}

// answer runs on the loop. It returns whether the heartbeat brought something to plan for.
func (c *Control) answer(h *heartbeat) (plan bool) {
	defer close(h.done)
	// The lease is checked first and changes of leadership are taken in after it: if the
	// lease belongs to a newer term of this member, the loop must not answer from the
	// sessions and tokens of the older one.
	if h.err = c.checkLease(); h.err != nil {
		return false
	}
	c.followLeadership()
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
