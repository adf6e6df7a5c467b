package control

import (
	"maps"
	"math"
	"slices"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/placement"
)

const (
	// mostSpeed and leastSpeed bound the speed of a target relative to the median of its service, so that a
	// wrong measurement cannot pile the partitions up on one target or take them all off it.
	mostSpeed  = 2.0
	leastSpeed = 0.5
	// speedChange is the change of a speed, relative to the one in use, that is followed. The mean of some
	// hundred requests is within a tenth of the true one, and each move interrupts a key.
	speedChange = 0.2
)

// weighBySpeed sets the capacities to what the targets finish in the same time: slots by service time. With
// equal loads a slow target is full, and refuses, while others have free slots. A target whose
// service time is not known counts as usual.
func (p *servicePlan) weighBySpeed(list []placement.Target) {
	var times []int64
	for _, t := range list {
		if ms := p.targets[t.ID].ServiceMs; ms > 0 {
			times = append(times, ms)
		}
	}
	if len(times) < 2 {
		return
	}
	slices.Sort(times)
	usual := float64(times[len(times)/2])
	for i := range list {
		id := list[i].ID
		if ms := p.targets[id].ServiceMs; ms > 0 {
			p.followSpeed(id, min(max(usual/float64(ms), leastSpeed), mostSpeed))
		}
		list[i].Capacity *= p.speed(id)
	}
}

// speed returns the speed in use of a target, relative to the usual one of its service.
func (l *leader) speed(id api.TargetID) float64 {
	if speed, known := l.speeds[id]; known {
		return speed
	}
	return 1
}

func (l *leader) followSpeed(id api.TargetID, measured float64) {
	inUse := l.speed(id)
	if math.Abs(measured-inUse) <= speedChange*inUse {
		return
	}
	l.speeds[id] = measured
	l.log.WithField("target", id).WithField("speed", measured).WithField("former", inUse).Info("Speed of a target changes.")
}

// forgetSpeeds drops targets that are gone.
func (l *leader) forgetSpeeds(targets map[api.TargetID]*targetInfo) {
	maps.DeleteFunc(l.speeds, func(id api.TargetID, _ float64) bool { return targets[id] == nil })
}
