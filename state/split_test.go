package state

import (
	"testing"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// rangedReplacement returns a replacement with one service that is partitioned into four ranges.
func rangedReplacement(base, label uint64) api.Change {
	c := replacement(base, label, "quotes")
	c.Replacement.Services.Services[0].Key = &api.KeySource{Header: "K", Span: 400}
	return c
}

func splitOf(partition, parts int, expected api.Epoch) Batch {
	ref := api.PartitionRef{Service: "quotes", Partition: partition}
	return Batch{Splits: []SplitRange{{Step: Step{PartitionRef: ref, Expected: expected}, Parts: parts}}}
}

// Guards against a split that changes the owner or epoch of keys, splits a partition that is being moved,
// or is undone by a later configuration.
func TestSplitKeepsOwnerAndEpoch(t *testing.T) {
	is := is.New(t)
	m := &testMachine{Machine: New(), t: t}
	is.Equal(kind(m.change(rangedReplacement(0, 1))), errkind.Kind(""))
	applied := func(b Batch) int { return m.batch(b).(*BatchResult).Applied }
	list := func() []api.Assignment { return m.View().Assignments["quotes"] }
	grant := func(p int) {
		step := Step{PartitionRef: api.PartitionRef{Service: "quotes", Partition: p}, Expected: list()[p].Epoch}
		is.Equal(applied(Batch{Grants: []Grant{{Step: step, Target: "t", Session: "s", Place: "p"}}}), 1)
	}
	grant(1)
	grant(2)
	owner := list()[1]
	before := m.View()
	is.Equal(applied(splitOf(1, 5, owner.Epoch-1)), 0) // earlier epoch
	is.Equal(applied(splitOf(1, 101, owner.Epoch)), 0) // more parts than keys
	is.Equal(applied(splitOf(1, 5, owner.Epoch)), 1)
	is.Equal(applied(splitOf(1, 5, owner.Epoch)), 0) // already split
	is.Equal(len(before.Assignments["quotes"]), 4)   // the published state is unchanged
	is.Equal(len(before.Configuration.Services.Find("quotes").Splits), 0)
	is.Equal(len(list()), 9)
	is.Equal(list()[1], api.Assignment{Epoch: owner.Epoch})
	for part := 4; part < 9; part++ {
		is.Equal(list()[part], owner)
	}
	is.Equal(m.View().Configuration.Services.Find("quotes").PartitionOf("140"), 6)
	refs, ok := m.Changes(before.MapVersion)
	is.True(ok)
	is.Equal(len(refs), 6)

	revoke := Step{PartitionRef: api.PartitionRef{Service: "quotes", Partition: 2}, Expected: list()[2].Epoch}
	is.Equal(applied(Batch{Revokes: []Step{revoke}}), 1)
	is.Equal(applied(splitOf(2, 5, list()[2].Epoch)), 0) // being released

	is.Equal(kind(m.change(rangedReplacement(1, 2))), errkind.Kind(""))
	is.Equal(len(m.View().Configuration.Services.Find("quotes").Splits), 1)
	is.Equal(kind(m.change(replacement(2, 3, "other"))), errkind.Kind(""))
	is.Equal(kind(m.change(rangedReplacement(3, 4))), errkind.Kind("")) // added again while still owned
	is.Equal(len(m.View().Configuration.Services.Find("quotes").Splits), 1)
	is.Equal(list()[6], owner)
}
