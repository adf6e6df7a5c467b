package placement

import (
	"cmp"
	"slices"
)

const (
	// maxLoadShare of the load that a limited target takes is planned for it; the rest is for arrivals that bunch.
	maxLoadShare = 0.9
	// maxShift bounds the load per capacity of the other targets, as a multiple of an even load. Beyond it, all
	// targets are short of room, and limited ones share the excess.
	maxShift = 2.0
)

// limitCapacities lowers the capacities of targets that take less than their share of the load, so that the rest of it
// goes to the others. A limited target whose share is below its limit keeps its capacity.
//
// Load pattern: most targets of a service name half of what they usually take, for seconds. Requests for their keys
// would be refused while the others have room.
func limitCapacities(ts []Target, load float64) {
	var eligible []*Target
	capacity := 0.0
	for i := range ts {
		if t := &ts[i]; t.Eligible {
			t.Capacity = positiveCapacity(t.Capacity)
			eligible = append(eligible, t)
			capacity += t.Capacity
		}
	}
	if !slices.ContainsFunc(eligible, (*Target).limited) || load <= 0 {
		return
	}
	slices.SortFunc(eligible, func(x, y *Target) int {
		return cmp.Compare(x.plannedLoad()/x.Capacity, y.plannedLoad()/y.Capacity)
	})
	most := maxShift * load / capacity
	utilisation := most
	for _, t := range eligible {
		utilisation = min(load/capacity, most)
		if !t.limited() || t.plannedLoad() >= utilisation*t.Capacity {
			break
		}
		load -= t.plannedLoad()
		capacity -= t.Capacity
		utilisation = most // unless another target shares the rest
	}
	for _, t := range eligible {
		if t.limited() {
			t.Capacity = min(t.Capacity, t.plannedLoad()/utilisation)
		}
	}
}

// limited reports whether the target takes a limited load.
func (t *Target) limited() bool { return t.MaxLoad > 0 }

// plannedLoad returns the load in requests per second that is planned for the target at most.
func (t *Target) plannedLoad() float64 {
	if !t.limited() {
		return noLimit
	}
	return maxLoadShare * t.MaxLoad
}

// noLimit is above every load.
const noLimit = 1e18
