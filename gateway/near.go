package gateway

import "time"

// NearChoice is the policy that prefers the availability zone of the node unless a target in
// another zone is faster by a factor that justifies the traffic between zones.
const NearChoice = "near"

const (
	// nearSampleSize is the number of candidates in the zone that are compared, and of those in other zones.
	nearSampleSize = 8
	// otherZonePenalty is the factor by which a target in another zone must be faster.
	otherZonePenalty = 3.0
	// otherZoneLargeBodyPenalty is the factor for a large body, whose transfer between zones costs
	// more than its wait.
	otherZoneLargeBodyPenalty = 10.0
	// assumedLatency is used for a target without any known latency.
	assumedLatency = 50 * time.Millisecond
)

// nearChoice selects the target with the least expected latency, with a penalty for other zones.
//
// Load pattern: a service with many targets in several zones. A sample over all of them often has none in
// the zone, and large bodies then cross zones although targets beside them are free.
type nearChoice struct{}

// Choose implements TargetChoice.
func (nearChoice) Choose(candidates Candidates) int {
	penalty := otherZonePenalty
	if candidates.large {
		penalty = otherZoneLargeBodyPenalty
	}
	near := candidates.SameZone()
	best, bestTime := -1, 0.0
	for _, part := range [][2]int{{0, near}, {near, candidates.Len()}} {
		first, n := part[0], part[1]-part[0]
		if n == 0 {
			continue
		}
		start := candidates.IntN(n)
		for k := range min(n, nearSampleSize) {
			i := first + (start+k)%n
			t := zoneWeightedTime(candidates.At(i), penalty)
			candidates.Compared(i, t)
			if best < 0 || t < bestTime {
				best, bestTime = i, t
			}
		}
	}
	return best
}

// zoneWeightedTime returns the expected time of one more request in seconds, times the penalty in
// another zone. The requests in flight from this node count in full, since a report is older than
// the requests sent after it.
func zoneWeightedTime(c Candidate, penalty float64) float64 {
	base := c.ReportedLatency
	if base == 0 {
		// An observed latency decays, so that a slow target is tried again; the mean of the service
		// is the lower limit, or unused targets would look fast.
		base = max(c.Latency, c.ServiceLatency)
	}
	if base == 0 {
		base = assumedLatency
	}
	t := base.Seconds()*(1+float64(c.Outstanding)/float64(max(c.Endpoint.Target.Slots, 1))) +
		c.BodyWait.Seconds() + c.LinkWait.Seconds()
	if !c.SameZone {
		t *= penalty
	}
	return t
}
