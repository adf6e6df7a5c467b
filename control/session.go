package control

import (
	"reflect"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/tokens"
)

// forgetAfter is how long an ended session is remembered, so that a delayed heartbeat of
// it is refused.
const forgetAfter = time.Minute

// session is a run of a node process as the leader knows it.
type session struct {
	last     api.HeartbeatRequest // last heartbeat
	deadline time.Time            // end of the lease with the drift margin
	// lost says that the lease has ended. The session may return once none of the
	// assignments names it, unless it is final.
	lost  bool
	final bool
	peer  api.Peer
	// tokens completes the reports of the session.
	tokens tokens.LeaderSync
}

// heartbeat takes in a heartbeat and returns the reply, and whether it brought something
// to plan for.
func (l *leader) heartbeat(req *api.HeartbeatRequest, received, now time.Time) (*api.HeartbeatReply, bool, *errkind.Error) {
	if !l.ready {
		return nil, false, errkind.New(errkind.NoQuorum, "leader of term %d is starting", l.term)
	}
	view := l.o.Machine.View()
	l.followConfiguration(view, now)
	s, err := l.admit(view, req, now)
	if err != nil {
		return nil, false, err
	}
	s.last = *req
	s.deadline = received.Add(l.o.Lease + l.o.DriftMargin)
	var replies map[api.OrganisationID]api.TokenReply
	reports, known := s.tokens.MergeReports(req)
	if known {
		replies = l.authority.Report(now, req.Session, reports)
	}
	plan := l.takeReleased(view, req)
	if req.Final {
		l.end(req.Session, s)
		s.final = true
		plan = true
	}
	if l.updatePeer(s) {
		plan = true
	}
	return l.reply(view, s, replies, now), plan, nil
}

// admit finds or creates the session. A session whose lease has ended here stays out
// while an assignment names it: the release may be on its way to the log, and a reply
// would renew the lease of grants that are about to go to somebody else.
func (l *leader) admit(view *api.ControlState, req *api.HeartbeatRequest, now time.Time) (*session, *errkind.Error) {
	s := l.sessions[req.Session]
	unknown := s == nil
	if unknown {
		s = &session{}
	}
	if s.final {
		return nil, errkind.New(errkind.NoLease, "the session has ended")
	}
	if !unknown && req.Sequence <= s.last.Sequence {
		return nil, errkind.New(errkind.BadRequest, "heartbeat %d after %d", req.Sequence, s.last.Sequence)
	}
	ended := s.lost || (!unknown && !now.Before(s.deadline)) || (unknown && !l.waiting(now))
	if ended && !req.Final && named(view, req.Session) {
		s.lost = true
		s.last.Sequence = req.Sequence
		l.sessions[req.Session] = s
		return nil, errkind.New(errkind.NoLease, "the lease has expired and its grants are being released")
	}
	if !opened(view, req.Session) && !req.Final {
		l.opening[req.Session] = struct{}{}
		return nil, errkind.New(errkind.NoQuorum, "the session is being opened")
	}
	s.lost = false
	l.sessions[req.Session] = s
	return s, nil
}

// named says whether an assignment names the session.
func named(view *api.ControlState, id api.SessionID) bool {
	for _, list := range view.Assignments {
		for _, a := range list {
			if a.State != api.Unassigned && a.Session == id {
				return true
			}
		}
	}
	return false
}

// live says whether the session may hold a lease. During the wait of a new leader, sessions
// that it has not heard of may.
func (l *leader) live(id api.SessionID, now time.Time) bool {
	s := l.sessions[id]
	if s == nil {
		return l.waiting(now)
	}
	return !s.lost
}

func (l *leader) end(id api.SessionID, s *session) {
	s.lost = true
	l.authority.EndSession(id)
	l.peersDirty = true
}

// expire ends the sessions whose lease has passed and forgets old ones.
func (l *leader) expire(view *api.ControlState, now time.Time) {
	for id, s := range l.sessions {
		if !s.lost && !now.Before(s.deadline) {
			l.log.WithField("node", s.last.Name).Warn("Lease expired.")
			l.end(id, s)
		}
		if s.lost && now.After(s.deadline.Add(forgetAfter)) && !named(view, id) {
			delete(l.sessions, id)
		}
	}
}

// takeReleased remembers the released grants that match the session's assignments.
func (l *leader) takeReleased(view *api.ControlState, req *api.HeartbeatRequest) bool {
	found := false
	for _, r := range req.Released {
		a := assignment(view, r.PartitionRef)
		if a.State == api.Unassigned || a.Session != req.Session || a.Epoch != r.Epoch {
			continue
		}
		l.released[r.PartitionRef] = r
		found = true
	}
	return found
}

func assignment(view *api.ControlState, ref api.PartitionRef) api.Assignment {
	list := view.Assignments[ref.Service]
	if ref.Partition < 0 || ref.Partition >= len(list) {
		return api.Assignment{}
	}
	return list[ref.Partition]
}

// updatePeer notes what other nodes must know of the session and returns whether it changed.
func (l *leader) updatePeer(s *session) bool {
	peer := peerOf(&s.last)
	if reflect.DeepEqual(peer, s.peer) {
		return false
	}
	s.peer = peer
	l.peersDirty = true
	return true
}

func peerOf(req *api.HeartbeatRequest) api.Peer {
	p := api.Peer{
		Session:      req.Session,
		Name:         req.Name,
		Zone:         req.Zone,
		InternalAddr: req.InternalAddr,
		FateAddr:     req.FateAddr,
		CallerAddr:   req.CallerAddr,
	}
	for _, t := range req.Targets {
		state := t.State
		if req.Leaving && state == api.TargetServing {
			state = api.TargetDraining
		}
		p.Targets = append(p.Targets, api.PeerTarget{ID: t.ID, Service: t.Service, Slots: t.Slots, State: state})
	}
	return p
}
