package gateway

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/config"
)

// splitFirstRange publishes a view in which the first range of "quotes" is split in two. Until a
// range is split, the owner's assignments cover the whole of it.
func splitFirstRange(n *testNode) {
	n.change(func(v *api.View) {
		c := *v.Configuration
		c.Services.Services = slices.Clone(c.Services.Services)
		c.Services.Services[0].Splits = []api.RangeSplit{{Base: 0, First: 4, Parts: 2}}
		v.Configuration = &c
		first := *v.Assignments["quotes"].At(0)
		v.Assignments = v.Assignments.With([]api.AssignmentUpdate{
			{PartitionRef: api.PartitionRef{Service: "quotes"}, Assignment: api.Assignment{Epoch: 7}},
			{PartitionRef: api.PartitionRef{Service: "quotes", Partition: 4}, Assignment: first},
			{PartitionRef: api.PartitionRef{Service: "quotes", Partition: 5}, Assignment: first},
		})
	})
}

// partitionByRange publishes a view in which "quotes" is partitioned into ranges of 100 numbers.
func partitionByRange(n *testNode) {
	n.change(func(v *api.View) {
		c := *v.Configuration
		c.Services.Services = slices.Clone(c.Services.Services)
		c.Services.Services[0].Key = &api.KeySource{Header: "K", Span: 400}
		v.Configuration = &c
	})
}

// Guards against requests that wait for an owner of a partition that has been split since.
func TestWaitingRequestFollowsASplit(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, echoOK)
	a := newNode(t, "a", target.addr(), config.Traffic{})
	connect(a, a)
	partitionByRange(a)
	owned := a.now.Load().Assignments
	a.change(func(v *api.View) {
		v.Assignments = api.NewAssignmentTable(api.Assignments{"quotes": make([]api.Assignment, 4)})
	})
	time.AfterFunc(100*time.Millisecond, func() {
		a.change(func(v *api.View) { v.Assignments = owned })
		splitFirstRange(a)
	})
	began := time.Now()
	is.Equal(a.call(t, "GET", "/quotes/x", "", "K", "60").status, http.StatusOK)
	is.True(time.Since(began) < time.Second)
}

// Guards against requests that are refused because one of two nodes sees a split before the other.
func TestHopBetweenViewsOfASplit(t *testing.T) {
	for name, first := range map[string]bool{"first node": true, "owner's node": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target := newTarget(t, echoOK)
			a := newNode(t, "a", "", config.Traffic{})
			b := newNode(t, "b", target.addr(), config.Traffic{})
			connect(b, a, b)
			partitionByRange(a)
			partitionByRange(b)
			if first {
				splitFirstRange(a)
			} else {
				splitFirstRange(b)
			}
			began := time.Now()
			is.Equal(a.call(t, "GET", "/quotes/x", "", "K", "60").status, http.StatusOK)
			is.True(time.Since(began) < maxEpochWait)
		})
	}
}
