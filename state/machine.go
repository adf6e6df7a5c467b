package state

import (
	"encoding/json"
	"sync/atomic"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// Machine is the state machine. Apply, Snapshot and Restore must not be called concurrently; View and
// Changes are safe for concurrent use.
type Machine struct {
	view    atomic.Pointer[api.ControlState]
	term    uint64 // highest term of an applied batch
	results results
	history history
}

// New returns a machine with an empty state.
func New() *Machine {
	m := &Machine{results: newResults()}
	m.view.Store(&api.ControlState{Assignments: api.Assignments{}})
	return m
}

// View returns the state after the last applied entry. Callers must not modify it.
func (m *Machine) View() *api.ControlState { return m.view.Load() }

// Changes returns the partitions whose assignment changed after the map version, possibly with
// duplicates. ok is false if the bounded history does not reach back to that version.
func (m *Machine) Changes(since uint64) (refs []api.PartitionRef, ok bool) {
	return m.history.since(since)
}

// Apply applies one log entry. It returns *api.ChangeResult for an operator's change, *BatchResult for a
// batch, and *errkind.Error for an entry that it cannot apply: Invalid if it is malformed, StaleEpoch
// if a batch of a higher term has been applied.
func (m *Machine) Apply(index uint64, data []byte) any {
	next := *m.view.Load()
	next.Index = index
	result := m.apply(&next, data)
	m.view.Store(&next)
	return result
}

func (m *Machine) apply(next *api.ControlState, data []byte) any {
	c, err := decodeCommand(data)
	if err != nil {
		return errkind.New(errkind.Invalid, "log entry %d: %v", next.Index, err)
	}
	switch {
	case c.Kind == ConfigChange && c.Change != nil:
		return m.applyChange(next, c.Change)
	case c.Kind == GrantBatch && c.Batch != nil:
		return m.applyBatch(next, c.Batch)
	}
	return errkind.New(errkind.Invalid, "log entry %d has unknown kind %q", next.Index, c.Kind)
}

// snapshot is the JSON form of the machine.
type snapshot struct {
	State   *api.ControlState `json:"state"`
	Term    uint64            `json:"term"`
	Results []storedResult    `json:"results"`
}

// Snapshot returns the machine as JSON. Equal machines have equal snapshots.
func (m *Machine) Snapshot() ([]byte, error) {
	data, err := json.Marshal(snapshot{State: m.view.Load(), Term: m.term, Results: m.results.list()})
	return data, errors.Annotate(err, "encode snapshot")
}

// Restore replaces the state with that of a snapshot. On an error the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.Annotate(err, "decode snapshot")
	}
	if s.State == nil {
		return errors.New("snapshot without state")
	}
	if s.State.Assignments == nil {
		s.State.Assignments = api.Assignments{}
	}
	m.term = s.Term
	m.results = newResults()
	for _, r := range s.Results {
		m.results.add(r.ID, r.Result)
	}
	m.history.reset(s.State.MapVersion)
	m.view.Store(s.State)
	return nil
}
