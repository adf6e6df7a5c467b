package state

import (
	"maps"

	"github.com/zinniapier/zinniapier/api"
)

// setPlace changes the record of a place. The map is shared with published views, so it is copied before its first change.
func (e *editor) setPlace(name string, record api.PlaceRecord) {
	e.copyPlaces()
	e.state.Places[name] = record
}

func (e *editor) copyPlaces() {
	if e.placesCopied {
		return
	}
	e.placesCopied = true
	e.state.Places = maps.Clone(e.state.Places)
	if e.state.Places == nil {
		e.state.Places = make(map[string]api.PlaceRecord)
	}
}

// recordStart notes the start of a target that is granted a partition. A new target at a place is granted many partitions; only the
// first of these grants changes the record.
func (e *editor) recordStart(g Grant) {
	record := e.state.Places[g.Place]
	if g.Place == "" || g.StartedMs <= record.StartedMs {
		return
	}
	record.StartedMs = g.StartedMs
	e.setPlace(g.Place, record)
}

// updatePlaces keeps departures, forgets places, and returns the number of changes.
func (e *editor) updatePlaces(departures []api.Departure, forgets []string) (changed int) {
	for _, d := range departures {
		record := e.state.Places[d.Place]
		if d.BeforeMs <= record.LeftBeforeMs {
			continue
		}
		record.LeftBeforeMs = d.BeforeMs
		e.setPlace(d.Place, record)
		changed++
	}
	for _, name := range forgets {
		if _, known := e.state.Places[name]; known {
			e.copyPlaces()
			delete(e.state.Places, name)
			changed++
		}
	}
	return changed
}
