// Package session maintains the session lease of a node: it sends heartbeats to the control leader and
// publishes the state from its replies as an immutable api.View.
//
// One goroutine, the control thread, runs Serve and owns all mutable state. Other goroutines read only
// the published view.
package session

import (
	"context"
	"crypto/tls"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/thejerf/suture/v4"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/telemetry"
	"github.com/zinniapier/zinniapier/tokens"
)

const (
	// DefaultMemberTimeout is the time without data from one control member before the next one is tried.
	DefaultMemberTimeout = 150 * time.Millisecond
	// minIntervalDivisor divides the heartbeat interval to give the minimum interval between
	// heartbeats, so that many calls of Wake cost a bounded number of messages.
	minIntervalDivisor = 5
	// retryPauseDivisor divides the heartbeat interval to give the pause after every known member has failed.
	retryPauseDivisor = 2
	// drainPollInterval is the interval at which Leave checks whether the node is drained.
	drainPollInterval = 10 * time.Millisecond
	// finalHeartbeatTimeout bounds all attempts to send the final heartbeat.
	finalHeartbeatTimeout = 500 * time.Millisecond
)

// TargetSource reports the targets of the node; host.Registry implements it.
type TargetSource interface {
	Targets() []api.TargetReport
	Released() []api.Released
	Departures() []api.Departure
	// ApplyDepartures is called with departures that the control group has committed.
	ApplyDepartures(list []api.Departure)
}

// TokenAccount is the node side of the fleet-wide token buckets; tokens.Account implements it.
type TokenAccount interface {
	tokens.Reporter
	// RecordLeaderContact is called when an issuing leader has replied to a heartbeat sent at the given time.
	RecordLeaderContact(sent time.Time)
	// Expire is called when the lease has expired.
	Expire()
	// Reset is called when a new session starts.
	Reset()
}

// Options configure a Session.
type Options struct {
	Name         string
	Zone         string
	InternalAddr string // host:port of the request hop
	FateAddr     string // host:port of the node's rpc service
	CallerAddr   string // host:port of the caller listener
	Hosts        string // service of the target on this host, empty when it is not known
	// Members are the rpc addresses of the control members.
	Members []string
	// Reseed returns the members to add when all known ones have failed. Default Members.
	Reseed       func() []string
	TLS          *tls.Config
	TargetSource TargetSource
	Tokens       TokenAccount
	// Outcomes returns the counts of the roll-outs that are running. Default none.
	Outcomes func() []api.TargetOutcomes
	// Idle reports whether no request is in flight on the node and no target holds a grant. Leave
	// waits for it. Default always true.
	Idle func() bool
	// WithoutLease lets the node go on serving requests that need no ownership after its lease has expired.
	WithoutLease bool
	// Heartbeat is the interval between heartbeats. Default api.DefaultHeartbeat.
	Heartbeat time.Duration
	// MemberTimeout is the time without data from a member before the next one is tried. Default
	// DefaultMemberTimeout.
	MemberTimeout time.Duration
	// MaxTimeoutFactor is the maximum multiple of MemberTimeout to which the wait grows while no member replies
	// in time. Meanwhile heartbeats are less frequent, even if only replies are lost. Default 1.
	MaxTimeoutFactor int
}

// Session maintains the session of a node. Serve must be called once; the other methods are safe for
// concurrent use.
type Session struct {
	o      Options
	view   atomic.Pointer[api.View]
	wakeCh chan struct{}

	subscribers struct {
		sync.Mutex
		list []func(*api.View)
	}

	leaving atomic.Bool
	// ended delivers calls that have ended to the control thread.
	ended chan *heartbeatCall
	// finish asks the control thread to end the session.
	finish chan finishRequest
	done   chan struct{} // closed when the session has ended

	// The fields below are used by the control thread only.
	sequence     uint64
	failures     int  // consecutive failed heartbeats
	leaseExpired bool // the lease has expired and Tokens.Expire was called, or no lease was obtained yet
	members      *members
	// late holds the calls whose members were silent; a reply may still arrive.
	late     []*heartbeatCall
	tokens   *tokens.NodeSync
	outcomes outcomeSync
}

// finishRequest asks for the end of the session, with a final heartbeat if final is set.
type finishRequest struct {
	ctx    context.Context
	final  bool
	result chan error
}

// New returns a session without a lease. It returns an error without Members, TargetSource or Tokens.
func New(o Options) (*Session, error) {
	if len(o.Members) == 0 {
		return nil, errors.NotValidf("session without control members")
	}
	if o.TargetSource == nil || o.Tokens == nil {
		return nil, errors.NotValidf("session without target source or tokens")
	}
	if o.Heartbeat <= 0 {
		o.Heartbeat = api.DefaultHeartbeat
	}
	if o.MemberTimeout <= 0 {
		o.MemberTimeout = DefaultMemberTimeout
	}
	o.MaxTimeoutFactor = max(o.MaxTimeoutFactor, 1)
	if o.Idle == nil {
		o.Idle = func() bool { return true }
	}
	if o.Outcomes == nil {
		o.Outcomes = func() []api.TargetOutcomes { return nil }
	}
	s := &Session{
		o:            o,
		wakeCh:       make(chan struct{}, 1),
		ended:        make(chan *heartbeatCall),
		finish:       make(chan finishRequest),
		done:         make(chan struct{}),
		leaseExpired: true,
		members:      newMembers(o.Members, o.Reseed, o.TLS),
		tokens:       tokens.NewNodeSync(o.Tokens),
	}
	s.view.Store(emptyView(o.Zone, o.WithoutLease))
	return s, nil
}

// View returns the latest view. It is never nil; its lease may have expired.
func (s *Session) View() *api.View { return s.view.Load() }

// Subscribe adds a function that the control thread calls after each publication of a view. The
// function must return quickly, since it delays the next heartbeat.
func (s *Session) Subscribe(f func(*api.View)) {
	s.subscribers.Lock()
	defer s.subscribers.Unlock()
	s.subscribers.list = append(s.subscribers.list, f)
}

// Wake requests a heartbeat as soon as possible. All calls before that heartbeat share it.
func (s *Session) Wake() {
	select {
	case s.wakeCh <- struct{}{}:
	default:
	}
}

// publish stores the view and calls the subscribers.
func (s *Session) publish(v *api.View) {
	s.view.Store(v)
	s.subscribers.Lock()
	list := s.subscribers.list
	s.subscribers.Unlock()
	for _, f := range list {
		f(v)
	}
}

// Serve sends heartbeats until ctx ends or Leave has finished. It returns the error of ctx or
// suture.ErrDoNotRestart.
func (s *Session) Serve(ctx context.Context) error {
	defer s.members.close()
	defer s.abandonLate()
	for {
		started := time.Now()
		err := s.sendHeartbeat(ctx, s.newHeartbeat(time.Now()))
		if ctx.Err() != nil {
			return ctx.Err()
		}
		s.failures = s.countFailures(s.failures, err)
		if s.wait(ctx, started, s.failures) {
			return suture.ErrDoNotRestart
		}
	}
}

// countFailures returns the number of consecutive failures after a heartbeat and logs the first failure
// and the recovery.
func (s *Session) countFailures(before int, err error) int {
	log := telemetry.Logger("session").WithField("member", s.members.current)
	if err == nil {
		if before > 0 {
			log.WithField("failures", before).Info("Heartbeats succeed again.")
		}
		return 0
	}
	telemetry.CountEvent("heartbeat_failed", 1)
	if before == 0 {
		log.WithError(err).Warning("Heartbeat failed; trying the next control member.")
	}
	return before + 1
}

// wait waits until the next heartbeat is due. It returns true if the session has ended.
func (s *Session) wait(ctx context.Context, started time.Time, failures int) bool {
	pause := s.pause(failures)
	due := time.NewTimer(time.Until(started.Add(pause)))
	defer due.Stop()
	wake := s.wakeCh
	if failures > 0 {
		// Wake does not shorten the pause after failures.
		wake = nil
	}
	select {
	case <-ctx.Done():
		return false
	case req := <-s.finish:
		return s.endSession(req)
	case <-due.C:
		return false
	case <-wake:
		return s.waitMinInterval(ctx, started)
	}
}

// pause returns the interval from the last heartbeat to the next: none while members of this round
// have not been tried.
func (s *Session) pause(failures int) time.Duration {
	if failures == 0 {
		return s.o.Heartbeat
	}
	if failures%s.members.count() == 0 {
		return s.o.Heartbeat / retryPauseDivisor
	}
	return 0
}

// waitMinInterval waits until the minimum interval since the last heartbeat has passed. It returns true
// if the session has ended.
func (s *Session) waitMinInterval(ctx context.Context, started time.Time) bool {
	timer := time.NewTimer(time.Until(started.Add(s.o.Heartbeat / minIntervalDivisor)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case req := <-s.finish:
		return s.endSession(req)
	case <-timer.C:
		return false
	}
}
