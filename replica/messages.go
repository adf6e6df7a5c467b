package replica

import (
	"github.com/zinniapier/zinniapier/raft"
	"github.com/zinniapier/zinniapier/rpc"
)

// receiverName is the name of the members' service on rpc.
const receiverName = "Raft"

// QueryRequest asks a member who it is.
type QueryRequest struct{}

// QueryReply describes a member; Cluster is 0 while it belongs to no group.
type QueryReply struct {
	Name            string
	ID, Cluster     uint64
	Address         string
	OperatorAddress string
	LeaderAddress   string
	Zone            string
}

// JoinRequest asks the leader to add the member as a learner, or to note its new addresses.
type JoinRequest struct {
	Cluster         uint64
	ID              uint64
	Name            string
	Address         string
	OperatorAddress string
	Zone            string
}

// JoinReply says whether the answering member leads and, if not, who does.
type JoinReply struct {
	Accepted bool
	// Removed says that the id was removed from the group for good.
	Removed       bool
	LeaderAddress string
}

// Batch carries raft messages between two members of a group.
type Batch struct {
	Cluster, From, To uint64
	FromAddress       string
	Messages          []raft.Message
	// SnapshotBytes is the size of the snapshot that was sent in chunks before; 0 if none was.
	SnapshotBytes int
}

// Chunk is a part of the state of a snapshot.
type Chunk struct {
	Cluster, From, To uint64
	Index, Term       uint64
	Offset            int
	Data              []byte
}

// Empty is an empty reply.
type Empty struct{}

// service is the receiver of the members' calls.
type service struct{ r *Replica }

// RegisterRPC publishes the member's service. It returns an error when the name is taken.
func (r *Replica) RegisterRPC(s *rpc.Server) error {
	return s.Register(receiverName, &service{r})
}

// Query answers who this member is.
func (s *service) Query(_ QueryRequest, reply *QueryReply) error {
	*reply = s.r.describe()
	return nil
}

// Deliver takes in raft messages. Messages beyond what the inbox holds are dropped, as a
// network would.
func (s *service) Deliver(b Batch, _ *Empty) error { return s.r.deliver(b) }

// Chunk takes in a part of a snapshot.
func (s *service) Chunk(c Chunk, _ *Empty) error { return s.r.stage(c) }

// Join adds the caller to the group.
func (s *service) Join(request JoinRequest, reply *JoinReply) error {
	return s.r.join(request, reply)
}
