package session

import (
	"context"
	"slices"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/boottime"
	"github.com/zinniapier/zinniapier/telemetry"
)

// suspendThreshold is the difference between boot time and monotonic time above which the machine
// counts as having been suspended.
const suspendThreshold = 5 * time.Millisecond

// newHeartbeat returns the next heartbeat. If the lease has expired, it expires the tokens first, so
// that the heartbeat carries the counts of a node without a lease.
func (s *Session) newHeartbeat(now time.Time) *api.HeartbeatRequest {
	s.recordLeaseExpiry(now)
	s.sequence++
	v := s.view.Load()
	req := &api.HeartbeatRequest{
		Session:       v.Session,
		Sequence:      s.sequence,
		Term:          v.Term,
		Name:          s.o.Name,
		Zone:          s.o.Zone,
		InternalAddr:  s.o.InternalAddr,
		FateAddr:      s.o.FateAddr,
		CallerAddr:    s.o.CallerAddr,
		Hosts:         s.o.Hosts,
		ConfigVersion: configVersion(v),
		MapVersion:    v.MapVersion,
		AccessHash:    v.AccessHash,
		PeersVersion:  v.PeersVersion,
		Targets:       s.o.TargetSource.Targets(),
		Released:      s.o.TargetSource.Released(),
		Departures:    s.o.TargetSource.Departures(),
		Outcomes:      s.outcomes.changed(s.o.Outcomes()),
		Leaving:       s.leaving.Load(),
	}
	s.tokens.Report(req)
	return req
}

// recordLeaseExpiry expires the tokens once after the lease has expired.
func (s *Session) recordLeaseExpiry(now time.Time) {
	if s.leaseExpired || s.view.Load().LeaseValid(now) {
		return
	}
	s.leaseExpired = true
	s.o.Tokens.Expire()
	if s.leaving.Load() {
		return // the session has given up its lease itself
	}
	telemetry.CountEvent("lease_lapsed", 1)
	telemetry.Logger("session").Warn("The session lease of this node has expired.")
}

// sendHeartbeat sends one heartbeat to the current member and applies the first reply. After a failure the
// next call uses another member or a new session.
func (s *Session) sendHeartbeat(ctx context.Context, req *api.HeartbeatRequest) error {
	call, err := s.send(ctx, req)
	if err == nil {
		err = s.acceptReply(call)
	}
	if err == nil {
		return nil
	}
	s.handleFailure(err)
	return err
}

// handleFailure selects the member for the next heartbeat. If the leader does not know the session, it
// has granted the session's partitions to others, so a new session starts.
func (s *Session) handleFailure(err error) {
	if errkind.Of(err) == errkind.UnknownMember {
		s.startNewSession()
		return
	}
	s.members.handleFailure(err)
}

// startNewSession starts a session with a new id, no lease, no partitions and no tokens.
func (s *Session) startNewSession() {
	telemetry.CountEvent("session_renewed", 1)
	s.abandonLate()
	telemetry.Logger("session").Warn("The control leader has ended the session; starting a new one.")
	v := *s.view.Load()
	v.Session = api.SessionID(api.NewID())
	v.LeaseUntil, v.LeaseEnd = time.Time{}, 0
	s.leaseExpired = true
	s.sequence = 0
	s.o.Tokens.Reset()
	s.tokens.Reset()
	s.outcomes.reset()
	s.publish(&v)
}

// logChanges logs the changes from the old view to the next.
func logChanges(old, next *api.View) {
	log := telemetry.Logger("session").WithField("term", next.Term)
	if next.Term != old.Term {
		log.WithField("former", old.Term).Info("Replies come from another leader.")
	}
	if !old.LeaseValid(time.Now()) {
		log.WithField("session", next.Session).Info("Lease obtained.")
	}
	if configVersion(next) != configVersion(old) {
		log.WithField("configuration", configVersion(next)).WithField("former", configVersion(old)).
			WithField("label", next.Configuration.Label).WithField("zones_out", next.Configuration.ZonesOut).
			Info("Configuration applied.")
		logRollouts(old.Configuration, next.Configuration)
	}
	if next.PeersVersion != old.PeersVersion {
		log.WithField("nodes", len(next.Peers)).WithField("version", next.PeersVersion).Info("List of nodes changed.")
	}
}

// logRollouts logs the roll-outs whose phase the node has learned.
func logRollouts(old, next *api.Configuration) {
	for i := range next.Rollouts {
		r := &next.Rollouts[i]
		if former := old.FindRollout(r.Service); former != nil && former.ID == r.ID && former.Phase == r.Phase {
			continue
		}
		telemetry.Logger("rollout").WithField("service", r.Service).WithField("rollout", r.ID).WithField("version", r.Version).
			WithField("phase", r.Phase).WithField("canaries", len(r.Canary)).WithField("share", r.Share).
			WithField("reason", r.Reason).Info("Phase of a roll-out applied.")
	}
}

// acceptReply validates the reply and publishes the resulting view. A rejected reply changes nothing. Replies to earlier
// heartbeats are not awaited any longer.
func (s *Session) acceptReply(call *heartbeatCall) error {
	req, reply, sent, sentBoot := call.req, call.reply, call.sent, call.sentBoot
	old := s.view.Load()
	configuration, accessHash, err := replyConfiguration(old, reply)
	if err == nil {
		err = checkReply(old, reply, configuration)
	}
	if err != nil {
		telemetry.CountEvent("heartbeat_reply_refused", 1)
		return err
	}
	next := mergeReply(old, reply, configuration, accessHash)
	next.RenewedAt = sent
	next.LeaseUntil = sent.Add(reply.Lease)
	next.LeaseEnd = sentBoot + reply.Lease
	if suspended := (boottime.Now() - sentBoot) - time.Since(sent); suspended > suspendThreshold {
		// The machine was suspended during the call, when the monotonic clock stands still, so the
		// lease by that clock would be too long.
		next.LeaseUntil = next.LeaseUntil.Add(-suspended)
	}
	s.abandonLate()
	logChanges(old, next)
	s.recordLeaseExpiry(time.Now())
	s.leaseExpired = !next.LeaseValid(time.Now())
	s.tokens.Apply(req, reply)
	s.outcomes.acknowledge(req.Outcomes, reply.Term)
	if reply.Issues {
		s.o.Tokens.RecordLeaderContact(sent)
	}
	s.members.update(reply.Members)
	s.publish(next)
	if len(reply.Departures) > 0 {
		s.o.TargetSource.ApplyDepartures(reply.Departures)
	}
	if slices.ContainsFunc(req.Departures, func(d api.Departure) bool { return !slices.Contains(reply.Departures, d) }) {
		// Targets wait for the commit, which takes a few milliseconds; the next heartbeat may be a second away.
		s.Wake()
	}
	return nil
}
