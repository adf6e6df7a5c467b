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
	// maxInputsPerSync is the maximum number of queued messages and proposals that share one sync.
	maxInputsPerSync = 1024
	// reconcileInterval is how often the leader checks for learners to promote and members to
	// remove.
	reconcileInterval = 50 * time.Millisecond
	// linkCleanupInterval is how often links to removed members are closed.
	linkCleanupInterval = 10 * time.Second
)

// proposal is data to append to the log; done receives its outcome.
type proposal struct {
	data []byte
	done chan outcome
}

// loop is the state of the raft goroutine, the only one that uses the raft core.
type loop struct {
	r       *Replica
	core    *raft.Raft
	applier *applier
	links   *transport
	saver   *saver
	// saverBusy is true while the saver works on a task, since saverBusySince.
	saverBusy      bool
	saverBusySince time.Duration
	saving         raft.Ready // the Ready of that task, empty if it removes old state
	roster         roster
	context        []byte // encoded form of roster

	lastChange LeadershipChange
	// leadingTerm is the term that this member has led since leadingSince; 0 if it is not leader.
	leadingTerm     uint64
	leadingSince    time.Duration
	lastReconciled  time.Duration
	lastLinkCleanup time.Duration
}

func (l *loop) run(ctx context.Context) error {
	ticker := time.NewTicker(l.r.o.Tick)
	defer ticker.Stop()
	for {
		compactions := l.applier.compactions
		if l.saverBusy {
			compactions = nil // the saver uses the write-ahead log
		}
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
		case s := <-compactions:
			if err := l.compact(s); err != nil {
				return err
			}
		case err := <-l.saver.results:
			if err != nil {
				return err
			}
			l.finishTask()
		}
		l.drainQueues()
		l.tick()
		l.reconcile()
		l.handleReady()
	}
}

// tick lets time pass in the core. A member whose disk is stuck does not lead others that are ahead of it, and one
// that waits for its disk does not campaign.
func (l *loop) tick() {
	now := l.r.now()
	if l.saverBusy {
		l.core.ResignIfBehind(now)
	}
	if !l.saverBusy || l.core.IsLeader() {
		l.core.Tick(now)
	}
}

// drainQueues handles further queued messages and proposals, so that they share one sync. It is
// called before the tick: after a pause of the process, a queued heartbeat prevents an election.
func (l *loop) drainQueues() {
	for range maxInputsPerSync {
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
		l.r.log.WithError(err).Error("Invalid raft message.")
	}
}

func (l *loop) propose(p *proposal) {
	index, term, err := l.core.Propose(l.r.now(), p.data)
	l.awaitApplied(index, term, err, p.done)
}

func (l *loop) awaitApplied(index, term uint64, err error, done chan outcome) {
	if err != nil {
		done <- outcome{err: l.toErrKind(err)}
		return
	}
	l.applier.awaitApplied(index, term, done)
}

// toErrKind converts an error of the raft core to an *errkind.Error.
func (l *loop) toErrKind(err error) error {
	switch {
	case errors.Is(err, raft.ErrNotLeader):
		return l.r.notLeaderError()
	case errors.Is(err, raft.ErrTooLarge):
		return errkind.New(errkind.TooLarge, "proposal exceeds %d bytes", raft.MaxEntryBytes)
	case errors.Is(err, raft.ErrMembershipPending), errors.Is(err, raft.ErrNotCaughtUp):
		return errkind.New(errkind.Conflict, "%v", err)
	default:
		return errkind.New(errkind.Invalid, "%v", err)
	}
}

// handleReady starts or completes the core's pending work. The loss of a lease is published before any
// message is sent: the published state is that of the core whenever messages are.
func (l *loop) handleReady() {
	l.publish()
	l.links.send(l.core.MessagesBeforeSync(), l.roster)
	for !l.saverBusy {
		rd := l.core.Ready()
		if rd.Empty() {
			return
		}
		if rd.MustSync {
			l.startTask(saveTask{ready: rd})
			return
		}
		l.complete(rd)
		l.publish()
	}
}

func (l *loop) startTask(t saveTask) {
	l.saverBusy, l.saverBusySince, l.saving = true, l.r.now(), t.ready
	l.saver.tasks <- t
}

func (l *loop) finishTask() {
	rd := l.saving
	l.saverBusy, l.saving = false, raft.Ready{}
	l.core.DelayElection(l.r.now() - l.saverBusySince)
	if rd.MustSync {
		l.complete(rd)
	}
}

// complete sends and applies what rd holds after its state is synced.
func (l *loop) complete(rd raft.Ready) {
	l.links.send(rd.Messages, l.roster)
	l.applier.enqueue(rd)
	l.core.Advance(rd)
}

func (l *loop) compact(s raft.Snapshot) error {
	if err := l.core.Compact(s); err != nil {
		return err
	}
	l.startTask(saveTask{prune: l.core.Status().SnapshotIndex})
	return nil
}

// published is a copy of the raft goroutine's state for other goroutines.
type published struct {
	status raft.Status
	roster roster
	// ready is true if this member leads and has applied all entries of earlier terms.
	ready      bool
	leaseUntil time.Duration
	at         time.Duration
}

func (l *loop) publish() {
	now := l.r.now()
	status := l.core.Status()
	if !bytes.Equal(status.Membership.Context, l.context) {
		l.updateRoster(status.Membership.Context)
	}
	l.recordLeadership(status, now)
	p := &published{status: status, roster: l.roster, leaseUntil: l.core.LeaseUntil(now), at: now}
	p.ready = status.Role == raft.Leader && l.applier.appliedTerm.Load() == status.Term
	l.announceLeadership(p)
	if now > l.lastLinkCleanup+linkCleanupInterval {
		l.lastLinkCleanup = now
		l.links.closeStaleLinks(l.roster)
	}
}

// recordLeadership records since when this member has led. Before that time it received no
// responses, so an old LastContact of a peer does not mean that the peer is lost.
func (l *loop) recordLeadership(status raft.Status, now time.Duration) {
	switch {
	case status.Role != raft.Leader:
		l.leadingTerm = 0
	case l.leadingTerm != status.Term:
		l.leadingTerm, l.leadingSince = status.Term, now
	}
}

// announceLeadership publishes p and sends a change of leadership. A gain is sent before
// HoldsLease can become true, and a loss after it has become false, so that no caller acts in a
// new term on the state of an older one.
func (l *loop) announceLeadership(p *published) {
	change := LeadershipChange{Term: p.status.Term, IsLeader: p.ready}
	changed := change != l.lastChange
	l.lastChange = change
	if changed && change.IsLeader {
		l.r.sendLeadershipChange(change)
	}
	l.r.published.Store(p)
	if changed && !change.IsLeader {
		l.r.sendLeadershipChange(change)
	}
}

func (l *loop) updateRoster(context []byte) {
	decoded, err := decodeRoster(context)
	if err != nil {
		l.r.log.WithError(err).Error("Invalid membership context.")
		return
	}
	l.roster, l.context = decoded, context
}
