package gateway

import (
	"cmp"
	"math"
	"slices"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// chooseTarget explains the selection of a target, by the roll-out and by the target choice, and returns the likeliest.
// Errors: NoTarget, Internal.
func (x *explainer) chooseTarget() (destination, *errkind.Error) {
	name := x.c.service.Name
	share := 0.0
	if canaries := x.v.Index.Canaries[name]; canaries != nil {
		share = min(canaries.Share, 1)
	}
	type side struct {
		draw, share float64
	}
	sides := []side{{math.Nextafter(1, 0), 1 - share}, {0, share}}
	if share > 0.5 {
		slices.Reverse(sides)
	}
	if share > 0 && share < 1 {
		x.chance("a share of %.3f of first attempts goes to the canary targets of the roll-out", share)
	}
	var likeliest *destination
	for i, s := range sides {
		if s.share <= 0 {
			continue
		}
		targets, canary := admittedTargets(x.v.Index, name, true, s.draw)
		out, at, e := x.explainChoice(targets)
		if e != nil {
			return destination{}, e
		}
		out.Canary, out.Share = canary, s.share
		x.out.Choices = append(x.out.Choices, out)
		if i == 0 && at != nil {
			p := destinationOf(x.v, *at)
			likeliest = &p
		}
	}
	if likeliest == nil {
		return destination{}, errNoTarget(x.v, name)
	}
	return *likeliest, nil
}

// explainChoice lets the policy of the service select from the targets. It returns nil without targets. Errors: Internal.
func (x *explainer) explainChoice(targets []api.TargetAt) (out api.ExplainedChoice, selected *api.TargetAt, e *errkind.Error) {
	out.Policy = x.targetChoiceOf(x.c.service)
	policy, err := targetChoice(out.Policy)
	if err != nil {
		return out, nil, errkind.New(errkind.Internal, "%v", err)
	}
	if len(targets) == 0 {
		return out, nil, nil
	}
	candidates := x.candidates(x.v, x.c, targets, nil)
	candidates.preview = &choicePreview{random: x.random, costs: make(map[int]float64)}
	candidates, i := x.selectTarget(policy, candidates)
	selected = &candidates.targets[i]
	out.Targets, out.SameZone, out.Selected = candidates.Len(), candidates.SameZone(), selected.Target.ID
	out.Compared = candidates.compared()
	x.chanceOf(out)
	return out, selected, nil
}

// chanceOf says what the target choice leaves to chance.
func (x *explainer) chanceOf(out api.ExplainedChoice) {
	least := 0
	for _, c := range out.Compared {
		if c.Cost == out.Compared[0].Cost {
			least++
		}
	}
	switch n := len(out.Compared); {
	case out.Targets <= 1:
	case n == 0:
		x.chance("target choice %s selects one of %d targets at random", out.Policy, out.Targets)
	case n < out.Targets:
		x.chance("target choice %s compares a random sample of %d of %d targets", out.Policy, n, out.Targets)
	case least > 1:
		x.chance("target choice %s finds the same cost for %d targets and selects one by a random order", out.Policy, least)
	}
}

// compared returns the candidates that a previewed choice has compared, the least cost first.
func (c Candidates) compared() []api.ExplainedCandidate {
	var list []api.ExplainedCandidate
	for i, cost := range c.preview.costs {
		at := c.At(i)
		list = append(list, api.ExplainedCandidate{
			Target: at.Endpoint.Target.ID, Node: at.Endpoint.Peer.Name, Zone: at.Endpoint.Peer.Zone, Version: at.Endpoint.Target.Version,
			SameZone: at.SameZone, Slots: at.Endpoint.Target.Slots, Outstanding: at.Outstanding,
			LatencyMs: inMs(at.Latency), ReportedMs: inMs(at.ReportedLatency), ServiceMs: inMs(at.ServiceLatency),
			BodyWaitMs: inMs(at.BodyWait), LinkWaitMs: inMs(at.LinkWait), Cost: cost,
		})
	}
	slices.SortFunc(list, func(a, b api.ExplainedCandidate) int {
		return cmp.Or(cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Target, b.Target))
	})
	return list
}
