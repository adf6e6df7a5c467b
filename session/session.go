// Package session keeps the lease of a node: it sends heartbeats to the control leader and
// publishes what the leader answers as an immutable api.View.
//
// One goroutine, the control thread, runs Serve and owns all state. Traffic goroutines
// read the published view only.
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
	// DefaultMemberTimeout is the wait for one control member before the next one is asked.
	DefaultMemberTimeout = 150 * time.Millisecond
	// kickShare of a heartbeat interval is the least distance of two heartbeats, so that
	// many calls of Kick cost a bounded number of messages.
	kickShare = 5
	// retryShare of a heartbeat interval is the pause after every known member has failed.
	retryShare = 2
	// idlePoll is the interval at which Leave looks whether the node has drained.
	idlePoll = 10 * time.Millisecond
	// finalLimit bounds the sending of the final heartbeat.
	finalLimit = 500 * time.Millisecond
)

// TargetSource reports the targets of the node; host.Registry implements it.
type TargetSource interface {
	Targets() []api.TargetReport
	Released() []api.Released
}

// TokenAccount is the node side of the fleet-wide limits; tokens.Account implements it.
type TokenAccount interface {
	tokens.Reporter
	// RecordLeaderContact is called when a leader that issues tokens has answered a heartbeat sent at the time.
	RecordLeaderContact(sent time.Time)
	// Expire is called when the lease has run out.
	Expire()
	// Reset is called when a new session begins.
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
	// Reseed returns the members to ask when all known ones fail; nil means Members again.
	Reseed       func() []string
	TLS          *tls.Config
	TargetSource TargetSource
	Tokens       TokenAccount
	// Idle says that no request runs on the node and that no target holds a grant. Leave
	// waits for it. Nil means always.
	Idle func() bool
	// WithoutLease lets the node go on serving what needs no ownership when its lease has ended.
	WithoutLease bool
	// Heartbeat is the interval between heartbeats. Default api.DefaultHeartbeat.
	Heartbeat time.Duration
	// MemberTimeout is the wait for one member. Default DefaultMemberTimeout.
	MemberTimeout time.Duration
	// MaxTimeoutFactor is the greatest multiple of MemberTimeout that is waited for when no member answers in
	// time. Heartbeats are rarer meanwhile, also those whose answers alone are lost. Default 1.
	MaxTimeoutFactor int
}

// Session is the control thread of a node.
type Session struct {
	o    Options
	view atomic.Pointer[api.View]
	kick chan struct{}

	subscribers struct {
		sync.Mutex
		list []func(*api.View)
	}

	leaving atomic.Bool
	// finish asks the control thread to end the session; the answer is the result.
	finish chan finishRequest
	done   chan struct{} // closed when the session has ended for good

	// The fields below belong to the control thread.
	sequence uint64
	failures int  // heartbeats that have failed in a row
	lapsed   bool // the lease has run out and the tokens were told
	members  *members
	tokens   *tokens.NodeSync
}

type finishRequest struct {
	ctx    context.Context
	final  bool
	result chan error
}

// New returns a session that has no lease yet. It fails without members, source or tokens.
func New(o Options) (*Session, error) {
	if len(o.Members) == 0 {
		return nil, errors.NotValidf("session without control members")
	}
	if o.TargetSource == nil || o.Tokens == nil {
		return nil, errors.NotValidf("session without source or tokens")
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
	s := &Session{
		o:       o,
		kick:    make(chan struct{}, 1),
		finish:  make(chan finishRequest),
		done:    make(chan struct{}),
		lapsed:  true,
		members: newMembers(o.Members, o.Reseed, o.TLS),
		tokens:  tokens.NewNodeSync(o.Tokens),
	}
	s.view.Store(emptyView(o.Zone, o.WithoutLease))
	return s, nil
}

// View returns the latest view. It is never nil; its lease may have expired.
func (s *Session) View() *api.View { return s.view.Load() }

// Subscribe adds a function that the control thread calls after each publication. It must
// return soon, since it delays the next heartbeat.
func (s *Session) Subscribe(f func(*api.View)) {
	s.subscribers.Lock()
	defer s.subscribers.Unlock()
	s.subscribers.list = append(s.subscribers.list, f)
}

// Wake asks for a heartbeat as soon as possible. Calls before that heartbeat are answered by it.
func (s *Session) Wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

func (s *Session) publish(v *api.View) {
	s.view.Store(v)
	s.subscribers.Lock()
	list := s.subscribers.list
	s.subscribers.Unlock()
	for _, f := range list {
		f(v)
	}
}

// Serve sends heartbeats until ctx ends or Leave has finished; it then returns
// suture.ErrDoNotRestart or the error of ctx.
func (s *Session) Serve(ctx context.Context) error {
	defer s.members.close()
	for {
		started := time.Now()
		err := s.beat(ctx, s.heartbeat(time.Now()))
		if ctx.Err() != nil {
			return ctx.Err()
		}
		s.failures = s.countFailures(s.failures, err)
		if s.wait(ctx, started, s.failures) {
			return suture.ErrDoNotRestart
		}
	}
}

func (s *Session) countFailures(before int, err error) int {
	log := telemetry.Logger("session").WithField("member", s.members.current)
	if err == nil {
		if before > 0 {
			log.WithField("failures", before).Info("Control answers again.")
		}
		return 0
	}
	telemetry.CountEvent("heartbeat_failed", 1)
	if before == 0 {
		log.WithError(err).Warning("Heartbeat failed. The next member is asked.")
	}
	return before + 1
}

// wait pauses until the next heartbeat is due. It returns true when the session has ended.
func (s *Session) wait(ctx context.Context, started time.Time, failures int) bool {
	pause := s.pause(failures)
	due := time.NewTimer(time.Until(started.Add(pause)))
	defer due.Stop()
	kicked := s.kick
	if failures > 0 {
		// A kick does not shorten the pause after failures.
		kicked = nil
	}
	select {
	case <-ctx.Done():
		return false
	case req := <-s.finish:
		return s.end(req)
	case <-due.C:
		return false
	case <-kicked:
		return s.spread(ctx, started)
	}
}

func (s *Session) pause(failures int) time.Duration {
	if failures == 0 {
		return s.o.Heartbeat
	}
	if failures%s.members.count() == 0 {
		return s.o.Heartbeat / retryShare
	}
	return 0
}

// spread keeps the least distance between the last heartbeat and one that was asked for.
func (s *Session) spread(ctx context.Context, started time.Time) bool {
	timer := time.NewTimer(time.Until(started.Add(s.o.Heartbeat / kickShare)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case req := <-s.finish:
		return s.end(req)
	case <-timer.C:
		return false
	}
}
