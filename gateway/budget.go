package gateway

import "sync/atomic"

const (
	// budgetUnit is one retry or hedge in the budget's fixed-point unit.
	budgetUnit = 1000
	// budgetBurst bounds what an idle time saves up, so that a later fault is not
	// answered with a burst of retries.
	budgetBurst = 100 * budgetUnit
	// budgetStart lets a freshly started node repeat its first few requests.
	budgetStart = 10 * budgetUnit
)

// budget allows a share of requests to be repeated: each request adds the share, each
// repetition takes one.
type budget struct {
	share int64
	burst int64
	level atomic.Int64
}

// newBudget returns a budget that saves up at most burst repetitions; 0 means budgetBurst.
func newBudget(share float64, burst int) *budget {
	b := &budget{share: int64(share * budgetUnit), burst: int64(burst) * budgetUnit}
	if b.burst <= 0 {
		b.burst = budgetBurst
	}
	if b.share > 0 {
		b.level.Store(min(budgetStart, b.burst))
	}
	return b
}

// earn adds the share of one request.
func (b *budget) earn() {
	if b.level.Load() < b.burst {
		b.level.Add(b.share)
	}
}

// spend takes one repetition, or says that the budget is used up.
func (b *budget) spend() bool {
	for {
		level := b.level.Load()
		if level < budgetUnit {
			return false
		}
		if b.level.CompareAndSwap(level, level-budgetUnit) {
			return true
		}
	}
}
