package bench

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// Guards against a shape that leaks into the next run, and against a flood that the limiter
// would cut off or that the flooded target could serve.
func TestFloodIsWithinItsRate(t *testing.T) {
	is := is.New(t)
	d := Lichtwerk()
	shaped := d.shaped("within", "flood")
	flood, pool := shaped.Tenants[0], shaped.Services[0]
	is.True(flood.Offered < flood.Organisation.Rate)
	is.True(flood.Offered*pool.Work.Seconds() > float64(pool.Slots))
	is.Equal(d, Lichtwerk())
}

// Guards against keys out of range and against a skew without a hot key.
func TestSkewedKeys(t *testing.T) {
	is := is.New(t)
	tenant := OfferedTenant{Keys: 200, KeyExponent: zipfExponent}
	pick := keyPicker(rand.New(rand.NewPCG(1, 1)), tenant)
	counts := make([]int, tenant.Keys)
	for range 10_000 {
		counts[pick()]++
	}
	is.True(counts[0] > 2_000)
}
