package state

import (
	"slices"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// editor modifies a copy of the state. The assignment map and lists are shared with published views, so
// each is copied before its first change.
type editor struct {
	state             *api.ControlState
	assignmentsCopied bool // the map Assignments is a copy
	copiedLists       map[string]bool
	placesCopied      bool // the map Places is a copy
	changed           []api.PartitionRef
}

func newEditor(next *api.ControlState) *editor {
	return &editor{state: next, copiedLists: make(map[string]bool)}
}

// list returns the assignments of the service for modification, or nil if it has none.
func (e *editor) list(service string) []api.Assignment {
	list, ok := e.state.Assignments[service]
	if !ok || e.copiedLists[service] {
		return list
	}
	list = slices.Clone(list)
	e.setList(service, list)
	return list
}

// copyAssignments copies the map Assignments before its first change.
func (e *editor) copyAssignments() {
	if e.assignmentsCopied {
		return
	}
	e.assignmentsCopied = true
	next := make(api.Assignments, len(e.state.Assignments))
	for name, list := range e.state.Assignments {
		next[name] = list
	}
	e.state.Assignments = next
}

// setList replaces the assignments of the service by a list that is not shared.
func (e *editor) setList(service string, list []api.Assignment) {
	e.copyAssignments()
	e.copiedLists[service] = true
	e.state.Assignments[service] = list
}

// editableAssignment returns the assignment of the step for modification. It fails unless the assignment
// has the expected epoch and one of the states.
func (e *editor) editableAssignment(s Step, states ...api.AssignmentState) (*api.Assignment, *errkind.Error) {
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

// release makes the assignment unassigned and keeps the handover token for the next owner.
func (e *editor) release(s Step) *errkind.Error {
	a, err := e.editableAssignment(s, api.Granted, api.Releasing)
	if err != nil {
		return err
	}
	// The epoch is kept, so that the next grant can name the assignment that it replaces.
	*a = api.Assignment{Epoch: a.Epoch, Handover: s.Handover}
	return nil
}

// revoke marks a granted assignment as releasing.
func (e *editor) revoke(s Step) *errkind.Error {
	a, err := e.editableAssignment(s, api.Granted)
	if err != nil {
		return err
	}
	a.State = api.Releasing
	return nil
}

// grant gives an unassigned partition to a target under a new epoch.
func (e *editor) grant(g Grant) *errkind.Error {
	if e.state.Configuration.Services.Find(g.Service) == nil {
		return errkind.New(errkind.NotFound, "no service %q", g.Service)
	}
	a, err := e.editableAssignment(g.Step, api.Unassigned)
	if err != nil {
		return err
	}
	*a = api.Assignment{
		State: api.Granted, Target: g.Target, Session: g.Session, Place: g.Place,
		Epoch: api.Epoch(e.state.Index), Handover: a.Handover,
	}
	e.recordStart(g)
	return nil
}

// rebind moves the assignment to another session. The epoch is kept, because the target is the same.
func (e *editor) rebind(g Grant) *errkind.Error {
	a, err := e.editableAssignment(g.Step, api.Granted, api.Releasing)
	if err != nil {
		return err
	}
	if a.Target != g.Target {
		return errkind.New(errkind.Conflict, "partition %d of %q belongs to another target", g.Partition, g.Service)
	}
	a.Session = g.Session
	return nil
}

// applyBatch applies the steps of a batch and returns *BatchResult, or *errkind.Error for a stale term.
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
		ref, err := e.createOverride(o)
		record(ref, err)
	}
	for _, s := range b.Splits {
		record(s.PartitionRef, e.split(s))
	}
	for _, s := range b.Rollouts {
		if err := e.stepRollout(s); err != nil {
			result.Rejected = append(result.Rejected, Rejection{api.PartitionRef{Service: s.Service}, err})
			continue
		}
		result.Applied++
	}
	result.Applied += e.updatePlaces(b.Departures, b.Forgets)
	result.Applied += e.updateSessions(b.Opens, b.Closes)
	pruned := e.pruneRemovedServices()
	m.recordMapChanges(e, pruned)
	return result
}

// updateSessions opens and closes sessions and returns the number of changes.
func (e *editor) updateSessions(opens, closes []api.SessionID) (changed int) {
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

// recordMapChanges records the changed assignments under a new map version. serviceRemoved clears the
// history, because a delta cannot express the removal of a service.
func (m *Machine) recordMapChanges(e *editor, serviceRemoved bool) {
	if len(e.changed) == 0 && !serviceRemoved {
		return
	}
	e.state.MapVersion = e.state.Index
	if serviceRemoved {
		m.history.reset(e.state.MapVersion)
		return
	}
	m.history.add(e.state.MapVersion, e.changed)
}

// pruneRemovedServices drops the assignments of removed services without an owned partition, and reports
// whether it dropped any.
func (e *editor) pruneRemovedServices() bool {
	pruned := false
	for _, name := range e.removedServices() {
		held := slices.ContainsFunc(e.state.Assignments[name], func(a api.Assignment) bool {
			return a.State != api.Unassigned
		})
		if !held {
			e.copyAssignments()
			e.copiedLists[name] = true
			delete(e.state.Assignments, name)
			e.setDivision(name, nil)
			pruned = true
		}
	}
	return pruned
}

// removedServices returns the services that have assignments but are not configured.
func (e *editor) removedServices() []string {
	var names []string
	for name := range e.state.Assignments {
		if e.state.Configuration.Services.Find(name) == nil {
			names = append(names, name)
		}
	}
	return names
}
