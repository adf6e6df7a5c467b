package replica

import (
	"bytes"
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/raft"
)

const (
	// drainLimit bounds the messages and proposals that share one sync.
	drainLimit = 1024
	// reconcileInterval is how often the leader looks for learners to promote and
	// superseded members to remove.
	reconcileInterval = 50 * time.Millisecond
	// retainInterval is how often links to former members are closed.
	retainInterval = 10 * time.Second
)

// proposal is data on its way to the log.
type proposal struct {
	data []byte
	done chan outcome
}

// loop is the raft goroutine: it alone uses the core and the write-ahead log.
type loop struct {
	r       *Replica
	core    *raft.Raft
	applier *applier
	links   *transport
	roster  roster
	context []byte // encoded form of roster

	announced LeadershipChange
	// leading is the term that this member leads, since leadingSince; 0 on a follower.
	leading        uint64
	leadingSince   time.Duration
	lastReconciled time.Duration
	lastRetained   time.Duration
}

func (l *loop) run(ctx context.Context) error {
	ticker := time.NewTicker(l.r.o.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-l.applier.wake:
		case m := <-l.r.inbox:
			l.step(m)
		case p := <-l.r.proposals:
			l.propose(p)
		case f := <-l.r.calls:
			f(l)
		case s := <-l.applier.compactions:
			if err := l.compact(s); err != nil {
				return err
			}
		}
		l.drain()
		l.core.Tick(l.r.now())
		l.reconcile()
		if err := l.work(); err != nil {
			return err
		}
	}
}

// drain takes in what else is waiting, so that it shares one sync. Messages come before
// the tick: after a pause of the process, a waiting heartbeat prevents an election.
func (l *loop) drain() {
	for range drainLimit {
		select {
		case m := <-l.r.inbox:
			l.step(m)
		case p := <-l.r.proposals:
			l.propose(p)
		default:
			return
		}
	}
}

func (l *loop) step(m raft.Message) {
	if (m.Type == raft.Vote || m.Type == raft.PreVote) && slices.Contains(l.roster.Removed, m.From) {
		return
	}
	if err := l.core.Step(l.r.now(), m); err != nil {
		l.r.log.WithError(err).Error("Message refused.")
	}
}

func (l *loop) propose(p *proposal) {
	index, term, err := l.core.Propose(l.r.now(), p.data)
	l.await(index, term, err, p.done)
}

func (l *loop) await(index, term uint64, err error, done chan outcome) {
	if err != nil {
		done <- outcome{err: l.kindOf(err)}
		return
	}
	l.applier.await(index, term, done)
}

func (l *loop) kindOf(err error) error {
	switch {
	case errors.Is(err, raft.ErrNotLeader):
		return l.r.notLeader()
	case errors.Is(err, raft.ErrTooLarge):
		return errkind.New(errkind.TooLarge, "proposal beyond %d bytes", raft.MaxEntryBytes)
	case errors.Is(err, raft.ErrMembershipPending), errors.Is(err, raft.ErrNotCaughtUp):
		return errkind.New(errkind.Conflict, "%v", err)
	default:
		return errkind.New(errkind.Invalid, "%v", err)
	}
}

// work does the core's work until there is none. State is synced, and a lost lease is
// published, before any message leaves.
func (l *loop) work() error {
	for rd := l.core.Ready(); !rd.Empty(); rd = l.core.Ready() {
		if rd.Snapshot != nil {
			if err := l.r.store.InstallSnapshot(*rd.Snapshot); err != nil {
				return err
			}
		}
		if rd.MustSync {
			if err := l.r.store.Save(rd.HardState, rd.Entries); err != nil {
				return err
			}
		}
		l.publish()
		l.links.send(rd.Messages, l.roster)
		l.applier.push(rd)
		l.core.Advance(rd)
	}
	l.publish()
	return nil
}

func (l *loop) compact(s raft.Snapshot) error {
	if err := l.core.Compact(s); err != nil {
		return err
	}
	return l.r.store.Prune(l.core.Status().SnapshotIndex)
}

// published is the state of the raft goroutine that other goroutines may read.
type published struct {
	status raft.Status
	roster roster
	// ready says that this member leads and has applied all entries of earlier terms.
	ready      bool
	leaseUntil time.Duration
	at         time.Duration
}

func (l *loop) publish() {
	now := l.r.now()
	status := l.core.Status()
	if !bytes.Equal(status.Membership.Context, l.context) {
		l.readRoster(status.Membership.Context)
	}
	l.noteLeading(status, now)
	p := &published{status: status, roster: l.roster, leaseUntil: l.core.LeaseUntil(now), at: now}
	p.ready = status.Role == raft.Leader && l.applier.appliedTerm.Load() == status.Term
	l.announceLeadership(p)
	if now > l.lastRetained+retainInterval {
		l.lastRetained = now
		l.links.retain(l.roster)
	}
}

// noteLeading notes since when this member leads: before, it could not hear from the others.
func (l *loop) noteLeading(status raft.Status, now time.Duration) {
	switch {
	case status.Role != raft.Leader:
		l.leading = 0
	case l.leading != status.Term:
		l.leading, l.leadingSince = status.Term, now
	}
}

// announceLeadership stores p for readers and announces a change of leadership. A gain is
// announced before HoldsLease can turn true, and a loss after it has turned false, so that
// nobody acts in a new term on the state of an older one.
func (l *loop) announceLeadership(p *published) {
	change := LeadershipChange{Term: p.status.Term, IsLeader: p.ready}
	changed := change != l.announced
	l.announced = change
	if changed && change.IsLeader {
		l.r.announce(change)
	}
	l.r.published.Store(p)
	if changed && !change.IsLeader {
		l.r.announce(change)
	}
}

func (l *loop) readRoster(context []byte) {
	decoded, err := decodeRoster(context)
	if err != nil {
		l.r.log.WithError(err).Error("Membership without readable addresses.")
		return
	}
	l.roster, l.context = decoded, context
}
