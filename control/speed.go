package control

import (
	"maps"
	"math"
	"slices"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/placement"
)

const (
	// maxSpeed and minSpeed bound the speed of a target relative to the median of its service, so that a
	// wrong measurement can neither give most partitions to one target nor take them all from it.
	maxSpeed = 2.0
	minSpeed = 0.5
	// minSpeedChange is the relative change above which a speed is updated. The mean of some hundred
	// requests is within a tenth of the true one, and each move interrupts the requests of a key.
	minSpeedChange = 0.2
)

// scaleCapacityBySpeed multiplies the capacities by the relative speeds of the targets. With
// equal loads per slot, a slow target would be full and refuse requests while others have free slots. A
// target with an unknown service time keeps its speed, initially 1.
func (p *servicePlan) scaleCapacityBySpeed(list []placement.Target) {
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
	median := float64(times[len(times)/2])
	for i := range list {
		id := list[i].ID
		if ms := p.targets[id].ServiceMs; ms > 0 {
			p.updateSpeed(id, min(max(median/float64(ms), minSpeed), maxSpeed))
		}
		list[i].Capacity *= p.speed(id)
	}
}

// placementCapacity returns the learned capacity of a target, which is at most its slots, and its slots where it is not known.
func placementCapacity(t api.TargetReport) float64 {
	if t.Capacity > 0 {
		return min(t.Capacity, float64(t.Slots))
	}
	return float64(t.Slots)
}

// speed returns the speed in use for a target, relative to the median of its service.
func (l *leader) speed(id api.TargetID) float64 {
	if speed, known := l.speedsInUse[id]; known {
		return speed
	}
	return 1
}

// updateSpeed sets the speed in use to the measured one if they differ by more than minSpeedChange.
func (l *leader) updateSpeed(id api.TargetID, measured float64) {
	inUse := l.speed(id)
	if math.Abs(measured-inUse) <= minSpeedChange*inUse {
		return
	}
	l.speedsInUse[id] = measured
	l.log.WithField("target", id).WithField("speed", measured).WithField("former", inUse).Info("Relative speed of target changed.")
}

// pruneSpeeds removes the speeds of targets that are no longer reported.
func (l *leader) pruneSpeeds(targets map[api.TargetID]*targetInfo) {
	maps.DeleteFunc(l.speedsInUse, func(id api.TargetID, _ float64) bool { return targets[id] == nil })
}
