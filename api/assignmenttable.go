package api

import (
	"iter"
	"maps"
	"slices"
)

// tablePage is the number of assignments that are copied for the change of one.
const tablePage = 16

// AssignmentTable holds the assignments by service as a node knows them. It is immutable: With returns a changed
// table, which shares the pages without a change.
//
// Load pattern: in a large fleet the owners of a few of some thousand partitions change ten times a second, and
// each node gets each change. Copies of whole lists would be most of what a node allocates.
type AssignmentTable map[string]AssignmentList

// AssignmentList holds the assignments of one service by partition.
type AssignmentList struct {
	pages  []*[tablePage]Assignment
	length int
}

// NewAssignmentTable returns a table of the assignments.
func NewAssignmentTable(a Assignments) AssignmentTable {
	var updates []AssignmentUpdate
	for service, list := range a {
		for p, assignment := range list {
			updates = append(updates, AssignmentUpdate{PartitionRef{service, p}, assignment})
		}
	}
	return AssignmentTable{}.With(updates)
}

// With returns the table after the updates, t itself if there are none. Partitions must not be negative; lists
// grow as needed.
func (t AssignmentTable) With(updates []AssignmentUpdate) AssignmentTable {
	if len(updates) == 0 {
		return t
	}
	next := make(AssignmentTable, len(t)+1)
	maps.Copy(next, t)
	copied := make(map[*[tablePage]Assignment]bool)
	cloned := make(map[string]bool)
	for _, u := range updates {
		list := next[u.Service]
		if !cloned[u.Service] {
			list.pages = slices.Clone(list.pages)
			cloned[u.Service] = true
		}
		list.set(u.Partition, u.Assignment, copied)
		next[u.Service] = list
	}
	return next
}

// set changes one assignment. Pages that are not in copied are shared and are copied first.
func (l *AssignmentList) set(partition int, a Assignment, copied map[*[tablePage]Assignment]bool) {
	at := partition / tablePage
	for len(l.pages) <= at {
		page := new([tablePage]Assignment)
		copied[page] = true
		l.pages = append(l.pages, page)
	}
	if page := l.pages[at]; !copied[page] {
		own := *page
		l.pages[at] = &own
		copied[&own] = true
	}
	l.pages[at][partition%tablePage] = a
	l.length = max(l.length, partition+1)
}

// Len returns the number of partitions.
func (l AssignmentList) Len() int { return l.length }

// At returns the assignment of a partition; it is the zero Assignment for one that is not in the list. The
// caller must not change it.
func (l AssignmentList) At(partition int) *Assignment {
	if partition < 0 || partition >= l.length {
		return &Assignment{}
	}
	return &l.pages[partition/tablePage][partition%tablePage]
}

// All iterates over the assignments by partition. The caller must not change them.
func (l AssignmentList) All() iter.Seq2[int, *Assignment] {
	return func(yield func(int, *Assignment) bool) {
		for p := range l.length {
			if !yield(p, l.At(p)) {
				return
			}
		}
	}
}
