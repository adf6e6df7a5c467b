package replica

import (
	"github.com/zinniapier/zinniapier/raft"
	"github.com/zinniapier/zinniapier/rpc"
)

// rpcServiceName is the name of the members' service on rpc.
const rpcServiceName = "Raft"

// QueryRequest asks a member for its identity, its group and the leader.
type QueryRequest struct{}

// QueryReply describes a member. Cluster is the id of its group, 0 while it belongs to none.
type QueryReply struct {
	Name            string
	ID, Cluster     uint64
	Address         string
	OperatorAddress string
	LeaderAddress   string
	Zone            string
}

// JoinRequest asks the leader to add the member as a learner, or to record its new addresses.
type JoinRequest struct {
	Cluster         uint64
	ID              uint64
	Name            string
	Address         string
	OperatorAddress string
	Zone            string
}

// JoinReply is the reply to a JoinRequest.
type JoinReply struct {
	// Accepted is true if the replying member is the leader.
	Accepted bool
	// Removed is true if the id was removed from the group. It can never join again.
	Removed       bool
	LeaderAddress string
}

// Batch carries raft messages between two members of a group.
type Batch struct {
	Cluster, From, To uint64
	FromAddress       string
	Messages          []raft.Message
	// SnapshotBytes is the size of the snapshot that was sent before in chunks, 0 if there is none.
	SnapshotBytes int
}

// Chunk is a part of a snapshot's data. Offset is its position in bytes.
type Chunk struct {
	Cluster, From, To uint64
	Index, Term       uint64
	Offset            int
	Data              []byte
}

// Empty is an empty reply.
type Empty struct{}

// service implements the RPC methods that members call on each other.
type service struct{ r *Replica }

// RegisterRPC registers the member's RPC service. It returns an error if the name is taken.
func (r *Replica) RegisterRPC(s *rpc.Server) error {
	return s.Register(rpcServiceName, &service{r})
}

// Query returns the identity of this member and what it knows of its group.
func (s *service) Query(_ QueryRequest, reply *QueryReply) error {
	*reply = s.r.describe()
	return nil
}

// Deliver queues raft messages. Messages that exceed the capacity of the inbox are dropped, which
// raft treats like loss on the network.
func (s *service) Deliver(b Batch, _ *Empty) error { return s.r.deliver(b) }

// Chunk receives a part of a snapshot.
func (s *service) Chunk(c Chunk, _ *Empty) error { return s.r.storeChunk(c) }

// Join adds the caller to the group if this member is the leader.
func (s *service) Join(request JoinRequest, reply *JoinReply) error {
	return s.r.join(request, reply)
}
