package replica

import (
	"crypto/tls"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/raft"
)

// Defaults of the timings and limits in Options.
const (
	DefaultTick            = 10 * time.Millisecond
	DefaultHeartbeat       = 30 * time.Millisecond
	DefaultElectionMin     = 150 * time.Millisecond
	DefaultElectionMax     = 300 * time.Millisecond
	DefaultProposeTimeout  = 5 * time.Second
	DefaultSnapshotEntries = 4096
)

// callTimeout bounds every call to another member; after it the connection is replaced.
const callTimeout = 300 * time.Millisecond

// FSM is the state machine that the log drives. Its methods are called one at a time, on
// one goroutine, in log order.
type FSM interface {
	// Apply applies a committed entry; its result is returned by the Propose that made it.
	Apply(index uint64, data []byte) any
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state by a snapshot.
	Restore(data []byte) error
}

// Peer is an initial member of the group.
type Peer struct {
	Name            string
	Address         string // rpc listener, host:port
	OperatorAddress string // operator listener, host:port; may be empty
}

// Options are the settings of a member.
type Options struct {
	Name string
	// Address is where other members reach this member's rpc listener, host:port.
	Address string
	// OperatorAddress is passed on to the other members with the address; may be empty.
	OperatorAddress string
	// DataDir is used by this member alone.
	DataDir string
	// Peers are all initial members; this member may be among them.
	Peers []Peer
	// Seeds returns rpc addresses of some members, in place of Peers: the members find each other
	// through them, and any member that asks is taken in. It may return others later.
	Seeds func() []string
	// Bootstrap allows the seeds to found a group; without it a member with an empty disk joins one.
	Bootstrap bool
	// MaxVoters is the greatest number of voters; 0 means no bound. With Seeds, a learner that has
	// caught up takes the place of a voter that is out of contact.
	MaxVoters int
	// Zone is the availability zone of the member; voters are spread over the zones.
	Zone string
	TLS  *tls.Config
	FSM  FSM

	Tick                     time.Duration
	Heartbeat                time.Duration
	ElectionMin, ElectionMax time.Duration
	// ProposeTimeout bounds a Propose whose context has no deadline.
	ProposeTimeout time.Duration
	// SnapshotEntries is the number of log entries between snapshots.
	SnapshotEntries int
}

func (o *Options) complete() error {
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

// others returns the peers without this member.
func (o *Options) others() []Peer {
	var others []Peer
	for _, p := range o.Peers {
		if p.Name != o.Name {
			others = append(others, p)
		}
	}
	return others
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
		// Ids are random, so members that start together draw different election timeouts.
		Seed: int64(id) ^ time.Now().UnixNano(),
	}
}
