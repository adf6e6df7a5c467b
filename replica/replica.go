// Package replica runs a member of the control group: it drives the raft core with a
// clock, the write-ahead log and connections to the other members, and applies the
// committed entries to a state machine.
package replica

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/boottime"
	"github.com/zinniapier/zinniapier/raft"
	"github.com/zinniapier/zinniapier/telemetry"
	"github.com/zinniapier/zinniapier/wal"
)

const (
	inboxSize    = 1024
	proposalSize = 1024
)

// LeadershipChange tells that this member has become the leader of a term, or is not the
// leader of that term. Self is set once all entries of earlier terms are applied.
type LeadershipChange struct {
	Term     uint64
	IsLeader bool
}

// Replica is a member of the group. Its methods are safe for concurrent use.
type Replica struct {
	o         Options
	log       *logrus.Entry
	start     time.Duration // boottime.Now when the replica was opened
	store     *wal.Log
	recovered wal.RecoveredState
	identity  atomic.Pointer[identity]
	transport atomic.Pointer[transport]
	published atomic.Pointer[published]

	inbox      chan raft.Message
	proposals  chan *proposal
	calls      chan func(*loop)
	leadership chan LeadershipChange
	served     atomic.Bool
	stopped    chan struct{}

	stagedMu sync.Mutex
	staged   staged
}

// Open reads the member's disk and restores the state machine from its snapshot. Entries
// after the snapshot are applied by Serve. A *wal.DamageError means that the disk must be
// wiped, after which the member joins anew.
func Open(o Options) (*Replica, error) {
	if err := o.complete(); err != nil {
		return nil, err
	}
	if err := wal.FinishErase(o.DataDir); err != nil {
		return nil, err
	}
	store, recovered, err := wal.Open(o.DataDir)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		o: o, log: telemetry.Logger("replica").WithField("name", o.Name), start: boottime.Now(),
		store: store, recovered: recovered,
		inbox: make(chan raft.Message, inboxSize), proposals: make(chan *proposal, proposalSize),
		calls: make(chan func(*loop)), leadership: make(chan LeadershipChange, 1), stopped: make(chan struct{}),
	}
	if err := r.identify(); err != nil {
		store.Close()
		return nil, err
	}
	if err := restoreState(o.FSM, recovered.Snapshot); err != nil {
		store.Close()
		return nil, err
	}
	return r, nil
}

func (r *Replica) identify() error {
	snap := r.recovered.Snapshot
	empty := snap.Index == 0 && r.recovered.HardState == raft.HardState{} && len(r.recovered.Entries) == 0
	id, err := loadIdentity(r.o.DataDir, r.o.Name, empty)
	if err != nil {
		return err
	}
	if id.Cluster != 0 && empty {
		// Under its old id the member could vote twice in a term and forget what it acknowledged.
		return &wal.CorruptionError{File: r.o.DataDir, Reason: "the log is missing; empty the folder to join as a new member"}
	}
	r.identity.Store(&id)
	members, err := decodeRoster(snap.Membership.Context)
	if err != nil {
		return err
	}
	if id.Cluster == 0 && members.Cluster != 0 {
		// The founder stopped between storing the first membership and noting the group.
		return r.adopt(members.Cluster)
	}
	return nil
}

// Serve runs the member until ctx ends. It can be called once. A failure of the disk or of
// the state machine ends the supervisor tree, since the process must not go on with either.
func (r *Replica) Serve(ctx context.Context) error {
	if r.served.Swap(true) {
		return fmt.Errorf("replica %s was served before: %w", r.o.Name, suture.ErrTerminateSupervisorTree)
	}
	defer close(r.stopped)
	defer r.store.Close()
	err := r.serve(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	r.log.WithError(err).Error("Member stops.")
	return fmt.Errorf("replica %s: %w (%w)", r.o.Name, err, suture.ErrTerminateSupervisorTree)
}

func (r *Replica) serve(ctx context.Context) error {
	if err := r.discover(ctx); err != nil {
		return err
	}
	rec := r.recovered
	core, err := raft.New(r.o.core(r.self().ID), r.now(), rec.HardState, rec.Snapshot, rec.Entries)
	if err != nil {
		return err
	}
	r.recovered = wal.RecoveredState{}
	ctx, cancel := context.WithCancel(ctx)
	links := newTransport(ctx, r.log, r.o, *r.self())
	r.transport.Store(links)
	applier := newApplier(r.o, r.log, r.store, rec.Snapshot)
	l := &loop{r: r, core: core, applier: applier, links: links}
	err = runAll(ctx, cancel, l.run, applier.run, r.keepJoined)
	links.wait.Wait()
	r.published.Store(nil)
	applier.failAll()
	return err
}

// runAll runs the functions until the first one returns, ends the others, and returns the
// first error.
func runAll(ctx context.Context, cancel context.CancelFunc, functions ...func(context.Context) error) error {
	results := make(chan error, len(functions))
	for _, f := range functions {
		go func() { results <- f(ctx) }()
	}
	first := <-results
	cancel()
	for range len(functions) - 1 {
		<-results
	}
	return first
}

// now returns the time since the process opened the replica, suspended time included: the
// lease of a leader must not outlive its end on a machine that was suspended.
func (r *Replica) now() time.Duration { return boottime.Now() - r.start }

func (r *Replica) self() *identity { return r.identity.Load() }

// Propose appends data to the log and returns the result of Apply and the entry's index
// once it is committed and applied here. data must not be changed afterwards. The error is
// an *errkind.Error: NotLeader and TooLarge mean that data will not be applied, NoQuorum
// that the outcome is not known.
func (r *Replica) Propose(ctx context.Context, data []byte) (result any, index uint64, err error) {
	if p := r.published.Load(); p == nil || p.status.Role != raft.Leader {
		return nil, 0, r.notLeader()
	}
	ctx, cancel := r.bounded(ctx)
	defer cancel()
	p := &proposal{data: data, done: make(chan outcome, 1)}
	select {
	case r.proposals <- p:
		return r.wait(ctx, p.done)
	case <-ctx.Done():
		return nil, 0, errkind.New(errkind.NoQuorum, "not proposed: %v", ctx.Err())
	case <-r.stopped:
		return nil, 0, errkind.New(errkind.NoQuorum, "not proposed: the member has stopped")
	}
}

func (r *Replica) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, r.o.ProposeTimeout)
}

func (r *Replica) wait(ctx context.Context, done <-chan outcome) (result any, index uint64, err error) {
	select {
	case out := <-done:
		return out.result, out.index, out.err
	case <-ctx.Done():
		return nil, 0, errkind.New(errkind.NoQuorum, "outcome unknown: %v", ctx.Err())
	case <-r.stopped:
		return nil, 0, errkind.New(errkind.NoQuorum, "outcome unknown: the member has stopped")
	}
}

func (r *Replica) notLeader() error {
	name, address, _ := r.Leader()
	if name == "" {
		return errkind.New(errkind.NotLeader, "no leader is known")
	}
	return errkind.New(errkind.NotLeader, "the leader is %s at %s", name, address)
}

// Leader returns the name and rpc address of the leader, empty when none is known. self is
// set once this member leads and has applied all entries of earlier terms.
func (r *Replica) Leader() (name, address string, self bool) {
	m, self := r.LeaderMember()
	return m.Name, m.Address, self
}

// LeaderMember returns the leader with its operator address; the name is empty when none
// is known.
func (r *Replica) LeaderMember() (leader Member, self bool) {
	p := r.published.Load()
	if p == nil {
		return Member{}, false
	}
	m, ok := p.roster.find(p.status.Leader)
	if !ok {
		return Member{}, p.ready
	}
	return p.describe(m, r.now()), p.ready
}

// HoldsLease says whether this member was the only possible leader, with all earlier
// entries applied, at some moment after the call began. Call it after the receipt of what
// is to be answered. A process that was frozen reads the clock after it wakes, so an old
// lease does not count.
func (r *Replica) HoldsLease() bool {
	p := r.published.Load()
	return p != nil && p.ready && r.now() < p.leaseUntil
}

// Leadership delivers changes of leadership. The channel holds the latest change only: a
// receiver that is late compares terms to see what it missed. There is one receiver.
func (r *Replica) Leadership() <-chan LeadershipChange { return r.leadership }

// announce replaces the change that was not received yet. Only the raft goroutine calls it.
func (r *Replica) announce(change LeadershipChange) {
	select {
	case <-r.leadership:
	default:
	}
	r.leadership <- change
}

// Term returns the current term, or 0 before the member belongs to a group.
func (r *Replica) Term() uint64 {
	if p := r.published.Load(); p != nil {
		return p.status.Term
	}
	return 0
}

// ID returns the member's random id, and Name its name.
func (r *Replica) ID() uint64 { return r.self().ID }

// Name returns the member's name.
func (r *Replica) Name() string { return r.o.Name }

func (r *Replica) describe() QueryReply {
	id := r.self()
	_, leader, _ := r.Leader()
	return QueryReply{
		Name: id.Name, ID: id.ID, Cluster: id.Cluster,
		Address: r.o.Address, OperatorAddress: r.o.OperatorAddress, LeaderAddress: leader, Zone: r.o.Zone,
	}
}

// Close releases the disk of a member that was opened and is not going to be served.
func (r *Replica) Close() error {
	if r.served.Swap(true) {
		return errors.New("the member is served; end the context of Serve instead")
	}
	close(r.stopped)
	r.store.Close()
	return nil
}
