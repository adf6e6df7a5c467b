package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/plugin"
)

// TargetChoice selects the target of a request to a service that is not divided by key.
type TargetChoice interface {
	// Choose returns an index below candidates.Len(), which is positive.
	Choose(candidates Candidates) int
}

// Candidates are the targets that may receive a request. Load is read only for those that
// a policy looks at, since a service may have thousands.
type Candidates struct {
	targets []api.TargetAt
	loads   *loadTable
	now     time.Time
	// zone is the availability zone of this node.
	zone string
	// large says that the request has a large body.
	large bool
	// usual is the mean latency of the service at this node; zero when none is known.
	usual time.Duration
}

// Len returns the number of candidates.
func (c Candidates) Len() int { return len(c.targets) }

// At returns one candidate with its load.
func (c Candidates) At(i int) Candidate {
	l := c.loads.get(c.targets[i].Target.ID)
	s := l.stated(c.now)
	if !c.large {
		s.bodyWait = 0
	}
	return Candidate{
		Endpoint:        c.targets[i],
		Outstanding:     l.outstanding.Load(),
		Latency:         l.current(c.now),
		ReportedLatency: s.expected,
		BodyWait:        s.bodyWait,
		ServiceLatency:  c.usual,
		SameZone:        c.targets[i].Peer.Zone == c.zone,
	}
}

// Candidate is a target that may receive a request, as this node sees it.
type Candidate struct {
	Endpoint api.TargetAt
	// Outstanding is the number of requests that this node waits for at the target.
	Outstanding int64
	// Latency is the decaying mean of observed latencies; zero when none is known.
	Latency time.Duration
	// ReportedLatency is the time of one more request as the target's node stated it within statementLife;
	// zero when it did not.
	ReportedLatency time.Duration
	// BodyWait is the time that the body waits for the link of the target's node, as that stated it
	// within statementLife; zero for a small body.
	BodyWait time.Duration
	// ServiceLatency is the mean latency of the service at this node; zero when none is known.
	ServiceLatency time.Duration
	// SameZone says that the target is in the availability zone of this node.
	SameZone bool
}

// TargetChoices holds the policies of target choice by name.
var TargetChoices = plugin.NewRegistry[TargetChoice]("target choice")

// DefaultTargetChoice is the policy of a service that names none.
const DefaultTargetChoice = "two-choices"

func init() {
	TargetChoices.Register(DefaultTargetChoice, twoChoices{})
	TargetChoices.Register("random", randomChoice{})
	TargetChoices.Register(NearChoice, nearChoice{})
}

// randomChoice selects evenly; the baseline.
type randomChoice struct{}

// Choose implements TargetChoice.
func (randomChoice) Choose(candidates Candidates) int { return rand.IntN(candidates.Len()) }

// twoChoices selects the better of two random targets by expected time to serve.
type twoChoices struct{}

// Choose implements TargetChoice.
func (twoChoices) Choose(candidates Candidates) int {
	n := candidates.Len()
	if n == 1 {
		return 0
	}
	a := rand.IntN(n)
	b := rand.IntN(n - 1)
	if b >= a {
		b++
	}
	first, second := candidates.At(a), candidates.At(b)
	if expected(second, first) < expected(first, second) {
		return b
	}
	return a
}

// expected is the time in which the target would serve one more request. A target whose
// latency is not known counts as being as fast as the other one.
func expected(c, other Candidate) float64 {
	latency := c.Latency
	if latency == 0 || other.Latency == 0 {
		latency = 1
	}
	slots := max(c.Endpoint.Target.Slots, 1)
	return float64(c.Outstanding+1) * float64(latency) / float64(slots)
}
