// Package node assembles a node: the process beside a target that admits callers, routes
// their requests to the owner of the key, and is the only way to its own targets.
package node

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/daemon"
	"github.com/zinniapier/zinniapier/gate"
	"github.com/zinniapier/zinniapier/gateway"
	"github.com/zinniapier/zinniapier/host"
	"github.com/zinniapier/zinniapier/internal/connlimit"
	"github.com/zinniapier/zinniapier/internal/wait"
	"github.com/zinniapier/zinniapier/rpc"
	"github.com/zinniapier/zinniapier/session"
	"github.com/zinniapier/zinniapier/telemetry"
	"github.com/zinniapier/zinniapier/tokens"
)

// Node is one node process. Create it with New and run it with Serve.
type Node struct {
	settings config.NodeSettings
	profile  Profile
	tls      config.TLSPair

	session  *session.Session
	registry *host.Registry
	account  *tokens.Account
	limiter  gateway.Tokens
	gateway  *gateway.Gateway
	rpc      *rpc.Server

	// connections limits the connections to all listeners.
	connections      *connlimit.Process
	connectionLimits connlimit.Limits

	caller, internal, fate, announce, status, ready net.Listener

	// callerService and hopService serve the requests of callers and of other nodes.
	callerService, hopService *daemon.HTTPService

	// leaving is set once the node has been asked to stop.
	leaving atomic.Bool

	// callersDone is set once a leaving node has answered its last caller.
	callersDone atomic.Bool
}

// New opens the listeners of the node and assembles its parts. It fails for an address that
// cannot be bound and for TLS files that cannot be read.
func New(settings config.NodeSettings) (*Node, error) { return NewWith(settings, Profile{}) }

// NewWith is New for a platform.
func NewWith(settings config.NodeSettings, profile Profile) (*Node, error) {
	pair, err := settings.TLS.Load()
	if err != nil {
		return nil, errors.Trace(err)
	}
	if profile.LeaveLimit <= 0 {
		profile.LeaveLimit = defaultLeaveLimit
	}
	limits := connlimit.Derive(profile.MemoryBytes, profile.Descriptors).WithConnections(settings.Limits.MaxConnections)
	connections := connlimit.New(limits)
	n := &Node{
		settings: settings, profile: profile, tls: pair, connections: connections, connectionLimits: limits,
		rpc: rpc.NewServer(pair.Server, rpc.WithConnections(connections.Group("rpc", rpcShare)), rpc.WithMaxMessage(maxRPCMessage)),
	}
	if err := n.listen(); err != nil {
		n.closeListeners()
		return nil, errors.Trace(err)
	}
	if err := n.assemble(); err != nil {
		n.closeListeners()
		return nil, errors.Trace(err)
	}
	return n, nil
}

func (n *Node) assemble() error {
	timing := n.settings.Timing
	view := func() *api.View { return n.session.View() }
	wake := func() { n.session.Wake() }
	n.registry = n.newRegistry(view, wake)
	n.account = tokens.NewAccount(tokens.AccountOptions{
		Organisation: func(id api.OrganisationID) *api.Organisation { return view().Index.Organisations[id] },
		LeaseValid:   func() bool { return view().LeaseValid(time.Now()) },
		Wake:         wake,
		Heartbeat:    milliseconds(timing.HeartbeatMs),
		NodeCount:    n.fleetSize(),
	})
	n.limiter = n.newLimiter()
	n.gateway = n.newGateway(view)
	if err := n.newSession(); err != nil {
		return err
	}
	n.session.Subscribe(n.registry.Update)
	n.session.Subscribe(n.gateway.ViewChanged)
	telemetry.GaugesBy("target_capacity", "target", n.capacities)
	return n.rpc.Register("Node", n.gateway)
}

func (n *Node) newRegistry(view func() *api.View, wake func()) *host.Registry {
	timing := n.settings.Timing
	return host.NewRegistry(host.Options{
		Zone:          n.settings.Zone,
		View:          view,
		Wake:          wake,
		NewGate:       n.newGate,
		OrderInterval: milliseconds(timing.HeartbeatMs),
		DrainLimit:    milliseconds(timing.DrainLimitMs),
		DriftMargin:   milliseconds(timing.DriftMarginMs),

		Host:         n.settings.Name,
		MaxHold:      n.profile.LongestHold,
		MaxGrantWait: n.profile.PullInterval,

		DrainAdmitLimit: n.profile.AdmitDraining,
		OutAdmitLimit:   n.profile.AdmitOut,

		LostAfter: silentPulls * n.profile.PullInterval,

		Calls:             n.profile.Calls,
		HeartbeatInterval: n.profile.PullInterval,
		Lease:             milliseconds(timing.LeaseMs),
	})
}

func (n *Node) newGateway(view func() *api.View) *gateway.Gateway {
	return gateway.New(gateway.Options{
		View:    view,
		Targets: localTargets{n.registry},
		Tokens:  n.limiter,
		TLS:     n.tls.Client,
		Traffic: n.settings.Traffic,

		Dialect:       n.profile.Dialect,
		Origin:        n.profile.Origin,
		ProbeInterval: n.profile.Silence,
		RetryBurst:    n.profile.RetryBurst,
		AdmitLeaving:  n.profile.AdmitDraining,

		TargetChoice: n.profile.TargetChoice,
		Connections:  n.connectionLimits.Outgoing,
	})
}

func (n *Node) newSession() (err error) {
	s := &n.settings
	n.session, err = session.New(session.Options{
		Name:         s.Name,
		Zone:         s.Zone,
		InternalAddr: advertised(s.InternalAdvertise, n.internal),
		FateAddr:     advertised(s.RPCAdvertise, n.fate),
		CallerAddr:   advertised(s.CallerAdvertise, n.caller),
		Hosts:        n.profile.Origin,
		Members:      s.ControlMembers,
		TLS:          n.tls.Client,
		TargetSource: n.registry,
		Tokens:       n.account,
		Outcomes:     n.gateway.Outcomes,
		Idle:         func() bool { return n.callersDone.Load() && n.registry.Idle() },
		Heartbeat:    milliseconds(s.Timing.HeartbeatMs),

		MemberTimeout:    n.profile.MemberTimeout,
		MaxTimeoutFactor: n.profile.MemberPatience,
		WithoutLease:     n.profile.WithoutLease,
		Reseed:           n.profile.Reseed,
	})
	return errors.Trace(err)
}

// fleetSize returns a function that counts the nodes of the fleet, for nodes that go on without
// a lease; nil for others.
func (n *Node) fleetSize() func() int {
	if !n.profile.WithoutLease {
		return nil
	}
	return func() int { return len(n.session.View().Peers) }
}

func (n *Node) newGate(a api.Announcement) host.Gate {
	s := &n.settings.Gate
	return gate.New(gate.Options{
		Slots:       a.Slots,
		ColdSlots:   a.ColdSlots,
		RampStep:    milliseconds(a.RampMs),
		Queue:       s.Queue,
		QueueLength: s.QueueLength,
		NoColdStart: s.ColdStart != nil && !*s.ColdStart,
		FixedLimit:  n.profile.FixedLimit,
		FirstSlots:  n.profile.FirstSlots,

		LearnCapacity:   n.learnsCapacity(),
		CapacityChanged: func(former, capacity int) { noteCapacity(a.ID, former, capacity) },
	})
}

func milliseconds(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

// Gates describes the gates of the local targets.
func (n *Node) Gates() map[api.TargetID]gate.Stats {
	stats := make(map[api.TargetID]gate.Stats)
	for _, report := range n.registry.Targets() {
		if t := (localTargets{n.registry}).Lookup(report.ID); t != nil {
			stats[report.ID] = t.Gate().Snapshot()
		}
	}
	return stats
}

// View returns the latest view of the node's session.
func (n *Node) View() *api.View { return n.session.View() }

// Serve runs the node until ctx ends, then leaves gracefully: its partitions move, running
// requests are answered, and the session ends. It returns the error of ctx.
func (n *Node) Serve(ctx context.Context) error {
	parts := context.WithoutCancel(ctx)
	fates := startGroup(parts, "fates", daemon.Service{Name: "rpc", Run: func(ctx context.Context) error { return n.rpc.Serve(ctx, n.fate) }})
	defer fates.stop()
	back := startGroup(parts, "node", n.backServices()...)
	defer back.stop()
	n.callerService = daemon.NewHTTPService("caller", n.caller, n.gateway.CallerHandler(), append(n.limits("caller", 0), daemon.WithHeldBodies(callerHeldBody))...)
	front := startGroup(parts, "callers", n.callerService)
	defer front.stop()
	telemetry.Logger("node").WithField("caller", n.CallerAddr()).Info("Node is up.")

	<-ctx.Done()
	telemetry.Logger("node").Info("Node leaves.")
	n.leaving.Store(true)
	n.callerService.Drain()
	limit, cancel := context.WithTimeout(parts, n.profile.LeaveLimit)
	defer cancel()
	end, _ := limit.Deadline()
	n.gateway.Leave(end, n.profile.ReturnsAfter)
	defer context.AfterFunc(limit, n.giveUp)()
	n.leave(limit, front)
	back.end(limit)
	// A node whose hop crossed the close of its connection asks what became of it.
	wait.For(limit, fateLinger)
	fates.end(limit)
	telemetry.Logger("node").Info("Node has left.")
	return ctx.Err()
}

// isReady reports whether callers should send requests to this node.
func (n *Node) isReady() bool { return !n.leaving.Load() && n.session.View().Usable(time.Now()) }
