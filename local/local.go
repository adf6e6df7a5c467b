// Package local runs a whole deployment in one process on loopback: control members, nodes
// and sample targets. The demonstration and the measurements use it.
package local

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"github.com/juju/errors"
	"github.com/thejerf/suture/v4"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/daemon"
	"github.com/zinniapier/zinniapier/internal/ports"
	"github.com/zinniapier/zinniapier/member"
	"github.com/zinniapier/zinniapier/node"
	"github.com/zinniapier/zinniapier/operator"
	"github.com/zinniapier/zinniapier/target"
)

// anyPort lets the system select a free loopback port.
const anyPort = "127.0.0.1:0"

// Host describes one host: a node and the targets beside it.
type Host struct {
	Zone string
	// CallerListen is host:port of the caller listener. Default: any free port.
	CallerListen string
	Targets      []target.SampleOptions
}

// Options describe a deployment.
type Options struct {
	// Members is the number of control members. Default 1.
	Members int
	// OperatorListen is the operator address of the first member. Default: any free port.
	OperatorListen string
	// DataDir holds a folder for each control member.
	DataDir string
	Hosts   []Host
	Timing  config.Timing
	Gate    config.Gate
	Traffic config.Traffic
}

// Deployment is a running deployment. Create it with New and run it with Serve.
type Deployment struct {
	Members []*member.Member
	Nodes   []*node.Node
	Targets []*target.Sample

	operator *operator.Client
	control  []string // rpc addresses
	names    []string // of the control members
	running  runningMembers
}

// New opens all listeners. It fails when an address cannot be bound or a folder cannot be written.
func New(o Options) (*Deployment, error) {
	d := &Deployment{}
	if err := d.addMembers(o); err != nil {
		return nil, errors.Trace(err)
	}
	for i, h := range o.Hosts {
		if err := d.addHost(o, i, h); err != nil {
			return nil, errors.Trace(err)
		}
	}
	return d, nil
}

func (d *Deployment) addMembers(o Options) error {
	peers, err := peersFor(max(o.Members, 1), o.OperatorListen)
	if err != nil {
		return err
	}
	var operators []string
	for _, p := range peers {
		settings := config.DefaultControlSettings()
		settings.Name = p.Name
		settings.Zone = "a"
		settings.RPCListen, settings.RPCAdvertise = p.RPCAddress, p.RPCAddress
		settings.OperatorListen, settings.OperatorAdvertise = p.OperatorAddress, p.OperatorAddress
		settings.DataDir = filepath.Join(o.DataDir, p.Name)
		settings.Peers = peers
		if o.Timing != (config.Timing{}) {
			settings.Timing = o.Timing
		}
		m, err := member.New(settings)
		if err != nil {
			return err
		}
		d.Members = append(d.Members, m)
		d.names = append(d.names, p.Name)
		d.control = append(d.control, p.RPCAddress)
		operators = append(operators, p.OperatorAddress)
	}
	d.operator, err = operator.New(operator.Options{Addresses: operators})
	return err
}

func peersFor(n int, firstOperator string) ([]config.ControlPeer, error) {
	peers := make([]config.ControlPeer, 0, n)
	for i := range n {
		p := config.ControlPeer{Name: fmt.Sprintf("control-%d", i+1)}
		var err error
		if p.RPCAddress, err = ports.FreeAddress(); err != nil {
			return nil, err
		}
		if p.OperatorAddress, err = ports.FreeAddress(); err != nil {
			return nil, err
		}
		if i == 0 && firstOperator != "" {
			p.OperatorAddress = firstOperator
		}
		peers = append(peers, p)
	}
	return peers, nil
}

func (d *Deployment) addHost(o Options, index int, h Host) error {
	settings := config.DefaultNodeSettings()
	settings.Name = fmt.Sprintf("node-%d", index+1)
	settings.Zone = h.Zone
	settings.CallerListen = anyPort
	if h.CallerListen != "" {
		settings.CallerListen = h.CallerListen
	}
	settings.InternalListen = anyPort
	settings.RPCListen = anyPort
	settings.AnnounceListen = anyPort
	settings.ControlMembers = d.control
	settings.Gate = o.Gate
	settings.Traffic = o.Traffic
	if o.Timing != (config.Timing{}) {
		settings.Timing = o.Timing
	}
	n, err := node.New(settings)
	if err != nil {
		return err
	}
	d.Nodes = append(d.Nodes, n)
	for _, t := range h.Targets {
		t.Node = n.AnnounceAddr()
		t.Zone = h.Zone
		s, err := target.NewSample(t)
		if err != nil {
			return err
		}
		d.Targets = append(d.Targets, s)
	}
	return nil
}

// Operator returns a client of the control members.
func (d *Deployment) Operator() *operator.Client { return d.operator }

// Callers returns the caller addresses of all nodes.
func (d *Deployment) Callers() []string {
	list := make([]string, 0, len(d.Nodes))
	for _, n := range d.Nodes {
		list = append(list, n.CallerAddr())
	}
	return list
}

// Serve runs the deployment until ctx ends, then stops it in the order targets, nodes,
// control members, so that every request in progress is answered. It returns the error of ctx.
func (d *Deployment) Serve(ctx context.Context) error {
	background := context.WithoutCancel(ctx)
	d.running.start(background, d.names, d.Members)
	stopNodes := serveAll(background, "nodes", d.Nodes)
	stopTargets := serveAll(background, "targets", d.Targets)
	<-ctx.Done()
	stopTargets()
	stopNodes()
	d.running.stopAll()
	return ctx.Err()
}

func serveAll[S suture.Service](ctx context.Context, name string, list []S) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	supervisor := daemon.NewSupervisor(name)
	for _, s := range list {
		supervisor.Add(daemon.Service{Name: name, Run: s.Serve})
	}
	done := supervisor.ServeBackground(ctx)
	return func() {
		cancel()
		<-done
	}
}

// readyPoll is the interval at which AwaitReady looks at the status.
const readyPoll = 20 * time.Millisecond

// AwaitReady waits until every partition is granted and every node has the current
// configuration. It returns the error of ctx when that ends first.
func (d *Deployment) AwaitReady(ctx context.Context) error {
	tick := time.NewTicker(readyPoll)
	defer tick.Stop()
	for !d.ready(ctx) {
		select {
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "deployment is not ready")
		case <-tick.C:
		}
	}
	return nil
}

func (d *Deployment) ready(ctx context.Context) bool {
	status, err := d.operator.Status(ctx)
	if err != nil || len(status.Nodes) < len(d.Nodes) {
		return false
	}
	for _, s := range status.Services {
		if s.Granted < s.Partitions {
			return false
		}
	}
	for _, n := range d.Nodes {
		v := n.View()
		if v.Configuration == nil || v.Configuration.Version < status.Version || v.MapVersion < status.MapVersion {
			return false
		}
	}
	return d.allTargetsKnown()
}

// allTargetsKnown reports whether every node can route to every target.
func (d *Deployment) allTargetsKnown() bool {
	for _, n := range d.Nodes {
		known := 0
		for _, list := range n.View().Index.TargetsByService {
			known += len(list)
		}
		if known < len(d.Targets) {
			return false
		}
	}
	return true
}

// Change submits a change on the current configuration version.
func (d *Deployment) Change(ctx context.Context, change api.Change) error {
	current, err := d.operator.Configuration(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	change.BaseVersion = current.Version
	_, err = d.operator.Change(ctx, change)
	return errors.Trace(err)
}

// AddOrganisation adds an organisation and grants it a new organisation key, which it returns.
func (d *Deployment) AddOrganisation(ctx context.Context, org api.Organisation) (string, error) {
	if err := d.Change(ctx, api.Change{Kind: api.PutOrganisation, Organisation: &org}); err != nil {
		return "", err
	}
	secret := api.NewID()
	return secret, d.GrantKey(ctx, org.ID, secret)
}

// GrantKey grants an organisation a given organisation key, whose id is the organisation's.
func (d *Deployment) GrantKey(ctx context.Context, org api.OrganisationID, secret string) error {
	key := &api.OrganisationKey{ID: string(org), Organisation: org, Digest: api.DigestKey(secret)}
	return d.Change(ctx, api.Change{Kind: api.GrantKey, Key: key})
}
