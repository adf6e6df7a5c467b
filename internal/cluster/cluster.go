package cluster

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"

	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/errkind"
)

// Host describes one host: a node and its targets.
type Host struct {
	Zone string
	// Targets are the services of the targets on the host, one target for each entry.
	Targets []string
	// Later leaves the start of the targets to the test.
	Later bool
}

// Options describe a deployment.
type Options struct {
	// Control is the number of control members. Default 1.
	Control int
	Hosts   []Host
	Timing  config.Timing
	// Edit functions change settings before they are written; index counts from 0 over all processes of the program.
	EditControl func(index int, s *config.ControlSettings)
	EditNode    func(index int, s *config.NodeSettings)
	EditTarget  func(index int, s *config.TargetSettings)
}

// Cluster is a deployment on loopback.
type Cluster struct {
	Control []*Control
	Nodes   []*Node
	Targets []*Target

	t       testing.TB
	dir     string
	command func(program, settings string) (*exec.Cmd, error)

	mu      sync.Mutex
	links   map[linkKey]*Link
	closing bool

	owners socketOwners
}

type linkKey struct {
	from, to string
	kind     Kind
}

// Control is a control member.
type Control struct {
	Process
	Settings config.ControlSettings
}

// Node is a node.
type Node struct {
	Process
	Settings config.NodeSettings
}

// Target is a sample target. Node is the node on its host.
type Target struct {
	Process
	Settings config.TargetSettings
	Node     *Node
}

// New writes the settings of a deployment. Nothing runs until Start. At the end of the test all
// processes are ended by their ids, and their logs are printed when the test has failed.
func New(t testing.TB, o Options) *Cluster {
	t.Helper()
	return newCluster(t, o, runBinary)
}

func newCluster(t testing.TB, o Options, command func(program, settings string) (*exec.Cmd, error)) *Cluster {
	t.Helper()
	c := &Cluster{
		t: t, dir: t.TempDir(), command: command,
		links: make(map[linkKey]*Link),
	}
	t.Cleanup(c.close)
	c.declare(o)
	return c
}

func runBinary(program, settings string) (*exec.Cmd, error) {
	path, err := Build(program)
	if err != nil {
		return nil, err
	}
	return exec.Command(path, "--settings", settings), nil
}

// Start starts all processes: control members first, then nodes, then targets.
func (c *Cluster) Start() {
	c.t.Helper()
	for _, program := range []string{ProgramControl, ProgramNode, ProgramTarget} {
		c.startAll(program)
	}
}

// startAll starts the processes of a program side by side, since control members may wait for each other.
func (c *Cluster) startAll(program string) {
	c.t.Helper()
	var wg sync.WaitGroup
	for _, p := range c.processes() {
		if p.Program != program || p.later {
			continue
		}
		wg.Go(func() {
			if err := p.start(); err != nil {
				c.t.Errorf("cluster: start %s: %v", p.Name, err)
			}
		})
	}
	wg.Wait()
	if c.t.Failed() {
		c.t.FailNow()
	}
}

// logf writes to the test's log unless the test is ending, when that is no longer allowed.
func (c *Cluster) logf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing {
		c.t.Logf("cluster: "+format, args...)
	}
}

// processes returns all processes in the order of their start.
func (c *Cluster) processes() []*Process {
	var all []*Process
	for _, m := range c.Control {
		all = append(all, &m.Process)
	}
	for _, n := range c.Nodes {
		all = append(all, &n.Process)
	}
	for _, t := range c.Targets {
		all = append(all, &t.Process)
	}
	return all
}

// unexpectedEnd fails the test for a process that ended by itself.
func (c *Cluster) unexpectedEnd(p *Process, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing {
		c.t.Errorf("cluster: %s ended by itself: %v", p.Name, err)
	}
}

func (c *Cluster) close() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	for _, p := range c.processes() {
		p.stop()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.links {
		l.stop()
	}
	if c.t.Failed() {
		c.printLogs()
	}
}

func (c *Cluster) printLogs() {
	for _, p := range c.processes() {
		c.t.Logf("log of %s:\n%s", p.Name, p.Log())
	}
}

// write stores checked settings as a file and returns its name.
func (c *Cluster) write(name string, settings interface{ Check() error }) string {
	c.t.Helper()
	if err := settings.Check(); err != nil {
		c.t.Fatalf("cluster: settings of %s: %v", name, errkind.From(err).Message)
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		c.t.Fatal(err)
	}
	file := filepath.Join(c.dir, name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		c.t.Fatal(err)
	}
	return file
}
