package api

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a changed table that loses a change, or that changes a table which requests still use.
func TestAssignmentTableKeepsEarlierTables(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, model := AssignmentTable{}, Assignments{}
		type version struct {
			table AssignmentTable
			model Assignments
		}
		var versions []version
		for range rapid.IntRange(1, 8).Draw(t, "versions") {
			var updates []AssignmentUpdate
			next := Assignments{}
			for service, list := range model {
				next[service] = slices.Clone(list)
			}
			for range rapid.IntRange(0, 6).Draw(t, "updates") {
				service := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")
				p, epoch := rapid.IntRange(0, 70).Draw(t, "partition"), Epoch(rapid.Uint64().Draw(t, "epoch"))
				updates = append(updates, AssignmentUpdate{PartitionRef{service, p}, Assignment{Epoch: epoch}})
				for len(next[service]) <= p {
					next[service] = append(next[service], Assignment{})
				}
				next[service][p].Epoch = epoch
			}
			table, model = table.With(updates), next
			versions = append(versions, version{table, model})
		}
		for _, v := range versions {
			for _, service := range []string{"a", "b"} {
				var got []Assignment
				for p, a := range v.table[service].All() {
					if p != len(got) {
						t.Fatalf("partition %d at place %d", p, len(got))
					}
					got = append(got, *a)
				}
				if !slices.Equal(got, v.model[service]) || v.table[service].Len() != len(got) {
					t.Fatalf("got %v, want %v", got, v.model[service])
				}
			}
		}
	})
}

// Guards against a change of a few partitions that costs a copy of the whole list.
func TestAssignmentTableCopiesLittle(t *testing.T) {
	is := is.New(t)
	table := NewAssignmentTable(Assignments{"q": make([]Assignment, 3000)})
	changes := []AssignmentUpdate{{PartitionRef{"q", 5}, Assignment{Epoch: 1}}, {PartitionRef{"q", 2900}, Assignment{Epoch: 1}}}
	result := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			table.With(changes)
		}
	})
	is.True(result.AllocedBytesPerOp() < 10_000) // the list takes 264 KB
	is.Equal(*table["q"].At(-1), Assignment{})
	is.Equal(*table["q"].At(3000), Assignment{})
}
