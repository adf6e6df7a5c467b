package capacity

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/control"
	"github.com/zinniapier/zinniapier/daemon"
	"github.com/zinniapier/zinniapier/internal/connlimit"
	"github.com/zinniapier/zinniapier/internal/ports"
	"github.com/zinniapier/zinniapier/replica"
	"github.com/zinniapier/zinniapier/rpc"
	"github.com/zinniapier/zinniapier/state"
)

const (
	startLimit = 20 * time.Second
	poll       = 10 * time.Millisecond
)

// groupOptions describe a group of control members in this process.
type groupOptions struct {
	members int
	// tick is the interval of the control loop; a long one keeps planning out of a measurement.
	tick  time.Duration
	lease time.Duration
}

// group is a running group of control members without operator listeners.
type group struct {
	members []*groupMember
	folder  string
	stop    context.CancelFunc
	done    <-chan error
}

type groupMember struct {
	*replica.Replica
	machine *state.Machine
	control *control.Control
	server  *rpc.Server
	listen  net.Listener
	// looks counts the calls of HoldsLease; each plan of the loop makes one.
	looks atomic.Int64
}

// HoldsLease counts the call and asks the replica.
func (m *groupMember) HoldsLease() bool {
	m.looks.Add(1)
	return m.Replica.HoldsLease()
}

// Members describes the members for the control loop.
func (m *groupMember) Members() []control.Member {
	var list []control.Member
	for _, r := range m.Replica.Members() {
		list = append(list, control.Member{Name: r.Name, ID: r.ID, Address: r.Address, Voter: r.Voter, Match: r.Match})
	}
	return list
}

// AddMember is not used by the measurements.
func (m *groupMember) AddMember(ctx context.Context, name, address string) error {
	return m.Replica.AddMember(ctx, replica.Peer{Name: name, Address: address})
}

// startGroup starts a group and waits for its leader.
func startGroup(ctx context.Context, o groupOptions) (*group, error) {
	folder, err := os.MkdirTemp("", "zinnia-slopes-")
	if err != nil {
		return nil, errors.Trace(err)
	}
	g := &group{folder: folder}
	if err := g.open(o); err != nil {
		os.RemoveAll(folder)
		return nil, err
	}
	ctx, g.stop = context.WithCancel(ctx)
	supervisor := daemon.NewSupervisor("slopes")
	for _, m := range g.members {
		supervisor.Add(daemon.Service{Name: "rpc", Run: func(ctx context.Context) error { return m.server.Serve(ctx, m.listen) }})
		supervisor.Add(daemon.Service{Name: "replica", Run: m.Replica.Serve})
		supervisor.Add(daemon.Service{Name: "control", Run: m.control.Serve})
	}
	g.done = supervisor.ServeBackground(ctx)
	if _, err := g.leader(ctx); err != nil {
		g.close()
		return nil, err
	}
	return g, nil
}

func (g *group) open(o groupOptions) error {
	var peers []replica.Peer
	for i := range o.members {
		address, err := ports.FreeAddress()
		if err != nil {
			return err
		}
		peers = append(peers, replica.Peer{Name: fmt.Sprintf("control-%d", i+1), Address: address})
	}
	for _, p := range peers {
		m, err := openMember(g.folder, p, peers, o)
		if err != nil {
			return err
		}
		g.members = append(g.members, m)
	}
	return nil
}

func openMember(folder string, self replica.Peer, peers []replica.Peer, o groupOptions) (*groupMember, error) {
	m := &groupMember{machine: state.New(), server: rpc.NewServer(nil)}
	var err error
	if m.listen, err = daemon.Listen("rpc", self.Address, connlimit.MaxReceiveBuffer); err != nil {
		return nil, err
	}
	m.Replica, err = replica.Open(replica.Options{
		Name: self.Name, Address: self.Address, DataDir: filepath.Join(folder, self.Name), Peers: peers, FSM: m.machine,
	})
	if err != nil {
		return nil, err
	}
	m.control, err = control.New(control.Options{
		Name: self.Name, Log: m, Machine: m.machine, Tick: o.tick, Lease: o.lease,
	})
	if err != nil {
		return nil, err
	}
	return m, m.control.RegisterRPC(m.server)
}

// leader waits for a member that leads.
func (g *group) leader(ctx context.Context) (*groupMember, error) {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for {
		for _, m := range g.members {
			if m.Replica.HoldsLease() {
				return m, nil
			}
		}
		select {
		case <-ctx.Done():
			return nil, errors.Annotate(ctx.Err(), "no leader")
		case <-time.After(poll):
		}
	}
}

// change commits an operator's change on the current configuration version.
func (m *groupMember) change(ctx context.Context, c api.Change) error {
	c.ID = api.NewID()
	c.BaseVersion = m.machine.View().Configuration.Version
	data, err := state.EncodeChange(&c)
	if err != nil {
		return err
	}
	result, _, err := m.Propose(ctx, data)
	if err != nil {
		return err
	}
	if r, ok := result.(*api.ChangeResult); !ok || r.Error != nil {
		return errors.Errorf("change refused: %+v", result)
	}
	return nil
}

func (g *group) close() {
	g.stop()
	<-g.done
	if err := os.RemoveAll(g.folder); err != nil {
		logrus.WithError(err).Warn("Folder of the measurement remains.")
	}
}
