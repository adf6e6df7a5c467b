package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/zinniapier/zinniapier/api"
)

const (
	// weightFloor is the least weight of a partition in requests per second. Below it,
	// measured load is mostly noise, and partitions are spread by their count.
	weightFloor = 1.0
	// meanShareFloor is the least weight of a partition as a share of the mean, so that
	// partitions that are idle now do not pile up on one target.
	meanShareFloor = 0.5
	// tolerance is the excess over the mean utilisation that is left alone when loads
	// differ; measured loads fluctuate, and each move interrupts a key.
	tolerance = 0.1
	// noiseSigmas is the excess over the mean, in standard deviations of the measured load,
	// that starts no moves; once they start, they go on to the tolerance. Of 7 equally loaded
	// targets, one passes it in 1 of 100 plans.
	noiseSigmas = 3.0
	// measuredSeconds is the time that one measured load stands for: requests that arrive at
	// random in that time make its variance.
	measuredSeconds = 1.5
	// coldPenalty multiplies the utilisation of a cold target when an unowned partition
	// is placed, so that warm targets come first.
	coldPenalty = 2.0
	// epsilon absorbs rounding when utilisations are compared.
	epsilon = 1e-9
)

// Balanced evens out the measured load over targets in proportion to their capacity,
// with as few moves as possible. Ties go to the zone with the lowest utilisation.
type Balanced struct{}

// Plan implements Policy.
func (Balanced) Plan(_ string, ps []Partition, ts []Target, maxMoves int) []Move {
	b := newBalance(ps, ts)
	if len(b.eligible) == 0 {
		return nil
	}
	b.placeUnowned()
	b.evacuate(maxMoves)
	b.level(maxMoves)
	return b.moves
}

// bin is a target with what it owns during planning.
type bin struct {
	Target
	weight     float64
	partitions []item
}

type item struct {
	index  int
	weight float64
}

func (b *bin) utilisation() float64 { return b.weight / b.Capacity }

type balance struct {
	bins     map[api.TargetID]*bin
	eligible []*bin
	zones    map[string]*bin // sums of the eligible bins
	unowned  []item
	// leaving holds the partitions of targets that are not eligible.
	leaving  map[item]api.TargetID
	uniform  bool
	moves    []Move
	relocate int // moves of owned partitions so far
}

func newBalance(ps []Partition, ts []Target) *balance {
	b := &balance{
		bins:    make(map[api.TargetID]*bin),
		zones:   make(map[string]*bin),
		leaving: make(map[item]api.TargetID),
		uniform: true,
	}
	for _, t := range ts {
		b.addTarget(t)
	}
	slices.SortFunc(b.eligible, func(x, y *bin) int { return cmp.Compare(x.ID, y.ID) })
	weights := weigh(ps)
	for i, p := range ps {
		if weights[i] != weights[0] {
			b.uniform = false
		}
		b.addPartition(p, weights[i])
	}
	return b
}

func (b *balance) addTarget(t Target) {
	if t.Capacity <= 0 {
		t.Capacity = 1
	}
	x := &bin{Target: t}
	b.bins[t.ID] = x
	if !t.Eligible {
		return
	}
	b.eligible = append(b.eligible, x)
	if b.zones[t.Zone] == nil {
		b.zones[t.Zone] = &bin{}
	}
	b.zones[t.Zone].Capacity += t.Capacity
}

func (b *balance) addPartition(p Partition, weight float64) {
	it := item{index: p.Index, weight: weight}
	owner := b.bins[p.Owner]
	switch {
	case p.Owner == "":
		b.unowned = append(b.unowned, it)
	case owner == nil || !owner.Eligible:
		if !p.Moving {
			b.leaving[it] = p.Owner
		}
	default:
		b.add(owner, weight)
		if !p.Moving {
			owner.partitions = append(owner.partitions, it)
		}
	}
}

// weigh returns the weight of each partition: its load with the floors applied.
func weigh(ps []Partition) []float64 {
	sum := 0.0
	for _, p := range ps {
		sum += p.Load
	}
	weights := make([]float64, len(ps))
	for i, p := range ps {
		weights[i] = max(p.Load, meanShareFloor*sum/float64(len(ps)), weightFloor)
	}
	return weights
}

func (b *balance) add(x *bin, weight float64) {
	x.weight += weight
	b.zones[x.Zone].weight += weight
}

// placeUnowned gives the heaviest partitions a target first.
func (b *balance) placeUnowned() {
	sortHeaviest(b.unowned)
	for _, it := range b.unowned {
		b.assign(it, "")
	}
}

func (b *balance) evacuate(maxMoves int) {
	items := make([]item, 0, len(b.leaving))
	for it := range b.leaving {
		items = append(items, it)
	}
	sortHeaviest(items)
	for _, it := range items {
		if b.relocate >= maxMoves {
			return
		}
		b.relocate++
		b.assign(it, b.leaving[it])
	}
}

func sortHeaviest(items []item) {
	slices.SortFunc(items, func(x, y item) int {
		return cmp.Or(cmp.Compare(y.weight, x.weight), cmp.Compare(x.index, y.index))
	})
}

func (b *balance) assign(it item, from api.TargetID) {
	to := b.lightest(it.weight)
	b.add(to, it.weight)
	b.moves = append(b.moves, Move{Partition: it.index, From: from, To: to.ID})
}

// lightest returns the eligible target with the least utilisation after it took the weight.
func (b *balance) lightest(weight float64) *bin {
	return slices.MinFunc(b.eligible, func(x, y *bin) int {
		return cmp.Or(
			compare(x.after(weight), y.after(weight)),
			compare(b.zones[x.Zone].utilisation(), b.zones[y.Zone].utilisation()),
		)
	})
}

func (b *bin) after(weight float64) float64 {
	u := (b.weight + weight) / b.Capacity
	if b.Cold {
		u *= coldPenalty
	}
	return u
}

func compare(x, y float64) int {
	if x < y-epsilon {
		return -1
	}
	if x > y+epsilon {
		return 1
	}
	return 0
}

// level moves partitions from the most to the least utilised target while that lowers
// the greater of the two.
func (b *balance) level(maxMoves int) {
	if !b.uniform && b.withinNoise() {
		return
	}
	for ; b.relocate < maxMoves; b.relocate++ {
		if !b.levelOnce() {
			return
		}
	}
}

func (b *balance) levelOnce() bool {
	byUtilisation := func(x, y *bin) int { return compare(x.utilisation(), y.utilisation()) }
	from := slices.MaxFunc(b.eligible, byUtilisation)
	if !b.uniform && from.utilisation() <= b.mean()*(1+tolerance) {
		return false
	}
	to := slices.MinFunc(b.eligible, func(x, y *bin) int {
		return cmp.Or(byUtilisation(x, y), compare(b.zones[x.Zone].utilisation(), b.zones[y.Zone].utilisation()))
	})
	i := bestItem(from, to)
	if i < 0 {
		return false
	}
	it := from.partitions[i]
	from.partitions = slices.Delete(from.partitions, i, i+1)
	b.add(from, -it.weight)
	b.add(to, it.weight)
	b.moves = append(b.moves, Move{Partition: it.index, From: from.ID, To: to.ID})
	return true
}

// withinNoise says whether no target exceeds the mean by more than chance explains, and none
// has less than half of it. The floors of the weights give every target with its share of the
// partitions about half of the mean, so less means too few partitions, as on a new target.
func (b *balance) withinNoise() bool {
	mean := b.mean()
	for _, x := range b.eligible {
		expected := mean * x.Capacity
		if x.weight-expected > noiseSigmas*math.Sqrt(expected/measuredSeconds) {
			return false
		}
		if x.weight < meanShareFloor*expected {
			return false
		}
	}
	return true
}

// bestItem returns the partition whose move leaves the two targets most even, or -1 when
// no move lowers the greater utilisation of the two.
func bestItem(from, to *bin) int {
	best, bestPeak := -1, from.utilisation()
	for i, it := range from.partitions {
		peak := max((from.weight-it.weight)/from.Capacity, (to.weight+it.weight)/to.Capacity)
		if compare(peak, bestPeak) < 0 {
			best, bestPeak = i, peak
		}
	}
	return best
}

func (b *balance) mean() float64 {
	weight, capacity := 0.0, 0.0
	for _, x := range b.eligible {
		weight += x.weight
		capacity += x.Capacity
	}
	return weight / capacity
}
