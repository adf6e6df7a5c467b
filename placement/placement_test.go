package placement

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/zinniapier/zinniapier/api"
)

func makeTargets(n int) []Target {
	var ts []Target
	for i := range n {
		ts = append(ts, Target{ID: api.TargetID(fmt.Sprintf("t%02d", i)), Zone: fmt.Sprint(i % 3), Capacity: 10, Eligible: true})
	}
	return ts
}

func countByOwner(ps []Partition) map[api.TargetID]int {
	owned := make(map[api.TargetID]int)
	for _, p := range ps {
		owned[p.Owner]++
	}
	return owned
}

// applyMoves applies the moves to ps and returns how many moved an owned partition.
func applyMoves(ps []Partition, moves []Move) int {
	relocated := 0
	for _, m := range moves {
		if ps[m.Partition].Owner != "" {
			relocated++
		}
		ps[m.Partition].Owner = m.To
	}
	return relocated
}

// Guards against uneven counts, and against more moves than necessary, when targets come and go
// and loads are equal.
func TestBalancedMinimisesMoves(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ts := makeTargets(rapid.IntRange(2, 9).Draw(rt, "targets"))
		ps := make([]Partition, rapid.IntRange(1, 100).Draw(rt, "partitions"))
		for i := range ps {
			ps[i].Index = i
		}
		applyMoves(ps, Balanced{}.Plan("s", ps, ts, 1000))
		for i := range ts {
			ts[i].Eligible = i > 0 && rapid.Bool().Draw(rt, "stays")
		}
		ts = append(ts, makeTargets(len(ts) + rapid.IntRange(1, 3).Draw(rt, "new"))[len(ts):]...)
		before := countByOwner(ps)
		relocated := applyMoves(ps, Balanced{}.Plan("s", ps, ts, 1000))
		after := countByOwner(ps)
		leastMoves, low, high := 0, len(ps), 0
		for _, target := range ts {
			n := after[target.ID]
			if !target.Eligible {
				if n > 0 {
					rt.Fatalf("%s keeps %d partitions", target.ID, n)
				}
				continue
			}
			leastMoves += max(0, n-before[target.ID])
			low, high = min(low, n), max(high, n)
		}
		if high-low > 1 {
			rt.Fatalf("counts range from %d to %d", low, high)
		}
		if relocated != leastMoves {
			rt.Fatalf("%d moves, the minimum is %d", relocated, leastMoves)
		}
	})
}

// Guards against measured load that stays on one target, and against moves within the tolerance.
func TestBalancedByLoad(t *testing.T) {
	is := is.New(t)
	ts := makeTargets(3)
	ps := make([]Partition, 30)
	for i := range ps {
		ps[i] = Partition{Index: i, Owner: ts[i%3].ID, Load: 10}
		if i%3 == 2 {
			ps[i].Load = 12
		}
	}
	ps[2].Load, ps[5].Load = 5, 5                       // 106 on the third target beside 100 and 100
	is.Equal(len(Balanced{}.Plan("s", ps, ts, 100)), 0) // within the tolerance
	for i := range ps {
		if i%3 == 0 {
			ps[i].Load = 40
		}
	}
	applyMoves(ps, Balanced{}.Plan("s", ps, ts, 100))
	load := make(map[api.TargetID]float64)
	sum := 0.0
	for _, p := range ps {
		load[p.Owner] += p.Load
		sum += p.Load
	}
	for _, l := range load {
		is.True(l <= sum/3*1.15)
	}
}

// Guards against moves in steady state because measured loads vary by chance.
func TestBalancedIgnoresNoise(t *testing.T) {
	is := is.New(t)
	ts := makeTargets(7)
	ps := make([]Partition, 70)
	for i := range ps {
		ps[i] = Partition{Index: i, Owner: ts[i%7].ID, Load: 16}
		if i%7 == 0 {
			ps[i].Load = 18.5 // 16% above, 2.4 standard deviations
		}
	}
	is.Equal(len(Balanced{}.Plan("s", ps, ts, 100)), 0)
	for i := range ps {
		if i%7 == 0 {
			ps[i].Load = 24
		}
	}
	is.True(len(Balanced{}.Plan("s", ps, ts, 100)) > 0)
}

// Guards against a new target that gets no partitions because the small, uneven loads of the other
// targets are within the noise.
func TestBalancedFillsNewTarget(t *testing.T) {
	is := is.New(t)
	ps := make([]Partition, 32)
	for i := range ps {
		ps[i] = Partition{Index: i, Load: float64(i%5) / 2}
	}
	applyMoves(ps, Balanced{}.Plan("s", ps, makeTargets(3), 1000))
	for range 10 {
		applyMoves(ps, Balanced{}.Plan("s", ps, makeTargets(4), 2))
	}
	is.True(countByOwner(ps)["t03"] >= 4) // at least half of its share
}

// Guards against more than maxMoves moves, moves of partitions already moving, and unowned partitions
// that wait for maxMoves or prefer a cold target to a warm one.
func TestBalancedMoveLimitAndCold(t *testing.T) {
	is := is.New(t)
	ts := makeTargets(3)
	ps := make([]Partition, 12)
	for i := range ps {
		ps[i] = Partition{Index: i, Owner: ts[0].ID, Moving: i < 8}
	}
	moves := Balanced{}.Plan("s", ps, ts, 2)
	is.Equal(len(moves), 2)
	for _, m := range moves {
		is.True(m.Partition >= 8)
	}
	ts[0].Eligible = false
	ts[1].Cold = true
	for i := range ps {
		ps[i] = Partition{Index: i}
	}
	applyMoves(ps, Balanced{}.Plan("s", ps, ts, 0))
	is.Equal(countByOwner(ps), map[api.TargetID]int{ts[1].ID: 4, ts[2].ID: 8})
}

// Guards against a baseline that leaves partitions without an owner or exceeds maxMoves.
func TestRandom(t *testing.T) {
	is := is.New(t)
	ts := makeTargets(3)
	ts[0].Eligible = false
	ps := []Partition{{Index: 0}, {Index: 1, Owner: ts[0].ID}, {Index: 2, Owner: ts[0].ID}, {Index: 3, Owner: ts[1].ID}}
	moves := Random{}.Plan("s", ps, ts, 1)
	is.Equal(len(moves), 2)
	for _, m := range moves {
		is.True(m.To != ts[0].ID)
	}
	is.Equal(len(Random{}.Plan("s", ps, nil, 1)), 0)
}
