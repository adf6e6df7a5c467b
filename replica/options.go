package replica

import (
	"crypto/tls"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/raft"
)

// Defaults of Options.
const (
	DefaultTick            = 10 * time.Millisecond
	DefaultHeartbeat       = 30 * time.Millisecond
	DefaultElectionMin     = 150 * time.Millisecond
	DefaultElectionMax     = 300 * time.Millisecond
	DefaultProposeTimeout  = 5 * time.Second
	DefaultSnapshotEntries = 4096
)

// minBytesToSnapshot and maxBytesToSnapshot bound the size of the log entries after which a snapshot follows, before
// SnapshotEntries. Between them it is the size of the last snapshot, so that snapshots write no more than the log.
//
// Load pattern: hundreds of changes of a configuration with thousands of routes, each a packed entry of some 30 KB that
// takes 14 ms to apply. A member applies the entries after its snapshot at each start, before it can lead.
const (
	minBytesToSnapshot = 1 << 20
	maxBytesToSnapshot = 16 << 20
)

// callTimeout is the timeout of every call to another member.
const callTimeout = 300 * time.Millisecond

// FSM is the replicated state machine. Its methods are called one at a time, in log order.
type FSM interface {
	// Apply applies a committed entry. Propose returns its result on the proposing member.
	Apply(index uint64, data []byte) any
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state with a snapshot.
	Restore(data []byte) error
}

// Peer is an initial member of the group.
type Peer struct {
	Name            string
	Address         string // RPC listener, host:port
	OperatorAddress string // operator listener, host:port; may be empty
}

// Options configures a member.
type Options struct {
	Name string
	// Address is the address of this member's RPC listener for the other members, host:port.
	Address string
	// OperatorAddress is the address of the operator listener, host:port, which is replicated to
	// the other members. It may be empty.
	OperatorAddress string
	// DataDir is the data directory of this member alone.
	DataDir string
	// Peers are all initial members; this member may be among them.
	Peers []Peer
	// Seeds replaces Peers. It returns the RPC addresses of some members, through which the members
	// find each other; any member that asks to join is added. Later calls may return others.
	Seeds func() []string
	// Bootstrap allows the seed with the lowest address to found a group. Without it, a member with
	// an empty disk only joins an existing group.
	Bootstrap bool
	// MaxVoters is the maximum number of voters; 0 means no limit. Once it is reached, a learner that
	// has caught up replaces a voter that is out of contact.
	MaxVoters int
	// Zone is the availability zone of the member. Voters are spread over the zones.
	Zone string
	TLS  *tls.Config
	FSM  FSM

	Tick                     time.Duration
	Heartbeat                time.Duration
	ElectionMin, ElectionMax time.Duration
	// ProposeTimeout limits proposals and membership changes whose context has no deadline.
	ProposeTimeout time.Duration
	// SnapshotEntries is the maximum number of log entries between snapshots.
	SnapshotEntries int
}

func (o *Options) setDefaults() error {
	if o.Name == "" || o.Address == "" || o.DataDir == "" || o.FSM == nil {
		return errors.NotValidf("replica options without name, address, data directory or state machine")
	}
	setDefault(&o.Tick, DefaultTick)
	setDefault(&o.Heartbeat, DefaultHeartbeat)
	setDefault(&o.ElectionMin, DefaultElectionMin)
	setDefault(&o.ElectionMax, max(DefaultElectionMax, 2*o.ElectionMin))
	setDefault(&o.ProposeTimeout, DefaultProposeTimeout)
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = DefaultSnapshotEntries
	}
	if o.ElectionMin >= o.ElectionMax || o.Heartbeat >= o.ElectionMin {
		return errors.NotValidf("timings: heartbeat %v, election timeout %v to %v", o.Heartbeat, o.ElectionMin, o.ElectionMax)
	}
	return nil
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// otherPeers returns Peers without this member.
func (o *Options) otherPeers() []Peer {
	var otherPeers []Peer
	for _, p := range o.Peers {
		if p.Name != o.Name {
			otherPeers = append(otherPeers, p)
		}
	}
	return otherPeers
}

func (o *Options) hasPeer(name string) bool {
	for _, p := range o.Peers {
		if p.Name == name {
			return true
		}
	}
	return name == o.Name
}

func (o *Options) core(id uint64) raft.Config {
	return raft.Config{
		ID: id, Heartbeat: o.Heartbeat, ElectionMin: o.ElectionMin, ElectionMax: o.ElectionMax,
		// Ids are random, so members that start at the same time draw different election timeouts.
		Seed: int64(id) ^ time.Now().UnixNano(),
	}
}
