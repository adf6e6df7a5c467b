package state

import (
	"maps"
	"slices"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// division returns the partitions and splits of a range-partitioned service, and whether it has any
// assignments.
func (e *editor) division(name string) (api.Division, bool) {
	if d, ok := e.state.Divisions[name]; ok {
		return d, true
	}
	list, ok := e.state.Assignments[name]
	return api.Division{Partitions: len(list)}, ok
}

// setDivision replaces the stored partitions and splits of a service; nil removes them.
func (e *editor) setDivision(name string, d *api.Division) {
	next := maps.Clone(e.state.Divisions)
	if next == nil {
		next = make(map[string]api.Division)
	}
	if d == nil {
		delete(next, name)
	} else {
		next[name] = *d
	}
	e.state.Divisions = next
}

// split splits a partition of a range-partitioned service. The parts keep its owner and epoch, so
// nothing changes for the target, which treats adjacent ranges of one epoch as one range.
func (e *editor) split(s SplitRange) *errkind.Error {
	service := e.state.Configuration.Services.Find(s.Service)
	if service == nil || !service.Ranged() {
		return errkind.New(errkind.NotFound, "no service %q divided into ranges", s.Service)
	}
	if s.Partition >= service.Partitions || service.IsSplit(s.Partition) {
		return errkind.New(errkind.Conflict, "partition %d of %q cannot be divided", s.Partition, s.Service)
	}
	base, err := e.editableAssignment(s.Step, api.Unassigned, api.Granted)
	if err != nil {
		return err
	}
	if width := service.Range(s.Partition).Len(); s.Parts < 2 || s.Parts > width || service.Count()+s.Parts > maxPartitions {
		return errkind.New(errkind.Invalid, "%d parts of partition %d of %q with %d keys", s.Parts, s.Partition, s.Service, width)
	}
	owner, first := *base, service.Count()
	*base = api.Assignment{Epoch: owner.Epoch}
	list := e.list(s.Service)
	for i := range s.Parts {
		list = append(list, owner)
		e.changed = append(e.changed, api.PartitionRef{Service: s.Service, Partition: first + i})
	}
	e.setList(s.Service, list)
	e.addSplit(service, api.RangeSplit{Base: s.Partition, First: first, Parts: s.Parts})
	return nil
}

// addSplit records a split in the configuration, which is sent to every node.
func (e *editor) addSplit(service *api.Service, r api.RangeSplit) {
	splits := service.WithSplit(r)
	e.setDivision(service.Name, &api.Division{Partitions: service.Partitions, Splits: splits})
	c := &e.state.Configuration
	c.Services.Services = slices.Clone(c.Services.Services)
	c.Services.Find(service.Name).Splits = splits
	c.Version = e.state.Index
}
