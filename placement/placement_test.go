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

func count(ps []Partition) map[api.TargetID]int {
	owned := make(map[api.TargetID]int)
	for _, p := range ps {
		owned[p.Owner]++
	}
	return owned
}

// carry applies the moves and returns how many moved an owned partition.
func carry(ps []Partition, moves []Move) int {
	relocated := 0
	for _, m := range moves {
		if ps[m.Partition].Owner != "" {
			relocated++
		}
		ps[m.Partition].Owner = m.To
	}
	return relocated
}

// Guards against uneven counts and against more moves than the least possible when
// targets come and go and loads are equal.
func TestBalancedChurnIsLeast(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ts := makeTargets(rapid.IntRange(2, 9).Draw(rt, "targets"))
		ps := make([]Partition, rapid.IntRange(1, 100).Draw(rt, "partitions"))
		for i := range ps {
			ps[i].Index = i
		}
		carry(ps, Balanced{}.Plan("s", ps, ts, 1000))
		for i := range ts {
			ts[i].Eligible = i > 0 && rapid.Bool().Draw(rt, "stays")
		}
		ts = append(ts, makeTargets(len(ts) + rapid.IntRange(1, 3).Draw(rt, "new"))[len(ts):]...)
		before := count(ps)
		relocated := carry(ps, Balanced{}.Plan("s", ps, ts, 1000))
		after := count(ps)
		gained, low, high := 0, len(ps), 0
		for _, target := range ts {
			n := after[target.ID]
			if !target.Eligible {
				if n > 0 {
					rt.Fatalf("%s keeps %d partitions", target.ID, n)
				}
				continue
			}
			gained += max(0, n-before[target.ID])
			low, high = min(low, n), max(high, n)
		}
		if high-low > 1 {
			rt.Fatalf("counts range from %d to %d", low, high)
		}
		if relocated != gained {
			rt.Fatalf("%d moves, the least is %d", relocated, gained)
		}
	})
}

// Guards against measured load that is left on one target, and against moves for noise.
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
	carry(ps, Balanced{}.Plan("s", ps, ts, 100))
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

// Guards against partitions that move in steady state because measured loads vary by chance.
func TestBalancedIgnoresChance(t *testing.T) {
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

// Guards against a new target that gets no partitions while small loads, uneven by chance,
// keep the others within the noise.
func TestBalancedFillsNewTarget(t *testing.T) {
	is := is.New(t)
	ps := make([]Partition, 32)
	for i := range ps {
		ps[i] = Partition{Index: i, Load: float64(i%5) / 2}
	}
	carry(ps, Balanced{}.Plan("s", ps, makeTargets(3), 1000))
	for range 10 {
		carry(ps, Balanced{}.Plan("s", ps, makeTargets(4), 2))
	}
	is.True(count(ps)["t03"] >= 4) // at least half of its share
}

// Guards against moves beyond the pace, of partitions on their way, and against unowned
// partitions that go to a cold target beside warm ones or wait for the pace.
func TestBalancedPaceAndCold(t *testing.T) {
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
	carry(ps, Balanced{}.Plan("s", ps, ts, 0))
	is.Equal(count(ps), map[api.TargetID]int{ts[1].ID: 4, ts[2].ID: 8})
}

// Guards against a baseline that leaves partitions behind or exceeds the pace.
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
