package gateway

import (
	"context"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/gate"
)

// LocalTarget is a target on the host of this node.
type LocalTarget interface {
	Info() api.Announcement
	Gate() *gate.Gate
	// Enter checks that the target may start work under the grant now and counts the
	// attempt as in flight until leave is called. For an undivided service ref.Partition
	// is -1 and epoch 0. Errors: WrongOwner, StaleEpoch, NoLease, ShuttingDown, NoTarget.
	Enter(ref api.PartitionRef, epoch api.Epoch, key string) (leave func(), err error)
}

// Canceller is implemented by a LocalTarget that ends running attempts, as at the drain
// limit of a move. The context, never nil, ends when attempts under the grant must stop.
type Canceller interface {
	GrantContext(ref api.PartitionRef, epoch api.Epoch) context.Context
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
