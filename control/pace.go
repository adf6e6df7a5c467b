package control

import (
	"cmp"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/placement"
)

const (
	// paceShare is the part of a target's fair share of partitions that may be on its way
	// to it at once, so that large maps move in a few rounds.
	paceShare = 4
	// coldShare divides the pace of a cold target.
	coldShare = 4
	// idleLoad is the load of a service in requests per second and slot below which moves put
	// nothing on a cold target, so that a new deployment spreads its partitions at once.
	idleLoad = 0.1
	// evacuationPatience is the time after which an evacuation is no longer paced. A zone
	// taken out must be empty within a few seconds; the gates still bound what reaches a
	// cold target.
	evacuationPatience = time.Second
)

// pace bounds the concurrent moves into each target.
type pace struct {
	free map[api.TargetID]int
	// urgent lifts the bound.
	urgent bool
}

func (p *servicePlan) pace(eligible []placement.Target) *pace {
	pc := &pace{free: make(map[api.TargetID]int), urgent: p.urgent()}
	n := len(p.view.Assignments[p.name])
	idle := p.idle(eligible)
	limit := max(p.o.MovesPerTarget, n/len(eligible)/paceShare)
	for _, t := range eligible {
		free := limit
		if t.Cold && !idle {
			free = max(1, limit/coldShare)
		}
		pc.free[t.ID] = max(0, free-p.into[t.ID])
	}
	return pc
}

// idle says whether the service has next to no load on its targets.
func (p *servicePlan) idle(eligible []placement.Target) bool {
	var load, slots float64
	for _, partition := range p.partitions {
		load += partition.Load
	}
	for _, t := range eligible {
		slots += t.Capacity
	}
	return load < idleLoad*slots
}

// urgent says whether an evacuation has taken too long.
func (p *servicePlan) urgent() bool {
	if len(p.evacuate) == 0 {
		delete(p.evacuating, p.name)
		return false
	}
	since, ok := p.evacuating[p.name]
	if !ok {
		p.evacuating[p.name] = p.now
		return false
	}
	return p.now.Sub(since) >= evacuationPatience
}

// total returns how many moves to plan. Unless it is time to balance, only evacuations
// are planned.
func (pc *pace) total(balance bool, evacuate int) int {
	if pc.urgent {
		return evacuate
	}
	sum := 0
	for _, n := range pc.free {
		sum += n
	}
	if balance {
		return sum
	}
	return min(sum, evacuate)
}

// take reserves a move into the target.
func (pc *pace) take(to api.TargetID) bool {
	if pc.urgent {
		return true
	}
	if pc.free[to] == 0 {
		return false
	}
	pc.free[to]--
	return true
}

func compareIDs(x, y api.TargetID) int { return cmp.Compare(x, y) }
