package replica

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/raft"
	"github.com/zinniapier/zinniapier/wal"
)

// outcome is the end of a proposal.
type outcome struct {
	result any
	index  uint64
	err    error
}

// waiter is a proposal that waits to be applied.
type waiter struct {
	term uint64
	done chan outcome // has room for one
}

// applyTask is a snapshot to restore or entries to apply.
type applyTask struct {
	restore *raft.Snapshot
	entries []raft.Entry
}

// applier runs the state machine on its own goroutine, so that a slow state machine does
// not delay heartbeats. Tasks refer to entries that the core holds anyway.
type applier struct {
	fsm             FSM
	log             *logrus.Entry
	store           *wal.Log
	snapshotEntries uint64
	compactions     chan raft.Snapshot
	// wake tells the raft goroutine that the term of the applied entries has changed.
	wake chan struct{}

	mu      sync.Mutex
	tasks   []applyTask
	waiters map[uint64]waiter
	more    chan struct{}

	applied     atomic.Uint64
	appliedTerm atomic.Uint64

	// Used by the goroutine only.
	membership raft.Membership
	snapIndex  uint64
}

func newApplier(o Options, log *logrus.Entry, store *wal.Log, snap raft.Snapshot) *applier {
	a := &applier{
		fsm: o.FSM, log: log, store: store, snapshotEntries: uint64(o.SnapshotEntries),
		compactions: make(chan raft.Snapshot, 1), wake: make(chan struct{}, 1),
		waiters: make(map[uint64]waiter), more: make(chan struct{}, 1),
		membership: snap.Membership, snapIndex: snap.Index,
	}
	a.applied.Store(snap.Index)
	return a
}

// push queues the committed work of a Ready.
func (a *applier) push(rd raft.Ready) {
	if rd.Snapshot == nil && len(rd.Committed) == 0 {
		return
	}
	a.mu.Lock()
	a.tasks = append(a.tasks, applyTask{restore: rd.Snapshot, entries: rd.Committed})
	a.mu.Unlock()
	notify(a.more)
}

// await registers a proposal before its entry can be committed.
func (a *applier) await(index, term uint64, done chan outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiters[index] = waiter{term: term, done: done}
}

func (a *applier) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.more:
		}
		a.mu.Lock()
		tasks := a.tasks
		a.tasks = nil
		a.mu.Unlock()
		for _, task := range tasks {
			if err := a.do(ctx, task); err != nil {
				return err
			}
		}
	}
}

func (a *applier) do(ctx context.Context, task applyTask) error {
	if task.restore != nil {
		if err := a.restore(*task.restore); err != nil {
			return err
		}
	}
	for _, e := range task.entries {
		if err := a.apply(e); err != nil {
			return err
		}
	}
	if a.applied.Load() >= a.snapIndex+a.snapshotEntries {
		a.snapshot(ctx)
	}
	return nil
}

// restoreState loads a snapshot; one without data stands for the initial state.
func restoreState(fsm FSM, s raft.Snapshot) error {
	if len(s.Data) == 0 {
		return nil
	}
	return errors.Annotatef(fsm.Restore(s.Data), "restore the snapshot at %d", s.Index)
}

func (a *applier) restore(s raft.Snapshot) error {
	if err := restoreState(a.fsm, s); err != nil {
		return err
	}
	a.membership, a.snapIndex = s.Membership, s.Index
	a.applied.Store(s.Index)
	a.mu.Lock()
	defer a.mu.Unlock()
	for index, w := range a.waiters {
		if index <= s.Index {
			w.done <- outcome{err: errkind.New(errkind.NoQuorum, "outcome unknown: the entry is inside a snapshot")}
			delete(a.waiters, index)
		}
	}
	return nil
}

func (a *applier) apply(e raft.Entry) error {
	var result any
	switch e.Type {
	case raft.Normal:
		result = a.fsm.Apply(e.Index, e.Data)
	case raft.MembershipChange:
		m, err := raft.DecodeMembership(e.Data)
		if err != nil {
			return err
		}
		a.membership = m
	}
	a.applied.Store(e.Index)
	if a.appliedTerm.Swap(e.Term) != e.Term {
		notify(a.wake)
	}
	a.complete(e, result)
	return nil
}

// complete ends the proposal at the entry's index. Another term means that the proposed
// entry was replaced and will never be applied.
func (a *applier) complete(e raft.Entry, result any) {
	a.mu.Lock()
	w, ok := a.waiters[e.Index]
	delete(a.waiters, e.Index)
	a.mu.Unlock()
	if !ok {
		return
	}
	if w.term != e.Term {
		w.done <- outcome{err: errkind.New(errkind.NotLeader, "another leader took over; the proposal was dropped")}
		return
	}
	w.done <- outcome{result: result, index: e.Index}
}

// snapshot stores the present state and hands it to the raft goroutine for compaction. A
// failure leaves the log longer and is tried again after as many entries.
func (a *applier) snapshot(ctx context.Context) {
	index := a.applied.Load()
	a.snapIndex = index
	data, err := a.fsm.Snapshot()
	s := raft.Snapshot{Index: index, Term: a.appliedTerm.Load(), Membership: a.membership, Data: data}
	if err == nil {
		err = a.store.WriteSnapshot(s)
	}
	if err != nil {
		a.log.WithError(err).Error("Snapshot failed.")
		return
	}
	select {
	case a.compactions <- s:
	case <-ctx.Done():
	}
}

// failAll ends all proposals whose outcome will not be known.
func (a *applier) failAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for index, w := range a.waiters {
		w.done <- outcome{err: errkind.New(errkind.NoQuorum, "outcome unknown: the member stops")}
		delete(a.waiters, index)
	}
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
