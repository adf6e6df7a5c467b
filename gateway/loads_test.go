package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against hedges that wait as long as the straggling that they are meant to cut off.
func TestStragglingDoesNotDelayHedges(t *testing.T) {
	is := is.New(t)
	var p percentile
	for i := range timesWindow {
		latency := 5 * time.Millisecond
		if i%10 == 0 {
			latency = 200 * time.Millisecond
		}
		p.add(latency)
	}
	is.Equal(p.get(), tailFactor*5*time.Millisecond)
}
