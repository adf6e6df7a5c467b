package gateway

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/plugin"
)

// TargetChoice selects the target of a request to a service that is not partitioned.
type TargetChoice interface {
	// Choose returns an index below candidates.Len(), which is positive.
	Choose(candidates Candidates) int
}

// Candidates are the targets that may receive a request. The load of a candidate is read only in
// At, since a service may have thousands of targets.
type Candidates struct {
	targets []api.TargetAt
	loads   *loadTable
	now     time.Time
	// zone is the availability zone of this node.
	zone string
	// large is true if the request has a large body.
	large bool
	// largeResponse is true if the response is expected to be large.
	largeResponse bool
	// serviceLatency is the mean latency of the service at this node; zero if unknown.
	serviceLatency time.Duration
	// preview is set where a choice is only reported, not made; nil for real requests.
	preview *choicePreview
}

// choicePreview records the figures that decide a choice. Its random numbers are its own, and loads are not recorded, so
// that the choices of real requests stay as they are.
type choicePreview struct {
	random *rand.Rand
	// costs holds the figure of each candidate that the policy compared, by its index.
	costs map[int]float64
}

// IntN returns a random number in [0, n). Policies draw all random numbers here.
func (c Candidates) IntN(n int) int {
	if c.preview != nil {
		return c.preview.random.IntN(n)
	}
	return rand.IntN(n)
}

// Compared reports the figure by which the policy compares a candidate with the others; the least one is selected.
// Policies call it for each candidate that they compare.
func (c Candidates) Compared(i int, cost float64) {
	if c.preview != nil {
		c.preview.costs[i] = cost
	}
}

// load returns the load of a candidate.
func (c Candidates) load(i int) *load {
	id := c.targets[i].Target.ID
	if c.preview == nil {
		return c.loads.get(id)
	}
	if l := c.loads.find(id); l != nil {
		return l
	}
	return new(load)
}

// Len returns the number of candidates.
func (c Candidates) Len() int { return len(c.targets) }

// SameZone returns the number of candidates in the zone of this node. They come first.
func (c Candidates) SameZone() int {
	return sort.Search(len(c.targets), func(i int) bool { return c.targets[i].Peer.Zone != c.zone })
}

// At returns a candidate with its load.
func (c Candidates) At(i int) Candidate {
	l := c.load(i)
	s := l.recentReport(c.now)
	if !c.large {
		s.bodyWait = 0
	}
	if !c.largeResponse {
		s.linkWait = 0
	}
	return Candidate{
		Endpoint:        c.targets[i],
		Outstanding:     l.outstanding.Load(),
		Latency:         l.decayedLatency(c.now),
		ReportedLatency: s.expected,
		BodyWait:        s.bodyWait,
		LinkWait:        s.linkWait,
		ServiceLatency:  c.serviceLatency,
		SameZone:        c.targets[i].Peer.Zone == c.zone,
	}
}

// Candidate is a target that may receive a request, with its load as known to this node.
type Candidate struct {
	Endpoint api.TargetAt
	// Outstanding is the number of requests that this node has in flight at the target.
	Outstanding int64
	// Latency is the decaying mean of observed latencies; zero if unknown.
	Latency time.Duration
	// ReportedLatency is the expected latency of one more request, as reported by the target's node
	// within loadReportMaxAge; zero without a recent report.
	ReportedLatency time.Duration
	// BodyWait is how long a body waits for the link of the target's node, as reported by that node
	// within loadReportMaxAge; zero for a small body.
	BodyWait time.Duration
	// LinkWait is how long a large response waits for the link of the target's node, as BodyWait; zero if the response is
	// not expected to be large.
	LinkWait time.Duration
	// ServiceLatency is the mean latency of the service at this node; zero if unknown.
	ServiceLatency time.Duration
	// SameZone is true if the target is in the availability zone of this node.
	SameZone bool
}

// TargetChoices holds the target choice policies by name.
var TargetChoices = plugin.NewRegistry[TargetChoice]("target choice")

// DefaultTargetChoice is the policy of a service that names none.
const DefaultTargetChoice = "two-choices"

func init() {
	TargetChoices.Register(DefaultTargetChoice, twoChoices{})
	TargetChoices.Register("random", randomChoice{})
	TargetChoices.Register(NearChoice, nearChoice{})
}

// randomChoice selects uniformly at random; it is the baseline for comparisons.
type randomChoice struct{}

// Choose implements TargetChoice.
func (randomChoice) Choose(candidates Candidates) int { return candidates.IntN(candidates.Len()) }

// twoChoices selects the better of two random targets by expected latency.
type twoChoices struct{}

// Choose implements TargetChoice.
func (twoChoices) Choose(candidates Candidates) int {
	n := candidates.Len()
	if n == 1 {
		return 0
	}
	a := candidates.IntN(n)
	b := candidates.IntN(n - 1)
	if b >= a {
		b++
	}
	first, second := candidates.At(a), candidates.At(b)
	timeA, timeB := expectedTime(first, second), expectedTime(second, first)
	candidates.Compared(a, timeA)
	candidates.Compared(b, timeB)
	if timeB < timeA {
		return b
	}
	return a
}

// expectedTime returns the expected time, in relative units, in which the target would serve one
// more request. If the latency of either target is unknown, both count as equally fast.
func expectedTime(c, other Candidate) float64 {
	latency := c.Latency
	if latency == 0 || other.Latency == 0 {
		latency = 1
	}
	slots := max(c.Endpoint.Target.Slots, 1)
	return float64(c.Outstanding+1) * float64(latency) / float64(slots)
}
