// Package placement decides which target should own which partition of a service.
package placement

import (
	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/plugin"
)

// Target is a target of the service as a policy sees it.
type Target struct {
	ID   api.TargetID
	Zone string
	// Capacity is relative to the other targets, such as the number of slots. Zero and negative
	// values count as one.
	Capacity float64
	// MaxLoad is the load in requests per second that the target takes; 0 means no limit.
	MaxLoad float64
	// Cold is set while the target is in its cold-start ramp.
	Cold bool
	// Eligible is false for a target that must lose its partitions.
	Eligible bool
}

// Partition is one partition with its current owner.
type Partition struct {
	Index int
	// Owner is empty when no target owns the partition.
	Owner api.TargetID
	// Load is the measured load in requests per second.
	Load float64
	// Moving is set when the partition must not be moved, such as one that is being moved to Owner.
	Moving bool
}

// Move is a planned change of a partition's owner. From is empty for a partition without an owner.
type Move struct {
	Partition int
	From, To  api.TargetID
}

// Policy plans moves. Plan places every partition without an owner, and plans at most maxMoves
// moves of owned partitions, first those away from targets that are not eligible. It returns no
// moves when no target is eligible. Implementations must be safe for concurrent use.
type Policy interface {
	Plan(service string, ps []Partition, ts []Target, maxMoves int) []Move
}

// Names of the policies of this package.
const (
	DefaultPolicy  = "balanced"
	BaselinePolicy = "random"
)

// Policies holds the policies by the name used in the placement setting of a service.
var Policies = plugin.NewRegistry[Policy]("placement policy")

func init() {
	Policies.Register(DefaultPolicy, Balanced{})
	Policies.Register(BaselinePolicy, Random{})
}
