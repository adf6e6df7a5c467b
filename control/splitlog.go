package control

import (
	"reflect"
	"slices"

	"github.com/zinniapier/zinniapier/api"
)

// splitLog holds the splits since the last other change of the configuration.
//
// Load pattern: keys become busy all over the range of keys of a large service. Each split is a version of
// the configuration, and every node would be sent and decode the whole of it several times a second.
type splitLog struct {
	latest api.Configuration
	// base is the version after the last other change.
	base   uint64
	splits []versionedSplit // by version
}

// versionedSplit is a split with the version of the configuration that it is part of.
type versionedSplit struct {
	api.ServiceSplit
	version uint64
}

// observe records the changes from the last observed configuration to c.
func (l *splitLog) observe(c *api.Configuration) {
	added, ok := addedSplits(&l.latest, c)
	if !ok {
		l.base, l.splits = c.Version, nil
	}
	for _, split := range added {
		l.splits = append(l.splits, versionedSplit{split, c.Version})
	}
	l.latest = *c
}

// since returns the splits after a version, and whether nothing else has changed since then. Splits of
// versions that were not observed may precede that version.
func (l *splitLog) since(version uint64) (splits []api.ServiceSplit, ok bool) {
	if version < l.base || version > l.latest.Version || version == 0 {
		return nil, false
	}
	for _, s := range l.splits {
		if s.version > version {
			splits = append(splits, s.ServiceSplit)
		}
	}
	return splits, true
}

// addedSplits returns the splits that c has and old lacks, and whether they are the only difference.
func addedSplits(old, c *api.Configuration) (added []api.ServiceSplit, ok bool) {
	if !reflect.DeepEqual(withoutSplits(old), withoutSplits(c)) {
		return nil, false
	}
	for i := range c.Services.Services {
		s := &c.Services.Services[i]
		before := &old.Services.Services[i]
		kept := 0
		for _, split := range s.Splits {
			if slices.Contains(before.Splits, split) {
				kept++
				continue
			}
			added = append(added, api.ServiceSplit{Service: s.Name, RangeSplit: split})
		}
		if kept != len(before.Splits) {
			return nil, false
		}
	}
	return added, true
}

// withoutSplits returns the configuration without version and splits.
func withoutSplits(c *api.Configuration) api.Configuration {
	plain := *c
	plain.Version = 0
	plain.Services.Services = slices.Clone(c.Services.Services)
	for i := range plain.Services.Services {
		plain.Services.Services[i].Splits = nil
	}
	return plain
}
