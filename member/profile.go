package member

import (
	"net/http"
	"time"

	"github.com/zinniapier/zinniapier/control"
	"github.com/zinniapier/zinniapier/rollout"
	"github.com/zinniapier/zinniapier/tokens"
)

// Profile adapts a control member to a platform. The zero value is the product's own interface.
type Profile struct {
	// Seeds, Bootstrap and Voters are Seeds, Bootstrap and MaxVoters of replica.Options.
	Seeds     func() []string
	Bootstrap bool
	Voters    int
	// OperatorHandler serves operators in place of the product's own handler.
	OperatorHandler func(*control.Control) http.Handler
	// Tick is the interval of the raft core and of the control loop; 0 means the defaults.
	Tick time.Duration
	// PlanDelay and BalanceInterval are those of control.Options.
	PlanDelay       time.Duration
	BalanceInterval time.Duration
	// AckWait is that of control.Options.
	AckWait time.Duration
	// RateTolerance is that of control.Options.
	RateTolerance tokens.Tolerance
	// RolloutLimits are those of control.Options.
	RolloutLimits rollout.Limits
	// MemoryBytes and Descriptors are those of connlimit.Derive.
	MemoryBytes int64
	Descriptors int
}

// Spans of a control member on a fraction of a core, for targets that pull their grants.
const (
	// pulledTick bounds the delay of the raft core and of the control loop.
	pulledTick = 30 * time.Millisecond
	// pulledPlanDelay lets every node turn to a new leader before it plans.
	pulledPlanDelay = 700 * time.Millisecond
	// pulledAckWait leaves an operator that gives up after a second its answer.
	pulledAckWait = 600 * time.Millisecond
	// pulledBalanceInterval is long since a move of keys costs their requests up to two heartbeats
	// of a target.
	pulledBalanceInterval = 3 * time.Second
)

// Pulled fills in what suits targets that pull their grants.
func (p Profile) Pulled() Profile {
	p.AckWait = pulledAckWait
	p.Tick, p.PlanDelay, p.BalanceInterval = pulledTick, pulledPlanDelay, pulledBalanceInterval
	return p
}
