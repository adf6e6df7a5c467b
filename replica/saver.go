package replica

import (
	"context"

	"github.com/zinniapier/zinniapier/raft"
)

// storage is the write-ahead log. Its methods are those of *wal.Log.
type storage interface {
	Save(hs raft.HardState, entries []raft.Entry) error
	InstallSnapshot(s raft.Snapshot) error
	WriteSnapshot(s raft.Snapshot) error
	Prune(index uint64) error
	Interrupt()
	Close()
}

// saveTask is the state of ready to sync, or, if prune is not 0, the index up to which the log is removed.
type saveTask struct {
	ready raft.Ready
	prune uint64
}

// saver writes to the write-ahead log on its own goroutine, one task at a time, so that a slow disk does not
// delay heartbeats. After an error no task follows.
type saver struct {
	store   storage
	tasks   chan saveTask
	results chan error
}

func newSaver(store storage) *saver {
	return &saver{store: store, tasks: make(chan saveTask, 1), results: make(chan error, 1)}
}

func (s *saver) run(ctx context.Context) error {
	defer context.AfterFunc(ctx, s.store.Interrupt)()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case t := <-s.tasks:
			s.results <- s.do(t)
		}
	}
}

func (s *saver) do(t saveTask) error {
	if t.prune != 0 {
		return s.store.Prune(t.prune)
	}
	if t.ready.Snapshot != nil {
		if err := s.store.InstallSnapshot(*t.ready.Snapshot); err != nil {
			return err
		}
	}
	return s.store.Save(t.ready.HardState, t.ready.Entries)
}
