package session

import (
	"context"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/boottime"
	"github.com/zinniapier/zinniapier/telemetry"
)

const heartbeatMethod = "Control.Heartbeat"

// suspendNoise is the difference of the two clocks below which the machine was not suspended.
const suspendNoise = 5 * time.Millisecond

// heartbeat builds the next heartbeat. When the lease has run out, the tokens are told first,
// so that their counts are those of a node without a lease.
func (s *Session) heartbeat(now time.Time) *api.HeartbeatRequest {
	s.noteLapse(now)
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
		PeersVersion:  v.PeersVersion,
		Targets:       s.o.TargetSource.Targets(),
		Released:      s.o.TargetSource.Released(),
		Leaving:       s.leaving.Load(),
	}
	s.tokens.Report(req)
	return req
}

func (s *Session) noteLapse(now time.Time) {
	if s.lapsed || s.view.Load().LeaseValid(now) {
		return
	}
	s.lapsed = true
	s.o.Tokens.Expire()
	if s.leaving.Load() {
		return // the session gave its lease up
	}
	telemetry.CountEvent("lease_lapsed", 1)
	telemetry.Logger("session").Warn("The session lease has run out.")
}

// beat sends one heartbeat to the current member and takes over the answer. After a failure
// the next call goes to another member.
func (s *Session) beat(ctx context.Context, req *api.HeartbeatRequest) error {
	// The lease counts from here: the leader cannot have received the heartbeat earlier.
	sent, sentBoot := time.Now(), boottime.Now()
	reply, err := s.send(ctx, req)
	if err == nil {
		err = s.accept(req, reply, sent, sentBoot)
	}
	if err == nil {
		return nil
	}
	s.fail(err)
	return err
}

// longestReply is the number of member timeouts in which a reply must be whole. On a busy link a
// long one takes a while; begun anew with each timeout, it would never arrive.
const longestReply = 5

// quietLimit is how long nothing may arrive before the next member is asked. It grows by the timeout
// with each round in which every member has failed, up to the patience of the node: where a queue on
// its link takes longer than the timeout, no shorter wait would ever succeed.
func (s *Session) quietLimit() time.Duration {
	rounds := s.failures / s.members.count()
	return s.o.MemberTimeout * time.Duration(min(1+rounds, s.o.MaxTimeoutFactor))
}

// send calls the current member. It returns when nothing has arrived for the quiet limit, even when
// the connection takes no more bytes; the call is then abandoned and its reply never read.
func (s *Session) send(ctx context.Context, req *api.HeartbeatRequest) (*api.HeartbeatReply, error) {
	limit := s.quietLimit()
	callCtx, cancel := context.WithTimeout(ctx, longestReply*s.o.MemberTimeout)
	defer cancel()
	client := s.members.client()
	reply := new(api.HeartbeatReply)
	result := make(chan error, 1)
	go func() { result <- client.Call(callCtx, heartbeatMethod, req, reply) }()
	quiet := time.NewTicker(limit)
	defer quiet.Stop()
	for received := client.Received(); ; {
		select {
		case err := <-result:
			return reply, err
		case <-callCtx.Done():
			return nil, errkind.New(errkind.Unknown, "no answer from %s: %v", client.Address(), callCtx.Err())
		case <-quiet.C:
			now := client.Received()
			if now == received {
				return nil, errkind.New(errkind.Unknown, "no answer from %s for %v", client.Address(), limit)
			}
			received = now
		}
	}
}

// fail selects the member for the next heartbeat. A leader that does not know the session has
// given its grants to others, so a new session begins.
func (s *Session) fail(err error) {
	if errkind.Of(err) == errkind.UnknownMember {
		s.renew()
		return
	}
	s.members.fail(err)
}

// renew begins a new session: a new id, no lease, nothing owned, no tokens.
func (s *Session) renew() {
	telemetry.CountEvent("session_renewed", 1)
	telemetry.Logger("session").Warn("The control leader has ended the session. A new one starts.")
	v := *s.view.Load()
	v.Session = api.SessionID(api.NewID())
	v.LeaseUntil, v.LeaseEnd = time.Time{}, 0
	s.lapsed = true
	s.sequence = 0
	s.o.Tokens.Reset()
	s.tokens.Reset()
	s.publish(&v)
}

// logChanges writes what a reply changes in what the node believes.
func logChanges(old, next *api.View) {
	log := telemetry.Logger("session").WithField("term", next.Term)
	if next.Term != old.Term {
		log.WithField("former", old.Term).Info("Another leader answers.")
	}
	if !old.LeaseValid(time.Now()) {
		log.WithField("session", next.Session).Info("Lease obtained.")
	}
	if configVersion(next) != configVersion(old) {
		log.WithField("configuration", configVersion(next)).WithField("former", configVersion(old)).
			WithField("label", next.Configuration.Label).WithField("zones_out", next.Configuration.ZonesOut).
			Info("Configuration in force.")
	}
	if next.PeersVersion != old.PeersVersion {
		log.WithField("nodes", len(next.Peers)).WithField("version", next.PeersVersion).Info("List of nodes changed.")
	}
}

// accept checks the reply and publishes it. A refused reply changes nothing.
func (s *Session) accept(req *api.HeartbeatRequest, reply *api.HeartbeatReply, sent time.Time, sentBoot time.Duration) error {
	old := s.view.Load()
	configuration, err := reply.Configuration.Unpack()
	if err == nil {
		err = check(old, reply, configuration)
	}
	if err != nil {
		telemetry.CountEvent("heartbeat_reply_refused", 1)
		return err
	}
	next := merge(old, reply, configuration)
	next.RenewedAt = sent
	next.LeaseUntil = sent.Add(reply.Lease)
	next.LeaseEnd = sentBoot + reply.Lease
	if late := (boottime.Now() - sentBoot) - time.Since(sent); late > suspendNoise {
		// The machine was suspended meanwhile: the lease by the monotonic clock would be too long.
		next.LeaseUntil = next.LeaseUntil.Add(-late)
	}
	logChanges(old, next)
	s.noteLapse(time.Now())
	s.lapsed = !next.LeaseValid(time.Now())
	s.tokens.Apply(req, reply)
	if reply.Issues {
		s.o.Tokens.RecordLeaderContact(sent)
	}
	s.members.learn(reply.Members)
	s.publish(next)
	return nil
}
