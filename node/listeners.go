package node

import (
	"net"
	"net/http"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/daemon"
	"github.com/zinniapier/zinniapier/telemetry"
)

// Shares of the connections that are kept free for a listener. Callers may have what others leave.
const (
	hopShare       = 1.0 / 8
	rpcShare       = 1.0 / 16
	announceShare  = 1.0 / 32
	readinessShare = 1.0 / 64
	statusShare    = 1.0 / 64
)

const (
	// callerHeldBody is the size of bodies in bytes that the gateway always reads whole before it routes a request.
	callerHeldBody = 64 << 10
	// hopHeaderFactor leaves room for the headers that a node adds to those of the caller.
	hopHeaderFactor = 2
	// maxRPCMessage bounds the messages of other nodes, which ask for the outcome of single requests.
	maxRPCMessage = 1 << 20
)

func (n *Node) listen() (err error) {
	s := &n.settings
	buffer := n.connectionLimits.ReceiveBuffer()
	if n.caller, err = daemon.Listen("caller", s.CallerListen, buffer); err != nil {
		return err
	}
	if n.internal, err = daemon.ListenTLS("internal", s.InternalListen, buffer, n.tls.Server); err != nil {
		return err
	}
	if n.fate, err = daemon.Listen("rpc", s.RPCListen, buffer); err != nil {
		return err
	}
	if n.announce, err = daemon.Listen("announce", s.AnnounceListen, buffer); err != nil {
		return err
	}
	if n.profile.ReadyAddress != "" {
		if n.ready, err = daemon.Listen("readiness", n.profile.ReadyAddress, buffer); err != nil {
			return err
		}
	}
	if s.StatusListen == "" {
		return nil
	}
	n.status, err = daemon.Listen("status", s.StatusListen, buffer)
	return err
}

func (n *Node) closeListeners() {
	for _, l := range []net.Listener{n.caller, n.internal, n.fate, n.announce, n.status, n.ready} {
		if l != nil {
			_ = l.Close()
		}
	}
}

func advertised(address string, l net.Listener) string {
	if address != "" {
		return address
	}
	return l.Addr().String()
}

// CallerAddr returns the address of the caller listener, host:port.
func (n *Node) CallerAddr() string { return n.caller.Addr().String() }

// AnnounceAddr returns the address of the announce listener, host:port.
func (n *Node) AnnounceAddr() string { return n.announce.Addr().String() }

// backServices returns the services that outlast those for callers.
func (n *Node) backServices() []daemon.NamedService {
	hopLimits := append(n.limits("internal", hopShare), daemon.WithMaxHeaderBytes(hopHeaderFactor*n.settings.Limits.MaxHeaderBytes))
	n.hopService = daemon.NewInternalHTTPService("internal", n.internal, n.gateway.InternalHandler(), hopLimits...)
	services := []daemon.NamedService{
		daemon.Service{Name: "session", Run: n.session.Serve},
		daemon.Service{Name: "registry", Run: n.registry.Serve},
		n.hopService,
		daemon.NewInternalHTTPService("announce", n.announce, n.announceHandler(), n.wholeLimits("announce", announceShare)...),
	}
	if n.ready != nil {
		services = append(services, daemon.NewHTTPService("readiness", n.ready, n.profile.ReadyHandler(n.isReady), n.wholeLimits("readiness", readinessShare)...))
	}
	if n.status != nil {
		services = append(services, daemon.NewHTTPService("status", n.status, n.statusHandler(), n.wholeLimits("status", statusShare)...))
	}
	return services
}

// statusHandler serves operators: counters, gauges and explanations.
func (n *Node) statusHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", telemetry.Handler())
	mux.Handle("POST "+api.PathExplain, n.gateway.ExplainHandler())
	return mux
}

// limits returns the bounds of a listener for which a share of the connections is kept free.
func (n *Node) limits(name string, share float64) []daemon.HTTPOption {
	return []daemon.HTTPOption{
		daemon.WithConnections(n.connections.Group(name, share)),
		daemon.WithMaxHeaderBytes(n.settings.Limits.MaxHeaderBytes),
	}
}

// wholeLimits is limits for a listener whose handlers read whole bodies.
func (n *Node) wholeLimits(name string, share float64) []daemon.HTTPOption {
	return append(n.limits(name, share), daemon.WithWholeBodies())
}

func (n *Node) announceHandler() http.Handler {
	if n.profile.AnnounceHandler != nil {
		return n.profile.AnnounceHandler(n.registry)
	}
	return n.registry.AnnounceHandler()
}
