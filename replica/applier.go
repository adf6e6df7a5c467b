package replica

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/raft"
)

// outcome is the result of a proposal: the result of Apply and the entry's index, or an error.
type outcome struct {
	result any
	index  uint64
	err    error
}

// waiter is a proposal whose entry is not applied yet.
type waiter struct {
	term uint64
	done chan outcome // buffered, so that sending never blocks
}

// applyTask is a snapshot to restore, if any, and entries to apply after it.
type applyTask struct {
	restore *raft.Snapshot
	entries []raft.Entry
}

// applier runs the state machine on its own goroutine, so that a slow state machine does not
// delay heartbeats. Queued tasks share the memory of the core's entries.
type applier struct {
	fsm             FSM
	log             *logrus.Entry
	store           storage
	snapshotEntries uint64
	compactions     chan raft.Snapshot
	// wake notifies the raft goroutine that the term of the last applied entry has changed.
	wake chan struct{}

	mu         sync.Mutex
	tasks      []applyTask
	waiters    map[uint64]waiter
	tasksAdded chan struct{}

	applied     atomic.Uint64
	appliedTerm atomic.Uint64

	// Used only by the goroutine that runs the state machine.
	membership     raft.Membership
	snapIndex      uint64
	snapBytes      int // size of the last snapshot
	bytesSinceSnap int // data of the entries applied after snapIndex
}

func newApplier(o Options, log *logrus.Entry, store storage, snap raft.Snapshot) *applier {
	a := &applier{
		fsm: o.FSM, log: log, store: store, snapshotEntries: uint64(o.SnapshotEntries),
		compactions: make(chan raft.Snapshot, 1), wake: make(chan struct{}, 1),
		waiters: make(map[uint64]waiter), tasksAdded: make(chan struct{}, 1),
		membership: snap.Membership, snapIndex: snap.Index, snapBytes: len(snap.Data),
	}
	a.applied.Store(snap.Index)
	return a
}

// enqueue queues the snapshot and the committed entries of a Ready.
func (a *applier) enqueue(rd raft.Ready) {
	if rd.Snapshot == nil && len(rd.Committed) == 0 {
		return
	}
	a.mu.Lock()
	a.tasks = append(a.tasks, applyTask{restore: rd.Snapshot, entries: rd.Committed})
	a.mu.Unlock()
	notify(a.tasksAdded)
}

// awaitApplied registers a proposal, to be called before its entry can be committed. done receives
// the outcome.
func (a *applier) awaitApplied(index, term uint64, done chan outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiters[index] = waiter{term: term, done: done}
}

func (a *applier) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.tasksAdded:
		}
		a.mu.Lock()
		tasks := a.tasks
		a.tasks = nil
		a.mu.Unlock()
		for _, task := range tasks {
			if err := a.runTask(ctx, task); err != nil {
				return err
			}
		}
	}
}

func (a *applier) runTask(ctx context.Context, task applyTask) error {
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
	if a.applied.Load() >= a.snapIndex+a.snapshotEntries || a.bytesSinceSnap >= a.snapshotBytes() {
		a.snapshot(ctx)
	}
	return nil
}

// snapshotBytes returns the size of entries after which the next snapshot follows.
func (a *applier) snapshotBytes() int {
	return min(max(a.snapBytes, minBytesToSnapshot), maxBytesToSnapshot)
}

// restoreState restores a snapshot. A snapshot without data is the initial state.
func restoreState(fsm FSM, s raft.Snapshot) error {
	if len(s.Data) == 0 {
		return nil
	}
	return errors.Annotatef(fsm.Restore(s.Data), "restore snapshot at index %d", s.Index)
}

func (a *applier) restore(s raft.Snapshot) error {
	if err := restoreState(a.fsm, s); err != nil {
		return err
	}
	a.membership, a.snapIndex, a.bytesSinceSnap = s.Membership, s.Index, 0
	a.snapBytes = len(s.Data)
	a.applied.Store(s.Index)
	a.mu.Lock()
	defer a.mu.Unlock()
	for index, w := range a.waiters {
		if index <= s.Index {
			w.done <- outcome{err: errkind.New(errkind.NoQuorum, "outcome unknown: the entry was replaced by a snapshot")}
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
	a.bytesSinceSnap += len(e.Data)
	a.applied.Store(e.Index)
	if a.appliedTerm.Swap(e.Term) != e.Term {
		notify(a.wake)
	}
	a.complete(e, result)
	return nil
}

// complete sends the outcome of the proposal at the entry's index. If the term differs, the
// proposed entry was replaced and will never be applied.
func (a *applier) complete(e raft.Entry, result any) {
	a.mu.Lock()
	w, ok := a.waiters[e.Index]
	delete(a.waiters, e.Index)
	a.mu.Unlock()
	if !ok {
		return
	}
	if w.term != e.Term {
		w.done <- outcome{err: errkind.New(errkind.NotLeader, "the proposal was replaced by an entry of another leader")}
		return
	}
	w.done <- outcome{result: result, index: e.Index}
}

// snapshot stores a snapshot of the state machine and passes it to the raft goroutine for
// compaction. After a failure, the next attempt follows after another snapshotEntries entries or
// snapshotBytes of them.
func (a *applier) snapshot(ctx context.Context) {
	index := a.applied.Load()
	a.snapIndex, a.bytesSinceSnap = index, 0
	data, err := a.fsm.Snapshot()
	s := raft.Snapshot{Index: index, Term: a.appliedTerm.Load(), Membership: a.membership, Data: data}
	if err == nil {
		a.snapBytes = len(data)
		err = a.store.WriteSnapshot(s)
	}
	if err != nil {
		a.log.WithError(err).Error("Could not store a snapshot.")
		return
	}
	select {
	case a.compactions <- s:
	case <-ctx.Done():
	}
}

// failAll fails all pending proposals; their outcome is unknown.
func (a *applier) failAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for index, w := range a.waiters {
		w.done <- outcome{err: errkind.New(errkind.NoQuorum, "outcome unknown: the member is stopping")}
		delete(a.waiters, index)
	}
}

// notify sends on a channel of capacity 1 unless a notification is pending.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
