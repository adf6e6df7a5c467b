package control

import (
	"reflect"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/tokens"
)

// endedSessionRetention is how long an ended session is kept, so that its delayed heartbeats are
// refused.
const endedSessionRetention = time.Minute

// session is the leader's record of one run of a node process.
type session struct {
	last     api.HeartbeatRequest // last heartbeat
	deadline time.Time            // end of the lease plus the drift margin
	// lost is set when the lease has ended. Unless it is final, the session may renew its lease
	// once it owns no assignment.
	lost  bool
	final bool     // the node has sent its final heartbeat
	peer  api.Peer // as in the last heartbeat
	// tokens merges the partial token reports of the session into full ones.
	tokens tokens.LeaderSync
}

// heartbeat processes a heartbeat. It returns the reply and whether there is something new to plan.
// Errors: as for rpcService.Heartbeat.
func (l *leader) heartbeat(req *api.HeartbeatRequest, received, now time.Time) (*api.HeartbeatReply, bool, *errkind.Error) {
	if !l.ready {
		return nil, false, errkind.New(errkind.NoQuorum, "the leader of term %d is not ready", l.term)
	}
	view := l.o.Machine.View()
	l.updateConfiguration(view, now)
	s, err := l.admitSession(view, req, now)
	if err != nil {
		return nil, false, err
	}
	l.recordDepartures(req.Departures, now)
	req.Targets = l.withoutFormerTargets(view, req.Name, req.Targets, now)
	l.keepDrained(view, req.Targets, now)
	l.recordOutcomes(view, req, now)
	s.last = *req
	s.deadline = received.Add(l.o.Lease + l.o.DriftMargin)
	var replies map[api.OrganisationID]api.TokenReply
	reports, known := s.tokens.MergeReports(req)
	if known {
		replies = l.authority.Report(now, req.Session, reports)
	}
	plan := l.recordReleased(view, req)
	if req.Final {
		l.endSession(req.Session, s)
		s.final = true
		plan = true
	}
	if l.updatePeer(s) {
		plan = true
	}
	reply := l.buildReply(view, s, replies, now)
	reply.Departures = committedDepartures(view, req)
	return reply, plan || departuresPending(view, req.Departures), nil
}

// admitSession finds or creates the session. A session whose lease has ended is refused while it
// owns an assignment: the release may already be proposed, and a reply would renew the lease of
// grants that are about to be given to another target.
func (l *leader) admitSession(view *api.ControlState, req *api.HeartbeatRequest, now time.Time) (*session, *errkind.Error) {
	s := l.sessions[req.Session]
	unknown := s == nil
	if unknown {
		s = &session{}
	}
	if s.final {
		return nil, errkind.New(errkind.NoLease, "the session has ended")
	}
	if !unknown && req.Sequence <= s.last.Sequence {
		return nil, errkind.New(errkind.BadRequest, "heartbeat %d arrived after heartbeat %d", req.Sequence, s.last.Sequence)
	}
	ended := s.lost || (!unknown && !now.Before(s.deadline)) || (unknown && !l.earlierLeasesMayHold(now))
	if ended && !req.Final && ownsAssignment(view, req.Session) {
		s.lost = true
		s.last.Sequence = req.Sequence
		l.sessions[req.Session] = s
		return nil, errkind.New(errkind.NoLease, "the lease has expired and its grants are being released")
	}
	if !sessionOpen(view, req.Session) && !req.Final {
		l.opening[req.Session] = struct{}{}
		return nil, errkind.New(errkind.NoQuorum, "the session is being opened")
	}
	s.lost = false
	l.sessions[req.Session] = s
	return s, nil
}

// ownsAssignment reports whether the session owns an assignment, granted or releasing.
func ownsAssignment(view *api.ControlState, id api.SessionID) bool {
	for _, list := range view.Assignments {
		for _, a := range list {
			if a.State != api.Unassigned && a.Session == id {
				return true
			}
		}
	}
	return false
}

// mayHoldLease reports whether the session may hold a lease. A session that has not reported to
// this leader may hold one until the leases of earlier leaders have ended.
func (l *leader) mayHoldLease(id api.SessionID, now time.Time) bool {
	s := l.sessions[id]
	if s == nil {
		return l.earlierLeasesMayHold(now)
	}
	return !s.lost
}

// endSession marks the session as lost and ends its tokens.
func (l *leader) endSession(id api.SessionID, s *session) {
	s.lost = true
	l.authority.EndSession(id)
	l.peersDirty = true
}

// expireSessions ends the sessions whose lease has expired, and removes those that ended longer than
// endedSessionRetention ago.
func (l *leader) expireSessions(view *api.ControlState, now time.Time) {
	for id, s := range l.sessions {
		if !s.lost && !now.Before(s.deadline) {
			l.log.WithField("node", s.last.Name).Warn("The session lease of a node has expired.")
			l.endSession(id, s)
		}
		if s.lost && now.After(s.deadline.Add(endedSessionRetention)) && !ownsAssignment(view, id) {
			delete(l.sessions, id)
		}
	}
}

// recordReleased records the reported releases that match assignments of the session, and reports
// whether there are any.
func (l *leader) recordReleased(view *api.ControlState, req *api.HeartbeatRequest) bool {
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

// assignment returns the assignment of the partition; the zero value when it does not exist.
func assignment(view *api.ControlState, ref api.PartitionRef) api.Assignment {
	list := view.Assignments[ref.Service]
	if ref.Partition < 0 || ref.Partition >= len(list) {
		return api.Assignment{}
	}
	return list[ref.Partition]
}

// updatePeer updates what other nodes are sent about the session, and reports whether it changed.
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
		p.Targets = append(p.Targets, api.PeerTarget{ID: t.ID, Service: t.Service, Version: t.Version, Slots: t.Slots, State: state})
	}
	return p
}
