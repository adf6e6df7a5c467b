package control

import (
	"context"
	"time"

	"github.com/zinniapier/zinniapier/replica"
	"github.com/zinniapier/zinniapier/rpc"
)

// Log is what the package needs of the replicated log.
type Log interface {
	// Propose commits an entry and returns what the state machine's Apply returned for it.
	Propose(ctx context.Context, data []byte) (result any, index uint64, err error)
	// Leader returns the name and the rpc address of the leader, empty when none is known.
	Leader() (name, address string, self bool)
	// HoldsLease says whether this member led, at a moment after the call began, with a
	// quorum that elects nobody else before the lease ends.
	HoldsLease() bool
	// Leadership delivers every change of leadership. A change to this member is delivered
	// before HoldsLease returns true in the new term.
	Leadership() <-chan LeadershipChange
	Members() []Member
	RegisterRPC(s *rpc.Server) error
	AddMember(ctx context.Context, name, address string) error
	RemoveMember(ctx context.Context, id uint64) error
}

// LeadershipChange tells that a term has begun and whether this member leads it. It is the
// replica's own type, so that its channel is used as it is: a converting goroutine in
// between would let HoldsLease return true in a term whose change is still in transit.
type LeadershipChange = replica.LeadershipChange

// Member is one member of the control group.
type Member struct {
	Name    string
	ID      uint64
	Address string // rpc listener, host:port
	// OperatorAddress is the operator listener, host:port; empty when unknown.
	OperatorAddress string
	Voter           bool
	// Match is the greatest log index known to be stored by the member; known to the leader only.
	Match       uint64
	LastContact time.Time
}
