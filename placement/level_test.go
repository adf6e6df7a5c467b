package placement

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
)

// noisyFleet returns equally busy targets with nine partitions each, whose loads are what a Poisson
// process of that rate shows within the load window.
func noisyFleet(random *rand.Rand, targets int, perTarget float64) ([]Partition, []Target) {
	ts := make([]Target, targets)
	for i := range ts {
		ts[i] = Target{ID: api.TargetID(fmt.Sprintf("t%03d", i)), Zone: fmt.Sprint("z", i%6), Capacity: 10, Eligible: true}
	}
	var ps []Partition
	for i := range 9 * targets {
		arrivals := 0
		for range 1000 {
			if random.Float64() < perTarget/9*loadWindowSeconds/1000 {
				arrivals++
			}
		}
		ps = append(ps, Partition{Index: i, Owner: ts[i%targets].ID, Load: float64(arrivals) / loadWindowSeconds})
	}
	return ps, ts
}

// Guards against keys that move back and forth in a large fleet because the measured loads of equally busy
// targets differ by chance, and against a busy target there that keeps its keys.
func TestChanceMovesLittleInLargeFleet(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewSource(1))
	plansWithMoves := 0
	for range 50 {
		ps, ts := noisyFleet(random, 229, 12)
		if len(Balanced{}.Plan("s", ps, ts, 1000)) > 0 {
			plansWithMoves++
		}
	}
	is.True(plansWithMoves <= 2) // noiseSigmas: 1 of 100, with leave for chance

	ps, ts := noisyFleet(random, 229, 12)
	for i := range ps {
		if ps[i].Owner == ts[0].ID {
			ps[i].Load = 4 // three times the mean
		}
	}
	away := 0
	for _, m := range (Balanced{}).Plan("s", ps, ts, 1000) {
		if m.From == ts[0].ID {
			away++
		}
	}
	is.True(away >= 4)
}

// Guards against a target with many little-used partitions that keeps free slots while another refuses
// requests: on a day with few targets left, one had 4 of 16 requests per second that it could serve, in
// 37 partitions, and another 36 in 24.
func TestLittleUsedPartitionsLeaveRoom(t *testing.T) {
	is := is.New(t)
	ts := makeTargets(3)
	var ps []Partition
	load := func(owner, count int, each float64) {
		for range count {
			ps = append(ps, Partition{Index: len(ps), Owner: ts[owner].ID, Load: each})
		}
	}
	load(0, 37, 0.1)
	load(1, 24, 1.5)
	load(2, 20, 0.8)
	applyMoves(ps, Balanced{}.Plan("s", ps, ts, 100))
	sums := make(map[api.TargetID]float64)
	for _, p := range ps {
		sums[p.Owner] += p.Load
	}
	is.True(sums[ts[0].ID] > 13) // of a mean of 18.6
	is.True(sums[ts[1].ID] < 25)
}
