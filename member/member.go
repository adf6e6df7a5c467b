// Package member assembles a control member: the replicated log, the state machine, the
// control loop, and the listeners for nodes and operators.
package member

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/control"
	"github.com/zinniapier/zinniapier/daemon"
	"github.com/zinniapier/zinniapier/internal/connlimit"
	"github.com/zinniapier/zinniapier/replica"
	"github.com/zinniapier/zinniapier/rpc"
	"github.com/zinniapier/zinniapier/state"
	"github.com/zinniapier/zinniapier/telemetry"
)

// Shares of the connections that are kept free for a listener.
const (
	rpcShare      = 1.0 / 2
	operatorShare = 1.0 / 4
	statusShare   = 1.0 / 64
)

// maxRPCMessage bounds a message. A configuration of 4 MB is forwarded together with what was read from it, and a call of a
// member to another has 3 MB of entries at most.
const maxRPCMessage = 16 << 20

// Member is one control member. Create it with New and run it with Serve.
type Member struct {
	settings config.ControlSettings
	profile  Profile
	replica  *replica.Replica
	control  *control.Control
	server   *rpc.Server

	// connections limits the connections to all listeners.
	connections *connlimit.Process

	rpc, operator, status net.Listener
}

// New opens the listeners and the data folder of a member. It fails for an address that cannot
// be bound, TLS files that cannot be read, and a damaged log.
func New(settings config.ControlSettings) (*Member, error) { return NewWith(settings, Profile{}) }

// NewWith is New for a platform.
func NewWith(settings config.ControlSettings, profile Profile) (*Member, error) {
	pair, err := settings.TLS.Load()
	if err != nil {
		return nil, errors.Trace(err)
	}
	limits := connlimit.Derive(profile.MemoryBytes, profile.Descriptors).WithConnections(settings.Limits.MaxConnections)
	connections := connlimit.New(limits)
	m := &Member{
		settings: settings, profile: profile, connections: connections,
		server: rpc.NewServer(pair.Server, rpc.WithConnections(connections.Group("rpc", rpcShare)), rpc.WithMaxMessage(maxRPCMessage)),
	}
	if err := m.listen(pair.Server, limits.ReceiveBuffer()); err != nil {
		m.closeListeners()
		return nil, errors.Trace(err)
	}
	if err := m.assemble(pair); err != nil {
		m.closeListeners()
		return nil, errors.Trace(err)
	}
	return m, nil
}

// minRPCBuffer is the least receive buffer in bytes of connections between members, which carry entries of some megabytes.
const minRPCBuffer = 64 << 10

func (m *Member) listen(config *tls.Config, buffer int) (err error) {
	s := &m.settings
	if m.rpc, err = daemon.Listen("rpc", s.RPCListen, max(buffer, minRPCBuffer)); err != nil {
		return err
	}
	if m.operator, err = daemon.ListenTLS("operator", s.OperatorListen, buffer, config); err != nil {
		return err
	}
	if s.StatusListen == "" {
		return nil
	}
	m.status, err = daemon.Listen("status", s.StatusListen, buffer)
	return err
}

func (m *Member) closeListeners() {
	for _, l := range []net.Listener{m.rpc, m.operator, m.status} {
		if l != nil {
			_ = l.Close()
		}
	}
}

func (m *Member) assemble(pair config.TLSPair) (err error) {
	s := &m.settings
	machine := state.New()
	m.replica, err = replica.Open(replica.Options{
		Name:            s.Name,
		Address:         s.RPCAdvertise,
		OperatorAddress: s.OperatorAdvertise,
		DataDir:         s.DataDir,
		Peers:           initialPeers(s.Peers),
		TLS:             pair.Client,
		FSM:             machine,
		Heartbeat:       milliseconds(s.Timing.RaftBeatMs),
		ElectionMin:     milliseconds(s.Timing.ElectionMinMs),
		ElectionMax:     milliseconds(s.Timing.ElectionMaxMs),
		SnapshotEntries: s.SnapshotEntries,
		Tick:            m.profile.Tick,
		Seeds:           m.profile.Seeds,
		Bootstrap:       m.profile.Bootstrap,
		MaxVoters:       m.profile.Voters,
		Zone:            s.Zone,
	})
	if err != nil {
		return errors.Annotatef(err, "data folder %s", s.DataDir)
	}
	m.control, err = control.New(control.Options{
		Name:              s.Name,
		Log:               &replicaLog{m.replica},
		Machine:           machine,
		OperatorAddresses: operatorAddresses(s.Peers),
		OperatorTLS:       pair.Client,
		Lease:             milliseconds(s.Timing.LeaseMs),
		DriftMargin:       milliseconds(s.Timing.DriftMarginMs),
		Tick:              m.profile.Tick,
		PlanDelay:         m.profile.PlanDelay,
		AckWait:           m.profile.AckWait,
		BalanceInterval:   m.profile.BalanceInterval,
		MinVoters:         m.profile.Voters,
		RateTolerance:     m.profile.RateTolerance,
		RolloutLimits:     m.profile.RolloutLimits,
	})
	if err != nil {
		return errors.Trace(err)
	}
	return m.control.RegisterRPC(m.server)
}

func initialPeers(peers []config.ControlPeer) []replica.Peer {
	list := make([]replica.Peer, 0, len(peers))
	for _, p := range peers {
		list = append(list, replica.Peer{Name: p.Name, Address: p.RPCAddress, OperatorAddress: p.OperatorAddress})
	}
	return list
}

func operatorAddresses(peers []config.ControlPeer) map[string]string {
	addresses := make(map[string]string, len(peers))
	for _, p := range peers {
		addresses[p.Name] = p.OperatorAddress
	}
	return addresses
}

func milliseconds(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

func (m *Member) operatorHandler() http.Handler {
	if m.profile.OperatorHandler != nil {
		return m.profile.OperatorHandler(m.control)
	}
	return m.control.OperatorHandler()
}

// limits returns the bounds of a listener for which a share of the connections is kept free.
func (m *Member) limits(name string, share float64) []daemon.HTTPOption {
	return []daemon.HTTPOption{
		daemon.WithConnections(m.connections.Group(name, share)),
		daemon.WithMaxHeaderBytes(m.settings.Limits.MaxHeaderBytes),
		daemon.WithWholeBodies(),
	}
}

// Serve runs the member until ctx ends, or until its disk or state machine fails.
func (m *Member) Serve(ctx context.Context) error {
	supervisor := daemon.NewSupervisor("member")
	supervisor.Add(daemon.Service{Name: "rpc", Run: func(ctx context.Context) error { return m.server.Serve(ctx, m.rpc) }})
	supervisor.Add(daemon.Service{Name: "replica", Run: m.replica.Serve})
	supervisor.Add(daemon.Service{Name: "control", Run: m.control.Serve})
	supervisor.Add(daemon.NewHTTPService("operator", m.operator, m.operatorHandler(), m.limits("operator", operatorShare)...))
	if m.status != nil {
		supervisor.Add(daemon.NewHTTPService("status", m.status, telemetry.Handler(), m.limits("status", statusShare)...))
	}
	telemetry.Logger("member").WithField("name", m.settings.Name).WithField("heap_bytes", telemetry.HeapBytes()).Info("Control member is up.")
	err := supervisor.Serve(ctx)
	telemetry.Logger("member").WithField("name", m.settings.Name).Info("Control member has stopped.")
	return err
}
