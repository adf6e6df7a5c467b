package host

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
)

// rateGate records the rates that the gate was limited to.
type rateGate struct {
	fakeGate
	rates *[]float64
}

func (g rateGate) SetNamedRate(rate float64) { *g.rates = append(*g.rates, rate) }

// Guards against a limit that ends while the target still names it, as a response that was sent earlier or lacks the header overtakes
// another (LIMIT), and against one that holds after the target has stopped naming it.
func TestNamedRateHoldsAsLongAsItIsNamed(t *testing.T) {
	is := is.New(t)
	w := newPullWorld(t)
	w.own(api.Granted, 5)
	w.pull(api.Pull{})
	target := w.c.r.Lookup(w.a.ID)
	var rates []float64
	target.gate = rateGate{rates: &rates}
	began := time.Now()
	for _, c := range []struct {
		afterMs     int
		named, used float64 // negative for none
	}{
		{0, -1, -1}, {1000, 26.7, 26.7}, {1100, -1, 26.7}, {1400, 13.35, 13.35}, {1800, -1, 13.35}, {1850, 13.35, 13.35}, {2300, -1, 13.35},
		{2400, -1, -1}, {2500, 0, 0}, {2600, -1, 0}, {3100, -1, -1},
	} {
		target.mu.Lock()
		target.recordRateLimit(c.named, began.Add(time.Duration(c.afterMs)*time.Millisecond))
		target.mu.Unlock()
		is.Equal(rates[len(rates)-1], c.used) // by time
	}
	is.Equal(rates, slices.Compact(slices.Clone(rates))) // a rate that stays is not set again, which would allow another burst
}
