package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/zinniapier/zinniapier/api"
)

const (
	// minWeight is the minimum weight of a partition in requests per second. Partitions with less load are
	// spread by count.
	minWeight = 0.1
	// minMeanShare is the minimum weight of a partition as a share of the mean load, so that
	// partitions that are idle now do not accumulate on one target. With a greater share, targets with
	// many little-used partitions appear busy, and keep free slots while others refuse requests.
	minMeanShare = 0.25
	// A target with less than minEvenCount of its even share of the partitions and less than minEvenLoad
	// of its share of the load has too few partitions, as a new one.
	minEvenCount = 0.5
	minEvenLoad  = 0.75
	// moveTolerance is the relative excess over the mean utilisation up to which no partition
	// is moved when loads differ: measured loads fluctuate, and each move interrupts the
	// requests of a key.
	moveTolerance = 0.1
	// noiseSigmas is the excess over the mean, in standard deviations of the measured load, up to
	// which no moves start with noiseTargets targets. Of so many equally loaded ones, one exceeds it in
	// 1 of 100 plans; it grows with the number of targets, or chance alone would start moves.
	noiseSigmas  = 3.0
	noiseTargets = 7
	// levelSigmas is the difference from the mean, in standard deviations, down to which moves continue
	// once started.
	levelSigmas = 1.5
	// loadWindowSeconds is the time over which a load is measured; random arrivals in this window
	// determine its variance.
	loadWindowSeconds = 1.5
	// coldPenalty multiplies the utilisation of a cold target when an unowned or evacuated
	// partition is placed, so that warm targets are preferred.
	coldPenalty = 2.0
	// epsilon is the difference below which utilisations count as equal, to absorb rounding.
	epsilon = 1e-9
)

// Balanced is the default policy. It balances the measured load over targets in proportion to
// their capacity, with few moves. Ties go to the zone with the lowest utilisation.
type Balanced struct{}

// Plan implements Policy.
func (Balanced) Plan(_ string, ps []Partition, ts []Target, maxMoves int) []Move {
	ts = slices.Clone(ts)
	limitCapacities(ts, totalLoad(ps))
	pl := newPlanner(ps, ts)
	if len(pl.eligible) == 0 {
		return nil
	}
	pl.placeUnowned()
	pl.evacuate(maxMoves)
	pl.levelLoad(maxMoves)
	return pl.moves
}

// targetLoad is a target, or a whole zone, with its load while a plan is made.
type targetLoad struct {
	Target
	weight     float64
	partitions int
	movable    []weightedPartition
}

// weightedPartition is a partition with its weight in requests per second.
type weightedPartition struct {
	index  int
	weight float64
}

// utilisation returns the weight per unit of capacity.
func (t *targetLoad) utilisation() float64 { return t.weight / t.Capacity }

// planner is the state of one call of Plan.
type planner struct {
	targets  map[api.TargetID]*targetLoad
	eligible []*targetLoad
	zones    map[string]*targetLoad // sums over the eligible targets
	total    targetLoad             // sum over the eligible targets
	unowned  []weightedPartition
	// toEvacuate maps the partitions of targets that are not eligible to their owners.
	toEvacuate  map[weightedPartition]api.TargetID
	uniform     bool
	moves       []Move
	relocations int // moves of owned partitions so far
}

func newPlanner(ps []Partition, ts []Target) *planner {
	pl := &planner{
		targets:    make(map[api.TargetID]*targetLoad),
		zones:      make(map[string]*targetLoad),
		toEvacuate: make(map[weightedPartition]api.TargetID),
		uniform:    true,
	}
	for _, t := range ts {
		pl.addTarget(t)
	}
	slices.SortFunc(pl.eligible, func(x, y *targetLoad) int { return cmp.Compare(x.ID, y.ID) })
	weights := partitionWeights(ps)
	for i, p := range ps {
		if weights[i] != weights[0] {
			pl.uniform = false
		}
		pl.addPartition(p, weights[i])
	}
	return pl
}

// positiveCapacity returns the capacity; zero and negative values count as one.
func positiveCapacity(c float64) float64 {
	if c <= 0 {
		return 1
	}
	return c
}

func (pl *planner) addTarget(t Target) {
	t.Capacity = positiveCapacity(t.Capacity)
	x := &targetLoad{Target: t}
	pl.targets[t.ID] = x
	if !t.Eligible {
		return
	}
	pl.eligible = append(pl.eligible, x)
	if pl.zones[t.Zone] == nil {
		pl.zones[t.Zone] = &targetLoad{}
	}
	pl.zones[t.Zone].Capacity += t.Capacity
	pl.total.Capacity += t.Capacity
}

func (pl *planner) addPartition(p Partition, weight float64) {
	it := weightedPartition{index: p.Index, weight: weight}
	owner := pl.targets[p.Owner]
	switch {
	case p.Owner == "":
		pl.unowned = append(pl.unowned, it)
	case owner == nil || !owner.Eligible:
		if !p.Moving {
			pl.toEvacuate[it] = p.Owner
		}
	default:
		pl.add(owner, weight)
		if !p.Moving {
			owner.movable = append(owner.movable, it)
		}
	}
}

func totalLoad(ps []Partition) (sum float64) {
	for _, p := range ps {
		sum += p.Load
	}
	return sum
}

// partitionWeights returns the weight of each partition: its load, but at least the minimum weights.
func partitionWeights(ps []Partition) []float64 {
	sum := totalLoad(ps)
	weights := make([]float64, len(ps))
	for i, p := range ps {
		weights[i] = max(p.Load, minMeanShare*sum/float64(len(ps)), minWeight)
	}
	return weights
}

// add gives a partition of the weight to the target.
func (pl *planner) add(x *targetLoad, weight float64) {
	for _, t := range []*targetLoad{x, pl.zones[x.Zone], &pl.total} {
		t.weight += weight
		t.partitions++
	}
}

// remove takes a partition of the weight from the target.
func (pl *planner) remove(x *targetLoad, weight float64) {
	for _, t := range []*targetLoad{x, pl.zones[x.Zone], &pl.total} {
		t.weight -= weight
		t.partitions--
	}
}

// placeUnowned places the partitions without an owner, heaviest first.
func (pl *planner) placeUnowned() {
	sortByWeight(pl.unowned)
	for _, it := range pl.unowned {
		pl.place(it, "")
	}
}

// evacuate moves partitions away from targets that are not eligible, heaviest first.
func (pl *planner) evacuate(maxMoves int) {
	items := make([]weightedPartition, 0, len(pl.toEvacuate))
	for it := range pl.toEvacuate {
		items = append(items, it)
	}
	sortByWeight(items)
	for _, it := range items {
		if pl.relocations >= maxMoves {
			return
		}
		pl.relocations++
		pl.place(it, pl.toEvacuate[it])
	}
}

func sortByWeight(items []weightedPartition) {
	slices.SortFunc(items, func(x, y weightedPartition) int {
		return cmp.Or(cmp.Compare(y.weight, x.weight), cmp.Compare(x.index, y.index))
	})
}

func (pl *planner) place(it weightedPartition, from api.TargetID) {
	to := pl.leastUtilised(it.weight)
	pl.add(to, it.weight)
	pl.moves = append(pl.moves, Move{Partition: it.index, From: from, To: to.ID})
}

// leastUtilised returns the eligible target with the lowest utilisation once the weight is added.
func (pl *planner) leastUtilised(weight float64) *targetLoad {
	return slices.MinFunc(pl.eligible, func(x, y *targetLoad) int {
		return cmp.Or(
			compareWithEpsilon(x.utilisationWith(weight), y.utilisationWith(weight)),
			compareWithEpsilon(pl.zones[x.Zone].utilisation(), pl.zones[y.Zone].utilisation()),
		)
	})
}

func (t *targetLoad) utilisationWith(weight float64) float64 {
	u := (t.weight + weight) / t.Capacity
	if t.Cold {
		u *= coldPenalty
	}
	return u
}

func compareWithEpsilon(x, y float64) int {
	if x < y-epsilon {
		return -1
	}
	if x > y+epsilon {
		return 1
	}
	return 0
}

// levelLoad moves partitions from the most to the least utilised target while that lowers the
// higher utilisation of the two.
func (pl *planner) levelLoad(maxMoves int) {
	if !pl.uniform && pl.withinNoise() {
		return
	}
	for ; pl.relocations < maxMoves; pl.relocations++ {
		if !pl.levelOnce() {
			return
		}
	}
}

func (pl *planner) levelOnce() bool {
	byUtilisation := func(x, y *targetLoad) int { return compareWithEpsilon(x.utilisation(), y.utilisation()) }
	from := slices.MaxFunc(pl.eligible, byUtilisation)
	to := slices.MinFunc(pl.eligible, func(x, y *targetLoad) int {
		return cmp.Or(byUtilisation(x, y), compareWithEpsilon(pl.zones[x.Zone].utilisation(), pl.zones[y.Zone].utilisation()))
	})
	if !pl.uniform && pl.isLevel(from) && pl.isLevel(to) && !pl.hasTooFew(to) {
		return false
	}
	i := bestMove(from, to)
	if i < 0 {
		return false
	}
	it := from.movable[i]
	from.movable = slices.Delete(from.movable, i, i+1)
	pl.remove(from, it.weight)
	pl.add(to, it.weight)
	pl.moves = append(pl.moves, Move{Partition: it.index, From: from.ID, To: to.ID})
	return true
}

// isLevel reports whether the load of the target differs too little from the mean to pay for a move.
//
// Load pattern: hundreds of targets with a dozen requests a second each. Loads measured for a second then
// differ from the mean by a quarter by chance alone, and levelling that moves keys back and forth.
func (pl *planner) isLevel(t *targetLoad) bool {
	expected := pl.total.utilisation() * t.Capacity
	return math.Abs(t.weight-expected) <= max(moveTolerance*expected, levelSigmas*loadDeviation(expected))
}

// loadDeviation is the standard deviation of a measured load, in requests per second.
func loadDeviation(expected float64) float64 { return math.Sqrt(expected / loadWindowSeconds) }

// noiseLimit returns the excess, in standard deviations, that one of n equally loaded targets exceeds
// about as rarely as one of noiseTargets exceeds noiseSigmas.
func noiseLimit(n int) float64 {
	return math.Sqrt(noiseSigmas*noiseSigmas + 2*math.Log(max(float64(n)/noiseTargets, 1)))
}

// withinNoise reports whether no target differs from the mean by more than chance explains, and none has
// too few partitions.
func (pl *planner) withinNoise() bool {
	mean, limit := pl.total.utilisation(), noiseLimit(len(pl.eligible))
	for _, x := range pl.eligible {
		expected := mean * x.Capacity
		if math.Abs(x.weight-expected) > limit*loadDeviation(expected) {
			return false
		}
		if pl.hasTooFew(x) {
			return false
		}
	}
	return true
}

// hasTooFew reports whether the target has too few partitions.
func (pl *planner) hasTooFew(x *targetLoad) bool {
	share := x.Capacity / pl.total.Capacity
	return float64(x.partitions) < minEvenCount*share*float64(pl.total.partitions) && x.weight < minEvenLoad*share*pl.total.weight
}

// bestMove returns the index in from.movable of the partition whose move gives the lowest maximum
// utilisation of the two targets, or -1 when no move lowers it.
func bestMove(from, to *targetLoad) int {
	best, bestPeak := -1, from.utilisation()
	for i, it := range from.movable {
		peak := max((from.weight-it.weight)/from.Capacity, (to.weight+it.weight)/to.Capacity)
		if compareWithEpsilon(peak, bestPeak) < 0 {
			best, bestPeak = i, peak
		}
	}
	return best
}
