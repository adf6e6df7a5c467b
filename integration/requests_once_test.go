package integration

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/internal/cluster"
	"github.com/zinniapier/zinniapier/target"
)

// faultPause lets requests run between two faults, and gives late data time to arrive after a link has healed.
const faultPause = 400 * time.Millisecond

// mixedPath alternates between a service divided by key and one that is not.
func mixedPath(worker, i int) string {
	if worker%2 == 0 {
		return "/orders"
	}
	return fmt.Sprintf("/quotes/beam-%d-%d", worker, i%50)
}

// TestAtMostOnceWhileLinksFail guards against a request that may not be repeated and runs
// twice, and against a refusal as not run of a request that runs, when hops are cut in either
// direction or go silent, with and without an answer about the fate of the attempt.
func TestAtMostOnceWhileLinksFail(t *testing.T) {
	is := is.New(t)
	c, key := start(t, cluster.Options{Hosts: hosts("a", "b", "c"), EditTarget: warmTargets})
	behaviour(c, target.Behaviour{WorkMs: 10})
	s := &sender{key: key, method: "POST", deadline: 1500}
	stop := s.load(c.Nodes, 6, mixedPath)
	hops, fates, orders := linksOf(c, cluster.Hop), linksOf(c, cluster.Fate), linksOf(c, cluster.Orders)
	time.Sleep(faultPause)
	cutFor(hops, cluster.Forward)
	cutFor(hops, cluster.Backward)
	cutFor(hops, cluster.Both)
	cutFor(slices.Concat(hops, fates), cluster.Forward)
	cutFor(slices.Concat(hops, fates), cluster.Backward)
	cutFor(orders, cluster.Backward)
	for _, l := range slices.Concat(hops, fates, orders) {
		l.Silence()
	}
	time.Sleep(2 * faultPause)
	stop()
	time.Sleep(faultPause)

	list := s.outcomes(t)
	logKinds(t, "links_fail", list)
	var all []target.Counters
	for _, target := range c.Targets {
		all = append(all, counters(target))
	}
	checkOnce(t, list, runs(all...))
	kinds := countKinds(list)
	is.True(kinds[outcomeWhole] > 500)       // most of the traffic is served
	is.True(len(list) > kinds[outcomeWhole]) // the faults have met requests
	is.Equal(kinds[outcomeBroken], 0)        // no node that lives drops a caller
}

// cutFor cuts links for a while and heals them.
func cutFor(links []*cluster.Link, d cluster.Direction) {
	for _, l := range links {
		l.Cut(d)
	}
	time.Sleep(faultPause)
	for _, l := range links {
		l.Heal()
	}
	time.Sleep(faultPause)
}

func behaviour(c *cluster.Cluster, b target.Behaviour) {
	for _, t := range c.Targets {
		t.SetBehaviour(b)
	}
}

// TestAtMostOnceWhileProcessesDie guards against a second run of a request whose target or
// owner's node died while it ran, and against a refusal as not run of such a request.
func TestAtMostOnceWhileProcessesDie(t *testing.T) {
	is := is.New(t)
	c, key := start(t, cluster.Options{Hosts: hosts("a", "b", "c"), EditTarget: warmTargets})
	behaviour(c, target.Behaviour{WorkMs: 10})
	// The targets that die run in the test process, where their counters outlive them.
	dying := []*target.Sample{dyingTarget(t, c.Nodes[1], "quotes"), dyingTarget(t, c.Nodes[1], "orders")}
	awaitRuns(t, c, key, dying)

	s := &sender{key: key, method: "POST", deadline: 2500}
	stop := s.load(c.Nodes, 6, mixedPath)
	time.Sleep(faultPause)
	for _, d := range dying {
		killAtWork(t, d)
	}
	time.Sleep(2 * faultPause)
	c.Nodes[2].Kill() // its targets live on, cut off from callers
	time.Sleep(4 * faultPause)
	stop()

	list := s.outcomes(t)
	logKinds(t, "processes_die", list)
	all := []target.Counters{dying[0].Counters(), dying[1].Counters()}
	for _, target := range c.Targets {
		all = append(all, counters(target))
	}
	checkOnce(t, list, runs(all...))
	kinds := countKinds(list)
	is.True(all[0].Runs > 0 && all[1].Runs > 0)
	is.True(all[0].Completed < all[0].Runs && all[1].Completed < all[1].Runs) // each death met running work
	is.True(kinds[outcomeWhole] > 500)
}

// slowWorkMs is long against the time between a look at a target and its death.
const slowWorkMs = 400

// killAtWork slows a target down and kills it once it is at work.
func killAtWork(t *testing.T, s *target.Sample) {
	t.Helper()
	if err := s.SetBehaviour(target.Behaviour{WorkMs: slowWorkMs}); err != nil {
		t.Fatal(err)
	}
	slow := s.Counters().Runs + 1 // a run that began before may still be a short one
	cluster.Eventually(t, readyLimit, func() error {
		if c := s.Counters(); c.Runs <= slow || c.Completed >= c.Runs {
			return fmt.Errorf("target %s is not at work", s.ID())
		}
		return nil
	})
	if err := s.Kill(); err != nil {
		t.Fatal(err)
	}
}

func dyingTarget(t *testing.T, n *cluster.Node, service string) *target.Sample {
	return sampleHere(t, n, target.SampleOptions{
		Service: service, ChecksGrants: true, Warm: true, ColdSlots: 20,
		Behaviour: target.Behaviour{WorkMs: 10},
	})
}

// awaitRuns sends requests until each target has run one.
func awaitRuns(t *testing.T, c *cluster.Cluster, key string, targets []*target.Sample) {
	t.Helper()
	i := 0
	cluster.Eventually(t, readyLimit, func() error {
		for range 20 {
			i++
			request(t, c.Nodes[0], cluster.Request{Path: mixedPath(i, i), OrganisationKey: key})
		}
		for _, s := range targets {
			if s.Counters().Runs == 0 {
				return fmt.Errorf("target %s has run nothing", api.TargetID(s.ID()))
			}
		}
		return nil
	})
}
