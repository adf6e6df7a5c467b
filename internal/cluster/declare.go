package cluster

import (
	"fmt"
	"path/filepath"

	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/internal/ports"
)

// declare lays out the deployment: names, addresses, endpoints and settings files.
func (c *Cluster) declare(o Options) {
	c.t.Helper()
	for i := range max(o.Control, 1) {
		c.addControl(i, o)
	}
	for _, h := range o.Hosts {
		c.addHost(h, o)
	}
	c.writeControl(o)
}

func (c *Cluster) process(name, program string) Process {
	return Process{
		Name: name, Program: program, cluster: c,
		settings: filepath.Join(c.dir, name+".json"),
		logFile:  filepath.Join(c.dir, name+".log"),
	}
}

// endpoint adds a listener that other processes reach through the switchboard.
func (c *Cluster) endpoint(p *Process, name string) *endpoint {
	e := &endpoint{owner: p, name: name, listen: c.FreeAddress(), advertised: c.FreeAddress()}
	p.endpoints = append(p.endpoints, e)
	p.listeners = append(p.listeners, e.listen)
	return e
}

// direct adds a listener that only the test reaches.
func (c *Cluster) direct(p *Process) string {
	address := c.FreeAddress()
	p.listeners = append(p.listeners, address)
	return address
}

func (c *Cluster) addControl(i int, o Options) {
	m := &Control{Process: c.process(fmt.Sprintf("control-%d", i+1), ProgramControl)}
	rpc, operator := c.endpoint(&m.Process, endpointRPC), c.endpoint(&m.Process, endpointOperator)
	m.Settings = config.ControlSettings{
		Name: m.Name, Zone: fmt.Sprintf("zone-%d", i+1),
		RPCListen: rpc.listen, RPCAdvertise: rpc.advertised,
		OperatorListen: operator.listen, OperatorAdvertise: operator.advertised,
		StatusListen: c.direct(&m.Process),
		DataDir:      m.dataDir(),
		Timing:       o.Timing,
		Log:          config.Log{Level: "debug"},
	}
	c.Control = append(c.Control, m)
}

// writeControl writes the settings of the control members once the addresses of all are known.
func (c *Cluster) writeControl(o Options) {
	c.t.Helper()
	var peers []config.ControlPeer
	for _, m := range c.Control {
		peers = append(peers, config.ControlPeer{
			Name: m.Name, RPCAddress: m.Settings.RPCAdvertise, OperatorAddress: m.Settings.OperatorAdvertise,
		})
	}
	for i, m := range c.Control {
		m.Settings.Peers = peers
		if o.EditControl != nil {
			o.EditControl(i, &m.Settings)
		}
		c.write(m.Name, &m.Settings)
	}
}

func (c *Cluster) addHost(h Host, o Options) {
	c.t.Helper()
	i := len(c.Nodes)
	n := &Node{Process: c.process(fmt.Sprintf("node-%d", i+1), ProgramNode)}
	internal, rpc := c.endpoint(&n.Process, endpointInternal), c.endpoint(&n.Process, endpointRPC)
	announce := c.endpoint(&n.Process, endpointAnnounce)
	n.Settings = config.NodeSettings{
		Name: n.Name, Zone: h.Zone,
		CallerListen:   c.direct(&n.Process),
		InternalListen: internal.listen, InternalAdvertise: internal.advertised,
		RPCListen: rpc.listen, RPCAdvertise: rpc.advertised,
		AnnounceListen: announce.listen,
		StatusListen:   c.direct(&n.Process),
		Timing:         o.Timing,
		Log:            config.Log{Level: "debug"},
	}
	for _, m := range c.Control {
		n.Settings.ControlMembers = append(n.Settings.ControlMembers, m.Settings.RPCAdvertise)
	}
	if o.EditNode != nil {
		o.EditNode(i, &n.Settings)
	}
	c.write(n.Name, &n.Settings)
	c.Nodes = append(c.Nodes, n)
	for _, service := range h.Targets {
		c.addTarget(n, service, announce, o).later = h.Later
	}
}

func (c *Cluster) addTarget(n *Node, service string, announce *endpoint, o Options) *Target {
	c.t.Helper()
	i := len(c.Targets)
	t := &Target{Process: c.process(fmt.Sprintf("target-%d", i+1), ProgramTarget), Node: n}
	e := c.endpoint(&t.Process, endpointTarget)
	t.Settings = config.TargetSettings{
		Service: service, Zone: n.Settings.Zone,
		Listen: e.listen, Advertise: e.advertised,
		NodeAnnounce: announce.advertised,
		Log:          config.Log{Level: "debug"},
	}
	if o.EditTarget != nil {
		o.EditTarget(i, &t.Settings)
	}
	c.write(t.Name, &t.Settings)
	c.Targets = append(c.Targets, t)
	return t
}

// FreeAddress returns a loopback address that nothing listens on.
func (c *Cluster) FreeAddress() string {
	c.t.Helper()
	address, err := ports.FreeAddress()
	if err != nil {
		c.t.Fatalf("cluster: %v", err)
	}
	return address
}
