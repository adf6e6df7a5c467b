package integration

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/internal/cluster"
)

const (
	// Two targets with 4 slots and 40 ms of work serve about 200 requests/s together.
	overloadSlots  = 4
	overloadWorkMs = 40
	// Each modest organisation asks for 20 requests/s; with four organisations of equal weight
	// its fair share is about 50.
	modestInterval = 50 * time.Millisecond
	overloadTime   = 5 * time.Second
	// The flood keeps about a second of work in the queues, so a modest organisation that has to
	// wait behind it misses its deadline. More workers would only load the proxies.
	floodWorkers     = 130 // for each node
	floodPause       = 250 * time.Millisecond
	modestDeadlineMs = 500
	// leastServed is the design's "99 in 100 completing", for the worst-served organisation.
	leastServed = 0.99
)

// TestFloodDoesNotCrowdOutOthers guards against an organisation that sends far more than the
// targets bear and takes the service of organisations that stay below their share.
func TestFloodDoesNotCrowdOutOthers(t *testing.T) {
	is := is.New(t)
	c, flooding := start(t, cluster.Options{
		Hosts: []cluster.Host{{Zone: "a", Targets: []string{"orders"}}, {Zone: "b", Targets: []string{"orders", "quotes"}}},
		EditTarget: func(_ int, s *config.TargetSettings) {
			s.Slots, s.ColdSlots, s.WorkMs = overloadSlots, overloadSlots, overloadWorkMs
		},
	})
	flood := &sender{key: flooding, method: "POST", deadline: 1000, pause: floodPause}
	var modest []*sender
	for _, name := range []api.OrganisationID{"lamp", "tower", "beam"} {
		modest = append(modest, &sender{key: c.AddOrganisation(name, 1000, 1000), method: "POST", deadline: modestDeadlineMs})
	}
	awaitGranted(t, c, readyLimit)
	stop := flood.load(c.Nodes, floodWorkers, func(int, int) string { return "/orders" })
	time.Sleep(300 * time.Millisecond)
	var wg sync.WaitGroup
	for _, s := range modest {
		wg.Go(func() { s.pace(t, c.Nodes, modestInterval, overloadTime) })
	}
	wg.Wait()
	stop()

	worst, longest := 1.0, time.Duration(0)
	for _, s := range modest {
		list := s.outcomes(t)
		worst = min(worst, float64(countKinds(list)[outcomeWhole])/float64(len(list)))
		longest = max(longest, slices.MaxFunc(list, func(a, b outcome) int { return int(a.took - b.took) }).took)
		logKinds(t, "modest_organisation", list)
	}
	logKinds(t, "flooding_organisation", flood.outcomes(t))
	t.Logf("measure: worst_served_share=%.3f of requests", worst)
	t.Logf("measure: modest_longest=%d ms", longest.Milliseconds())
	kinds := countKinds(flood.outcomes(t))
	is.True(len(flood.outcomes(t)) > kinds[outcomeWhole]) // the flood was more than the targets bear
	is.True(worst >= leastServed)                         // an organisation below its share is served
}

// pace sends requests at an interval, whatever becomes of the earlier ones, and waits for all.
func (s *sender) pace(t *testing.T, nodes []*cluster.Node, interval, length time.Duration) {
	var wg sync.WaitGroup
	for i := range int(length / interval) {
		wg.Go(func() { s.send(t.Context(), nodes[i%len(nodes)], "/orders") })
		time.Sleep(interval)
	}
	wg.Wait()
}
