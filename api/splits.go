package api

import (
	"cmp"
	"slices"
)

// RangeSplit divides a partition of a ranged service into parts of nearly equal length. The parts are
// partitions of their own, and the divided one is not used any more.
type RangeSplit struct {
	// Base is the partition that was divided.
	Base int `json:"base"`
	// First is the number of the first part; the others follow.
	First int `json:"first"`
	// Parts is the number of parts, at least 2 and at most the number of keys of Base.
	Parts int `json:"parts"`
}

// part returns the keys of a part of a range.
func (r *RangeSplit) part(whole KeyRange, i int) KeyRange {
	first := func(i int) int { return whole.First + (whole.Len()*i+r.Parts-1)/r.Parts }
	return KeyRange{First: first(i), Last: first(i+1) - 1}
}

// partOf returns the part in which a key of the range lies.
func (r *RangeSplit) partOf(whole KeyRange, key int) int {
	return (key - whole.First) * r.Parts / whole.Len()
}

// Len returns the number of keys.
func (r KeyRange) Len() int { return r.Last - r.First + 1 }

// findSplit returns the place of a divided partition in Splits, or the one where it would stand.
func (s *Service) findSplit(base int) (int, bool) {
	return slices.BinarySearchFunc(s.Splits, base, func(r RangeSplit, base int) int { return cmp.Compare(r.Base, base) })
}

// splitInto returns the split that made a partition, or nil.
func (s *Service) splitInto(partition int) *RangeSplit {
	if partition < s.Partitions {
		return nil
	}
	for i := range s.Splits {
		if r := &s.Splits[i]; r.First <= partition && partition < r.First+r.Parts {
			return r
		}
	}
	return nil
}

// BaseOf returns the partition that was divided into the given one, or -1 when it is not a part.
func (s *Service) BaseOf(partition int) int {
	if r := s.splitInto(partition); r != nil {
		return r.Base
	}
	return -1
}

// IsSplit reports whether a partition has been divided.
func (s *Service) IsSplit(partition int) bool {
	_, found := s.findSplit(partition)
	return found
}

// Count returns the number of partitions with all parts; the divided ones count too.
func (s *Service) Count() int {
	n := s.Partitions
	for _, r := range s.Splits {
		n += r.Parts
	}
	return n
}

// InKeyOrder calls f for each partition in use, in the order of their keys.
func (s *Service) InKeyOrder(f func(partition int)) {
	for base := range s.Partitions {
		i, found := s.findSplit(base)
		if !found {
			f(base)
			continue
		}
		for part := range s.Splits[i].Parts {
			f(s.Splits[i].First + part)
		}
	}
}

// ServiceSplit is a split of a partition of a service.
type ServiceSplit struct {
	Service string
	RangeSplit
}

// WithSplits returns the configuration with more splits, under their version. Splits that it has already
// are ignored, and so are those of unknown services.
func (c *Configuration) WithSplits(version uint64, splits []ServiceSplit) *Configuration {
	next := *c
	next.Version = version
	next.Services.Services = slices.Clone(c.Services.Services)
	for _, split := range splits {
		if s := next.Services.Find(split.Service); s != nil && !s.IsSplit(split.Base) {
			s.Splits = s.WithSplit(split.RangeSplit)
		}
	}
	return &next
}

// WithSplit returns the splits with another one in its place.
func (s *Service) WithSplit(r RangeSplit) []RangeSplit {
	i, _ := s.findSplit(r.Base)
	return slices.Insert(slices.Clone(s.Splits), i, r)
}
