package gateway

import (
	"context"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/gate"
)

// LocalTarget is a target on the host of this node.
type LocalTarget interface {
	Info() api.Announcement
	Gate() *gate.Gate
	// ReportConnectionRefused tells that the target's address has refused a connection.
	ReportConnectionRefused()
	// ReportColdRemaining tells what an answer said of the target's cold start; 0 means that it has ended.
	ReportColdRemaining(left time.Duration)
	// CountRefusal tells that the gate has refused a request for a key of the partition: it counts as load.
	CountRefusal(ref api.PartitionRef, key string)
	// Begin checks that the target may start work under the grant now and counts the
	// attempt as in flight until leave is called. The returned context is derived from ctx
	// and ends when attempts under the grant must stop, as at the drain limit of a move. For
	// an undivided service ref.Partition is -1 and epoch 0. Errors: WrongOwner, StaleEpoch,
	// NoLease, NoOwner, ShuttingDown, NoTarget.
	Begin(ctx context.Context, ref api.PartitionRef, epoch api.Epoch, key string) (
		attemptCtx context.Context, leave func(), err error)
}

// Targets finds the targets on the host of this node.
type Targets interface {
	// Lookup returns nil when the target is not local.
	Lookup(id api.TargetID) LocalTarget
}

// Tokens hands out the tokens of the organisations.
type Tokens interface {
	// Take waits for a token within ctx. Errors: RateLimited.
	Take(ctx context.Context, org api.OrganisationID) (Token, error)
}

// Token is the right to run one request. Exactly one of its methods is called, once.
type Token interface {
	Settle() // spent for good
	Refund() // not run
}
