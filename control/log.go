package control

import (
	"context"
	"time"

	"github.com/zinniapier/zinniapier/replica"
	"github.com/zinniapier/zinniapier/rpc"
)

// Log is the replicated log as this package uses it.
type Log interface {
	// Propose commits an entry. It returns the result of the state machine's Apply and the
	// entry's index. On an error the entry may still be committed.
	Propose(ctx context.Context, data []byte) (result any, index uint64, err error)
	// Leader returns the name and rpc address of the leader, both empty when none is known, and
	// whether this member leads.
	Leader() (name, address string, self bool)
	// HoldsLease reports whether this member was, at some moment after the call began, the only
	// possible leader.
	HoldsLease() bool
	// Leadership delivers changes of leadership. When this member becomes leader, the change is
	// delivered before HoldsLease returns true in the new term.
	Leadership() <-chan LeadershipChange
	// Members returns the members of the group as this member knows them.
	Members() []Member
	// RegisterRPC registers the RPC services of the log.
	RegisterRPC(s *rpc.Server) error
	// AddMember adds the member with this name at the rpc address host:port.
	AddMember(ctx context.Context, name, address string) error
	// RemoveMember removes a member; its id can never join again.
	RemoveMember(ctx context.Context, id uint64) error
}

// LeadershipChange reports a term and whether this member leads it. It is an alias, so that the
// replica's channel is used directly: with a converting goroutine in between, HoldsLease could
// return true in a term whose change has not been delivered.
type LeadershipChange = replica.LeadershipChange

// Member is one member of the control group.
type Member struct {
	Name    string
	ID      uint64
	Address string // rpc listener, host:port
	// OperatorAddress is the operator listener, host:port; empty when unknown.
	OperatorAddress string
	Voter           bool
	// Match is the greatest log index known to be stored by the member; set on the leader only.
	Match uint64
	// LastContact is when the leader last heard from the member.
	LastContact time.Time
}
