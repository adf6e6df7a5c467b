package gateway

import (
	"math/rand/v2"
	"time"
)

// NearChoice is the policy that stays in the availability zone of the node while that costs no
// latency worth the traffic between zones.
const NearChoice = "near"

const (
	// nearSample is the number of candidates of a large service that are compared.
	nearSample = 8
	// nearBias is what a target in another zone must be faster by, as a factor.
	nearBias = 3.0
	// bulkBias is the same for a large body, whose way between zones costs more than its wait.
	bulkBias = 10.0
	// unknownTime stands for the time of a target that nothing is known of.
	unknownTime = 50 * time.Millisecond
)

// nearChoice selects the target with the least expected time, with a bias for the own zone.
type nearChoice struct{}

// Choose implements TargetChoice.
func (nearChoice) Choose(candidates Candidates) int {
	n := candidates.Len()
	bias := nearBias
	if candidates.large {
		bias = bulkBias
	}
	best, bestTime := 0, 0.0
	start := rand.IntN(n)
	for k := range min(n, nearSample) {
		i := (start + k) % n
		t := nearTime(candidates.At(i), bias)
		if k == 0 || t < bestTime {
			best, bestTime = i, t
		}
	}
	return best
}

// nearTime is the expected time of one more request, in seconds, times the bias. What this node
// waits for counts in full, since a statement is older than the requests sent after it.
func nearTime(c Candidate, bias float64) float64 {
	base := c.ReportedLatency
	if base == 0 {
		// What was observed loses its worth with time, so that a slow target is tried again; below the
		// usual time it would say that unused targets are fast.
		base = max(c.Latency, c.ServiceLatency)
	}
	if base == 0 {
		base = unknownTime
	}
	t := base.Seconds()*(1+float64(c.Outstanding)/float64(max(c.Endpoint.Target.Slots, 1))) + c.BodyWait.Seconds()
	if !c.SameZone {
		t *= bias
	}
	return t
}
