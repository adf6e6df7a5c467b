package placement

import (
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against keys that stay with targets which take less than their share, while others have room.
func TestLimitedTargetsOwnLess(t *testing.T) {
	is := is.New(t)
	ts := makeTargets(7)
	ps := make([]Partition, 128)
	for i := range ps {
		ps[i] = Partition{Index: i, Load: 2}
	}
	applyMoves(ps, Balanced{}.Plan("s", ps, ts, 1000))
	loadOf := func(t Target) (sum float64) {
		for _, p := range ps {
			if p.Owner == t.ID {
				sum += p.Load
			}
		}
		return sum
	}
	for i := range 5 {
		ts[i].MaxLoad = 25
	}
	for range 20 {
		applyMoves(ps, Balanced{}.Plan("s", ps, ts, 8))
	}
	for _, x := range ts[:5] {
		is.True(loadOf(x) <= 27)
		is.True(loadOf(x) >= 16) // and is used
	}
	is.Equal(ts[0].Capacity, 10.0) // the caller's targets are left alone

	for i := range 5 {
		ts[i].MaxLoad = 0
	}
	for range 20 {
		applyMoves(ps, Balanced{}.Plan("s", ps, ts, 8))
	}
	is.True(loadOf(ts[0]) >= 30)

	for i := range 5 {
		ts[i].MaxLoad = 60 // above the share of each
	}
	is.Equal(len(Balanced{}.Plan("s", ps, ts, 8)), 0)
}

// Guards against capacities that are no numbers, or that leave a target without any, whatever the limits.
func TestLimitedCapacitiesAreSound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ts := makeTargets(rapid.IntRange(1, 9).Draw(rt, "targets"))
		for i := range ts {
			ts[i].MaxLoad = rapid.SampledFrom([]float64{0, 0.5, 5, 50, 1e6}).Draw(rt, "limit")
			ts[i].Eligible = rapid.Bool().Draw(rt, "eligible")
		}
		load := rapid.Float64Range(0, 1000).Draw(rt, "load")
		limitCapacities(ts, load)
		for _, x := range ts {
			if math.IsNaN(x.Capacity) || x.Capacity <= 0 || x.Capacity > 10 {
				rt.Fatalf("capacity %v", x.Capacity)
			}
		}
		if !ts[0].limited() && ts[0].Capacity != 10 {
			rt.Fatalf("a target without a limit has capacity %v", ts[0].Capacity)
		}
	})
}
