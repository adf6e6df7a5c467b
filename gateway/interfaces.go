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
	// ReportConnectionRefused reports that the target's address refused a connection.
	ReportConnectionRefused()
	// ReportColdRemaining reports the remaining cold start that a response stated; 0 means that it
	// has ended.
	ReportColdRemaining(left time.Duration)
	// ReportStatement reports the rate limit that a response named, negative for none, and whether the
	// response said that the target leaves.
	ReportStatement(rateLimit float64, leaving bool)
	// CountRefusal counts a request for a key of the partition that the gate refused as load.
	CountRefusal(ref api.PartitionRef, key string)
	// Begin checks that the target may start work under the grant now and counts the attempt as in
	// flight until end is called. The returned context is derived from ctx and ends when attempts
	// under the grant must stop, as at the drain limit of a move. For a service that is not
	// partitioned, ref.Partition is -1 and epoch 0. Errors: WrongOwner, StaleEpoch, NoLease,
	// NoOwner, ShuttingDown, NoTarget.
	Begin(ctx context.Context, ref api.PartitionRef, epoch api.Epoch, key string) (
		attemptCtx context.Context, end func(), err error)
}

// Targets looks up the targets on the host of this node.
type Targets interface {
	// Lookup returns nil if the target is not on this host.
	Lookup(id api.TargetID) LocalTarget
}

// Tokens hands out the rate-limit tokens of organisations.
type Tokens interface {
	// Take waits for a token within ctx. Errors: RateLimited.
	Take(ctx context.Context, org api.OrganisationID) (Token, error)
}

// Token is the right to run one request. Exactly one of its methods must be called, once.
type Token interface {
	Settle() // the token is spent
	Refund() // the request did not run
}
