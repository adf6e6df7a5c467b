package gateway

import "sync/atomic"

const (
	// budgetUnit is one retry or hedge in fixed-point units.
	budgetUnit = 1000
	// defaultBudgetBurst limits the budget that accumulates while there are no retries, so that a
	// later fault does not cause a burst of them.
	defaultBudgetBurst = 100 * budgetUnit
	// initialBudget lets a newly started node retry its first few requests.
	initialBudget = 10 * budgetUnit
)

// retryBudget limits retries or hedges to a share of requests: each request deposits the share,
// each retry withdraws one unit.
type retryBudget struct {
	share   int64
	burst   int64
	balance atomic.Int64
}

// newBudget returns a budget that accumulates at most burst retries; 0 means defaultBudgetBurst.
func newBudget(share float64, burst int) *retryBudget {
	b := &retryBudget{share: int64(share * budgetUnit), burst: int64(burst) * budgetUnit}
	if b.burst <= 0 {
		b.burst = defaultBudgetBurst
	}
	if b.share > 0 {
		b.balance.Store(min(initialBudget, b.burst))
	}
	return b
}

// deposit adds the share of one request.
func (b *retryBudget) deposit() {
	if b.balance.Load() < b.burst {
		b.balance.Add(b.share)
	}
}

// withdraw takes one retry and reports whether the budget allowed it.
func (b *retryBudget) withdraw() bool {
	for {
		balance := b.balance.Load()
		if balance < budgetUnit {
			return false
		}
		if b.balance.CompareAndSwap(balance, balance-budgetUnit) {
			return true
		}
	}
}
