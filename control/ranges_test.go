package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
)

// Guards against ranges so long that busy neighbouring keys stay on one target, and so short that one
// reply has no room for all ranges of a target.
func TestRangeCountByTargets(t *testing.T) {
	is := is.New(t)
	for targets, want := range map[int]int{0: 128, 1: 128, 7: 128, 8: 256, 16: 512, 62: 2048, 18000: 2048} {
		is.Equal(rangeCount(targets), want)
	}
}

// Guards against a first configuration whose partition counts ignore the size of the fleet.
func TestFirstConfigurationIsSizedForTheFleet(t *testing.T) {
	is := is.New(t)
	w := newTestCluster(t, 16)
	for _, n := range w.nodes {
		n.targetService = "portal"
	}
	w.run(time.Second)
	change := &api.Change{ID: "first", Kind: api.Replace, Replacement: &api.Replacement{Label: 1, Services: api.Services{Services: []api.Service{
		{Name: "portal", Key: &api.KeySource{Header: "K", Span: 65536}},
		{Name: "quotes", Key: &api.KeySource{Header: "K"}},
	}}}}
	sized := w.control.setRangeCounts(t.Context(), change)
	is.Equal(sized.Replacement.Services.Services[0].Partitions, 512)
	is.Equal(sized.Replacement.Services.Services[1].Partitions, 0) // not range-partitioned
	is.Equal(change.Replacement.Services.Services[0].Partitions, 0)
}
