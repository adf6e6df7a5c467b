package state

import (
	"slices"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// editor applies steps to a state whose assignment slices are shared with published
// views; each slice is copied before its first change.
type editor struct {
	state   *api.ControlState
	owned   bool // Assignments itself is a copy
	copied  map[string]bool
	changed []api.PartitionRef
}

func newEditor(next *api.ControlState) *editor {
	return &editor{state: next, copied: make(map[string]bool)}
}

// list returns the assignments of the service for modification, or nil when it has none.
func (e *editor) list(service string) []api.Assignment {
	list, ok := e.state.Assignments[service]
	if !ok || e.copied[service] {
		return list
	}
	list = slices.Clone(list)
	e.set(service, list)
	return list
}

// own copies the map itself before its first change.
func (e *editor) own() {
	if e.owned {
		return
	}
	e.owned = true
	next := make(api.Assignments, len(e.state.Assignments))
	for name, list := range e.state.Assignments {
		next[name] = list
	}
	e.state.Assignments = next
}

func (e *editor) set(service string, list []api.Assignment) {
	e.own()
	e.copied[service] = true
	e.state.Assignments[service] = list
}

// find returns the assignment for modification if it has the expected epoch and one of
// the states.
func (e *editor) find(s Step, states ...api.AssignmentState) (*api.Assignment, *errkind.Error) {
	list := e.state.Assignments[s.Service]
	if s.Partition < 0 || s.Partition >= len(list) {
		return nil, errkind.New(errkind.NotFound, "no partition %d of service %q", s.Partition, s.Service)
	}
	a := list[s.Partition]
	if a.Epoch != s.Expected {
		return nil, errkind.New(errkind.StaleEpoch, "partition %d of %q has epoch %d, expected %d",
			s.Partition, s.Service, a.Epoch, s.Expected)
	}
	if !slices.Contains(states, a.State) {
		return nil, errkind.New(errkind.Conflict, "partition %d of %q is %q", s.Partition, s.Service, a.State)
	}
	return &e.list(s.Service)[s.Partition], nil
}

func (e *editor) release(s Step) *errkind.Error {
	a, err := e.find(s, api.Granted, api.Releasing)
	if err != nil {
		return err
	}
	// The epoch stays, so that a grant names the assignment that it follows.
	*a = api.Assignment{Epoch: a.Epoch, Handover: s.Handover}
	return nil
}

func (e *editor) revoke(s Step) *errkind.Error {
	a, err := e.find(s, api.Granted)
	if err != nil {
		return err
	}
	a.State = api.Releasing
	return nil
}

func (e *editor) grant(g Grant) *errkind.Error {
	if e.state.Configuration.Services.Find(g.Service) == nil {
		return errkind.New(errkind.NotFound, "no service %q", g.Service)
	}
	a, err := e.find(g.Step, api.Unassigned)
	if err != nil {
		return err
	}
	*a = api.Assignment{
		State: api.Granted, Target: g.Target, Session: g.Session, Place: g.Place,
		Epoch: api.Epoch(e.state.Index), Handover: a.Handover,
	}
	return nil
}

// rebind gives the assignment to another session. The epoch stays, since the target does.
func (e *editor) rebind(g Grant) *errkind.Error {
	a, err := e.find(g.Step, api.Granted, api.Releasing)
	if err != nil {
		return err
	}
	if a.Target != g.Target {
		return errkind.New(errkind.Conflict, "partition %d of %q belongs to another target", g.Partition, g.Service)
	}
	a.Session = g.Session
	return nil
}

func (m *Machine) applyBatch(next *api.ControlState, b *Batch) any {
	if b.Term < m.term {
		return errkind.New(errkind.StaleEpoch, "batch of term %d after term %d", b.Term, m.term)
	}
	m.term = b.Term
	e := newEditor(next)
	result := &BatchResult{}
	record := func(ref api.PartitionRef, err *errkind.Error) {
		if err != nil {
			result.Rejected = append(result.Rejected, Rejection{ref, err})
			return
		}
		result.Applied++
		e.changed = append(e.changed, ref)
	}
	for _, s := range b.Releases {
		record(s.PartitionRef, e.release(s))
	}
	for _, s := range b.Revokes {
		record(s.PartitionRef, e.revoke(s))
	}
	for _, g := range b.Rebinds {
		record(g.PartitionRef, e.rebind(g))
	}
	for _, g := range b.Grants {
		record(g.PartitionRef, e.grant(g))
	}
	for _, o := range b.Overrides {
		ref, err := e.override(o)
		record(ref, err)
	}
	for _, s := range b.Splits {
		record(s.PartitionRef, e.split(s))
	}
	result.Applied += e.sessions(b.Opens, b.Closes)
	pruned := e.prune()
	m.publish(e, pruned)
	return result
}

// sessions opens and closes sessions and returns how many were changed.
func (e *editor) sessions(opens, closes []api.SessionID) (changed int) {
	if len(opens) == 0 && len(closes) == 0 {
		return 0
	}
	list := slices.Clone(e.state.Sessions)
	for _, id := range closes {
		if i, open := slices.BinarySearch(list, id); open {
			list = slices.Delete(list, i, i+1)
			changed++
		}
	}
	for _, id := range opens {
		if i, open := slices.BinarySearch(list, id); !open {
			list = slices.Insert(list, i, id)
			changed++
		}
	}
	e.state.Sessions = list
	return changed
}

// publish records the changed assignments under a new map version. full says that a
// service has gone, which a delta cannot express.
func (m *Machine) publish(e *editor, full bool) {
	if len(e.changed) == 0 && !full {
		return
	}
	e.state.MapVersion = e.state.Index
	if full {
		m.history.reset(e.state.MapVersion)
		return
	}
	m.history.add(e.state.MapVersion, e.changed)
}

// prune drops the assignments of removed services of which nobody owns a partition any
// more.
func (e *editor) prune() bool {
	pruned := false
	for _, name := range e.removedServices() {
		held := slices.ContainsFunc(e.state.Assignments[name], func(a api.Assignment) bool {
			return a.State != api.Unassigned
		})
		if !held {
			e.own()
			e.copied[name] = true
			delete(e.state.Assignments, name)
			e.setDivision(name, nil)
			pruned = true
		}
	}
	return pruned
}

func (e *editor) removedServices() []string {
	var names []string
	for name := range e.state.Assignments {
		if e.state.Configuration.Services.Find(name) == nil {
			names = append(names, name)
		}
	}
	return names
}
