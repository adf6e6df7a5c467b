package control

import (
	"cmp"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/placement"
)

const (
	// concurrentMovesDivisor divides a target's even share of the partitions to give the number
	// that may move to it at once, so that large services move in a few rounds.
	concurrentMovesDivisor = 4
	// coldMovesDivisor divides the number of concurrent moves to a cold target.
	coldMovesDivisor = 4
	// idleLoadPerSlot is the load in requests per second per slot below which a service is idle.
	// Moves then add no load to a cold target, and a new deployment spreads its partitions at once.
	idleLoadPerSlot = 0.1
	// maxPacedEvacuation is the time after which an evacuation ignores the move limits. A zone
	// taken out must be empty within a few seconds; the gates still limit the load on a cold
	// target.
	maxPacedEvacuation = time.Second
)

// moveLimits bounds the concurrent moves to each target.
type moveLimits struct {
	remaining map[api.TargetID]int // further moves allowed
	// evacuationOverdue lifts the limits.
	evacuationOverdue bool
}

// moveLimits returns the limits of this plan, less the moves already in progress.
func (p *servicePlan) moveLimits(eligible []placement.Target) *moveLimits {
	ml := &moveLimits{remaining: make(map[api.TargetID]int), evacuationOverdue: p.evacuationOverdue()}
	n := len(p.view.Assignments[p.name])
	isIdle := p.isIdle(eligible)
	limit := max(p.o.MovesPerTarget, n/len(eligible)/concurrentMovesDivisor)
	for _, t := range eligible {
		remaining := limit
		if t.Cold && !isIdle {
			remaining = max(1, limit/coldMovesDivisor)
		}
		ml.remaining[t.ID] = max(0, remaining-p.incomingMoves[t.ID])
	}
	return ml
}

// isIdle reports whether the service has almost no load on its targets.
func (p *servicePlan) isIdle(eligible []placement.Target) bool {
	var load, slots float64
	for _, partition := range p.partitions {
		load += partition.Load
	}
	for _, t := range eligible {
		slots += t.Capacity
	}
	return load < idleLoadPerSlot*slots
}

// evacuationOverdue reports whether the service has had partitions to evacuate for at least
// maxPacedEvacuation. It records when an evacuation begins and ends.
func (p *servicePlan) evacuationOverdue() bool {
	if len(p.toEvacuate) == 0 {
		delete(p.evacuatingSince, p.name)
		return false
	}
	since, ok := p.evacuatingSince[p.name]
	if !ok {
		p.evacuatingSince[p.name] = p.now
		return false
	}
	return p.now.Sub(since) >= maxPacedEvacuation
}

// maxMoves returns the number of moves to plan. Unless balance is set, only evacuations are planned.
func (ml *moveLimits) maxMoves(balance bool, evacuate int) int {
	if ml.evacuationOverdue {
		return evacuate
	}
	sum := 0
	for _, n := range ml.remaining {
		sum += n
	}
	if balance {
		return sum
	}
	return min(sum, evacuate)
}

// reserve counts a move to the target and reports whether the limit allows it.
func (ml *moveLimits) reserve(to api.TargetID) bool {
	if ml.evacuationOverdue {
		return true
	}
	if ml.remaining[to] == 0 {
		return false
	}
	ml.remaining[to]--
	return true
}

func compareTargetIDs(x, y api.TargetID) int { return cmp.Compare(x, y) }
