package state

import (
	"slices"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// MaxOverrides bounds the overrides of a service. It is the number of hottest keys expected at the
// two-year size of the deployment.
const MaxOverrides = 210

// createOverride appends a partition for a single key. Its first owner is the owner of the key's hash
// partition, so that the key has one owner at any time.
func (e *editor) createOverride(o OverrideKey) (api.PartitionRef, *errkind.Error) {
	ref := api.PartitionRef{Service: o.Service, Partition: -1}
	service := e.state.Configuration.Services.Find(o.Service)
	if service == nil || !service.Divided() || service.Ranged() {
		return ref, errkind.New(errkind.NotFound, "no service %q divided by the hash of its keys", o.Service)
	}
	if err := e.checkOverride(o); err != nil {
		return ref, err
	}
	list := e.list(o.Service)
	owner := list[api.PartitionOf(o.Key, service.Partitions)]
	if owner.State == api.Releasing {
		return ref, errkind.New(errkind.Conflict, "the partition of key %q is being moved", o.Key)
	}
	owner.Epoch = api.Epoch(e.state.Index)
	ref.Partition = len(list)
	e.setList(o.Service, append(list, owner))
	c := &e.state.Configuration
	c.Overrides = append(slices.Clone(c.Overrides), api.Override{
		Service: o.Service, Key: o.Key, Partition: ref.Partition, Version: e.state.Index,
	})
	c.Version = e.state.Index
	return ref, nil
}

// checkOverride rejects a second override of a key, and overrides beyond MaxOverrides.
func (e *editor) checkOverride(o OverrideKey) *errkind.Error {
	n := 0
	for _, have := range e.state.Configuration.Overrides {
		if have.Service != o.Service {
			continue
		}
		if have.Key == o.Key {
			return errkind.New(errkind.Invalid, "key %q of %q has an override", o.Key, o.Service)
		}
		n++
	}
	if n >= MaxOverrides {
		return errkind.New(errkind.Invalid, "service %q has %d overrides", o.Service, n)
	}
	return nil
}
