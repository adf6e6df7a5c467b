// Package placement decides which target should own which partition of a service.
package placement

import (
	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/plugin"
)

// Target is a target that may own partitions of the service.
type Target struct {
	ID   api.TargetID
	Zone string
	// Capacity is relative to the other targets, such as the number of slots; values
	// of zero and below count as one.
	Capacity float64
	// Cold says that the target is still in its cold-start ramp.
	Cold bool
	// Eligible is false for a target that must lose its partitions.
	Eligible bool
}

// Partition is one partition and its present owner.
type Partition struct {
	Index int
	// Owner is empty when nobody owns the partition.
	Owner api.TargetID
	// Load is in requests per second.
	Load float64
	// Moving says that the partition is on its way to Owner; it is not moved again.
	Moving bool
}

// Move asks for the partition to pass from one target to another. From is empty for a
// partition that nobody owned.
type Move struct {
	Partition int
	From, To  api.TargetID
}

// Policy plans moves. Plan places every partition without an owner, and plans at most
// maxMoves moves of owned partitions; those that leave a target that is not eligible
// come first. It returns nothing when no target is eligible. Implementations are safe
// for concurrent use.
type Policy interface {
	Plan(service string, ps []Partition, ts []Target, maxMoves int) []Move
}

// Names of the policies of this package.
const (
	DefaultPolicy  = "balanced"
	BaselinePolicy = "random"
)

// Policies holds the registered policies.
var Policies = plugin.NewRegistry[Policy]("placement policy")

func init() {
	Policies.Register(DefaultPolicy, Balanced{})
	Policies.Register(BaselinePolicy, Random{})
}
