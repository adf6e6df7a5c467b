// Package replica runs a member of the control group. It connects the raft core to a clock, the
// write-ahead log and the other members, and applies committed entries to a state machine.
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
	inboxSize         = 1024
	proposalQueueSize = 1024
)

// LeadershipChange reports a term and whether this member leads it. IsLeader is set only once
// all entries of earlier terms are applied.
type LeadershipChange struct {
	Term     uint64
	IsLeader bool
}

// Replica is this process's member of the group. Its methods are safe for concurrent use.
type Replica struct {
	o         Options
	log       *logrus.Entry
	openedAt  time.Duration // boottime.Now when the replica was opened
	store     storage
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

	partialSnapshotMu sync.Mutex
	partialSnapshot   partialSnapshot
}

// Open reads the member's data directory and restores the state machine from the snapshot.
// Serve applies the entries after it. A *wal.CorruptionError means that the directory must be
// wiped, after which the host joins as a new member.
func Open(o Options) (*Replica, error) {
	if err := o.setDefaults(); err != nil {
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
		o: o, log: telemetry.Logger("replica").WithField("name", o.Name), openedAt: boottime.Now(),
		store: store, recovered: recovered,
		inbox: make(chan raft.Message, inboxSize), proposals: make(chan *proposal, proposalQueueSize),
		calls: make(chan func(*loop)), leadership: make(chan LeadershipChange, 1), stopped: make(chan struct{}),
	}
	if err := r.initIdentity(); err != nil {
		store.Close()
		return nil, err
	}
	if err := restoreState(o.FSM, recovered.Snapshot); err != nil {
		store.Close()
		return nil, err
	}
	r.reportLog()
	return r, nil
}

// reportLog logs what was read from disk, and publishes the size of the part of the log that is in memory.
func (r *Replica) reportLog() {
	entries := r.recovered.Entries
	bytes := 0
	for _, e := range entries {
		bytes += len(e.Data)
	}
	r.log.WithField("entries", len(entries)).WithField("bytes", bytes).
		WithField("snapshot", r.recovered.Snapshot.Index).WithField("snapshot_bytes", len(r.recovered.Snapshot.Data)).
		WithField("ms", (boottime.Now()-r.openedAt).Milliseconds()).WithField("heap_bytes", telemetry.HeapBytes()).
		Info("The log is open.")
	telemetry.Gauge("log_bytes", func() int64 { return int64(r.status().LogBytes) })
	telemetry.Gauge("log_entries", func() int64 { s := r.status(); return int64(s.LastIndex+1) - int64(s.FirstIndex) })
}

// status returns the last published status of the core; before the member belongs to a group, that of an empty log.
func (r *Replica) status() raft.Status {
	if p := r.published.Load(); p != nil {
		return p.status
	}
	return raft.Status{FirstIndex: 1}
}

func (r *Replica) initIdentity() error {
	snap := r.recovered.Snapshot
	empty := snap.Index == 0 && r.recovered.HardState == raft.HardState{} && len(r.recovered.Entries) == 0
	id, err := loadIdentity(r.o.DataDir, r.o.Name, empty)
	if err != nil {
		return err
	}
	if id.Cluster != 0 && empty {
		// Under its old id, the member could vote twice in a term and lack entries that it has
		// acknowledged.
		return &wal.CorruptionError{File: r.o.DataDir, Reason: "the log is missing; empty the directory to join as a new member"}
	}
	r.identity.Store(&id)
	members, err := decodeRoster(snap.Membership.Context)
	if err != nil {
		return err
	}
	if id.Cluster == 0 && members.Cluster != 0 {
		// The founding member stopped after it had stored the first membership and before it
		// recorded the group.
		return r.setGroup(members.Cluster)
	}
	return nil
}

// Serve runs the member until ctx ends. It may be called once. After a failure of the disk or
// the state machine the process must not continue, so the error ends the supervisor tree.
func (r *Replica) Serve(ctx context.Context) error {
	if r.served.Swap(true) {
		return fmt.Errorf("replica %s has already been served: %w", r.o.Name, suture.ErrTerminateSupervisorTree)
	}
	defer close(r.stopped)
	defer r.store.Close()
	defer context.AfterFunc(ctx, r.store.Interrupt)()
	err := r.serve(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	r.log.WithError(err).Error("Control member failed.")
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
	saver := newSaver(r.store)
	l := &loop{r: r, core: core, applier: applier, links: links, saver: saver}
	err = runAll(ctx, cancel, l.run, saver.run, applier.run, r.keepJoined)
	links.wait.Wait()
	r.published.Store(nil)
	applier.failAll()
	return err
}

// runAll runs the functions concurrently. When one returns, it cancels the others, waits for
// them and returns the first one's error.
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

// now returns the time since the replica was opened, including time during which the machine
// was suspended: a lease must expire during a suspension too.
func (r *Replica) now() time.Duration { return boottime.Now() - r.openedAt }

func (r *Replica) self() *identity { return r.identity.Load() }

// Propose appends data to the log, waits until the entry is committed and applied on this
// member, and returns the result of Apply and the entry's index. The caller must not change
// data afterwards. The error is an *errkind.Error: with NotLeader and TooLarge, data will not be
// applied; with NoQuorum, the outcome is unknown.
func (r *Replica) Propose(ctx context.Context, data []byte) (result any, index uint64, err error) {
	if p := r.published.Load(); p == nil || p.status.Role != raft.Leader {
		return nil, 0, r.notLeaderError()
	}
	ctx, cancel := r.withProposeTimeout(ctx)
	defer cancel()
	p := &proposal{data: data, done: make(chan outcome, 1)}
	select {
	case r.proposals <- p:
		return r.awaitOutcome(ctx, p.done)
	case <-ctx.Done():
		return nil, 0, errkind.New(errkind.NoQuorum, "not proposed: %v", ctx.Err())
	case <-r.stopped:
		return nil, 0, errkind.New(errkind.NoQuorum, "not proposed: the member has stopped")
	}
}

func (r *Replica) withProposeTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, r.o.ProposeTimeout)
}

func (r *Replica) awaitOutcome(ctx context.Context, done <-chan outcome) (result any, index uint64, err error) {
	select {
	case out := <-done:
		return out.result, out.index, out.err
	case <-ctx.Done():
		return nil, 0, errkind.New(errkind.NoQuorum, "outcome unknown: %v", ctx.Err())
	case <-r.stopped:
		return nil, 0, errkind.New(errkind.NoQuorum, "outcome unknown: the member has stopped")
	}
}

func (r *Replica) notLeaderError() error {
	name, address, _ := r.Leader()
	if name == "" {
		return errkind.New(errkind.NotLeader, "no leader is known")
	}
	return errkind.New(errkind.NotLeader, "the leader is %s at %s", name, address)
}

// Leader returns the name and RPC address of the leader, or empty strings if none is known. self
// is true if this member leads and has applied all entries of earlier terms.
func (r *Replica) Leader() (name, address string, self bool) {
	m, self := r.LeaderMember()
	return m.Name, m.Address, self
}

// LeaderMember returns the leader; its name is empty if none is known. self is as in Leader.
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

// HoldsLease reports whether, at some time after the call began, this member was the only
// possible leader and had applied all entries of earlier terms. To serve a request under the
// lease, call it after the request was received. A process that was frozen reads the clock after
// it resumes, so an expired lease is not reported.
func (r *Replica) HoldsLease() bool {
	p := r.published.Load()
	return p != nil && p.ready && r.now() < p.leaseUntil
}

// Leadership returns the channel of leadership changes, for a single receiver. It holds only the
// latest change: a slow receiver compares terms to detect missed changes.
func (r *Replica) Leadership() <-chan LeadershipChange { return r.leadership }

// sendLeadershipChange replaces the change that was not received yet, if any. Only the raft
// goroutine calls it.
func (r *Replica) sendLeadershipChange(change LeadershipChange) {
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

// ID returns the member's random id.
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

// Close closes the files of a member that was opened and will not be served. It returns an error
// if Serve was called.
func (r *Replica) Close() error {
	if r.served.Swap(true) {
		return errors.New("the member is being served; cancel the context of Serve instead")
	}
	close(r.stopped)
	r.store.Close()
	return nil
}
