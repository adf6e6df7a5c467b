package state

import (
	"slices"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

const (
	// defaultPartitions is the number of partitions of a partitioned service that does not set one.
	defaultPartitions = 64
	// maxPartitions bounds the partitions of a service, since every node holds the whole map.
	maxPartitions = 1 << 16
)

// applyServices replaces the services. The assignments of a removed service are kept until its
// partitions have been released. Until then the service can be added again only if reclaim is set; it
// then keeps its assignments, and a range-partitioned service its number of partitions.
func (e *editor) applyServices(s *api.Services, reclaim bool) *errkind.Error {
	if s == nil {
		return errkind.New(errkind.Invalid, "no services")
	}
	services := api.Services{Services: slices.Clone(s.Services)}
	for i := range services.Services {
		v := &services.Services[i]
		v.Splits = nil
		if d, divided := e.division(v.Name); divided && v.Ranged() {
			v.Splits = d.Splits
			if reclaim {
				v.Partitions = d.Partitions
			}
		}
		if v.Divided() && v.Partitions == 0 {
			v.Partitions = defaultPartitions
		}
		if err := e.checkService(v, services.Services[:i], reclaim); err != nil {
			return err
		}
	}
	if err := checkDependencies(&services); err != nil {
		return err
	}
	old := e.state.Configuration.Services
	e.state.Configuration.Services = services
	e.dropOrphanedOverrides()
	e.dropOrphanedRollouts()
	for _, v := range services.Services {
		if _, exists := e.state.Assignments[v.Name]; old.Find(v.Name) == nil && v.Divided() && !exists {
			e.createAssignments(v)
		}
	}
	return nil
}

// checkService validates a service against the ones before it in the list and the current state.
func (e *editor) checkService(v *api.Service, before []api.Service, reclaim bool) *errkind.Error {
	if v.Name == "" {
		return errkind.New(errkind.Invalid, "service without name")
	}
	if slices.ContainsFunc(before, func(b api.Service) bool { return b.Name == v.Name }) {
		return errkind.New(errkind.Invalid, "service %q appears twice", v.Name)
	}
	if v.Divided() && (v.Partitions < 1 || v.Partitions > maxPartitions) {
		return errkind.New(errkind.Invalid, "service %q: partitions must be 1 to %d", v.Name, maxPartitions)
	}
	old := e.state.Configuration.Services.Find(v.Name)
	if old != nil && (old.Divided() != v.Divided() || v.Divided() && old.Partitions != v.Partitions) {
		return errkind.New(errkind.Invalid, "service %q: the number of partitions cannot change", v.Name)
	}
	if have, releasing := e.state.Assignments[v.Name]; old == nil && releasing && !(reclaim && len(have) == v.Count()) {
		return errkind.New(errkind.Conflict, "service %q was removed and is still being released", v.Name)
	}
	return nil
}

// checkDependencies rejects dependencies on services that are not configured.
func checkDependencies(s *api.Services) *errkind.Error {
	for _, v := range s.Services {
		for _, name := range v.DependsOn {
			if s.Find(name) == nil {
				return errkind.New(errkind.Invalid, "service %q depends on unknown service %q", v.Name, name)
			}
		}
	}
	return nil
}

// dropOrphanedOverrides drops the overrides of removed services.
func (e *editor) dropOrphanedOverrides() {
	c := &e.state.Configuration
	c.Overrides = slices.DeleteFunc(slices.Clone(c.Overrides), func(o api.Override) bool {
		return c.Services.Find(o.Service) == nil
	})
}

// createAssignments creates the unassigned partitions of a new service.
func (e *editor) createAssignments(v api.Service) {
	if v.Ranged() {
		e.setDivision(v.Name, &api.Division{Partitions: v.Partitions})
	}
	list := make([]api.Assignment, v.Partitions)
	e.setList(v.Name, list)
	for i := range list {
		list[i].Epoch = api.Epoch(e.state.Index)
		e.changed = append(e.changed, api.PartitionRef{Service: v.Name, Partition: i})
	}
}
