package cluster

import "slices"

// Link returns the link on which one process dials another. A pair that has no such link fails the test.
func (c *Cluster) Link(from, to *Process, kind Kind) *Link {
	c.t.Helper()
	for _, e := range to.endpoints {
		if from != to && kindOf(from, e) == kind {
			return c.link(from, e, kind)
		}
	}
	c.t.Fatalf("cluster: there is no %s link from %s to %s", kind, from.Name, to.Name)
	return nil
}

// Links returns all links from and to a process.
func (c *Cluster) Links(p *Process) []*Link {
	var links []*Link
	for _, other := range c.processes() {
		if other == p {
			continue
		}
		links = append(links, c.dialled(p, other)...)
		links = append(links, c.dialled(other, p)...)
	}
	return links
}

// Between returns all links between two groups of processes, in both directions of dialling.
func (c *Cluster) Between(a, b []*Process) []*Link {
	var links []*Link
	for _, p := range a {
		for _, q := range b {
			links = append(links, c.dialled(p, q)...)
			links = append(links, c.dialled(q, p)...)
		}
	}
	return links
}

// Isolate cuts all links from and to a process, and returns a function that heals them. The
// link between a node and its own target is cut as well.
func (c *Cluster) Isolate(p *Process) (heal func()) { return CutAll(c.Links(p)) }

// CutAll cuts links in both directions and returns a function that heals them.
func CutAll(links []*Link) (heal func()) {
	for _, l := range links {
		l.Cut(Both)
	}
	return func() {
		for _, l := range links {
			l.Heal()
		}
	}
}

// dialled returns the links on which from dials to.
func (c *Cluster) dialled(from, to *Process) []*Link {
	var links []*Link
	for _, e := range to.endpoints {
		if kind := kindOf(from, e); kind != "" {
			links = append(links, c.link(from, e, kind))
		}
	}
	return links
}

// kindOf returns the kind of the link on which a process dials an endpoint, or "" for none.
func kindOf(from *Process, e *endpoint) Kind {
	type dial struct{ from, to, endpoint string }
	return map[dial]Kind{
		{ProgramNode, ProgramControl, endpointRPC}:         ControlRPC,
		{ProgramControl, ProgramControl, endpointRPC}:      Raft,
		{ProgramControl, ProgramControl, endpointOperator}: Operator,
		{ProgramNode, ProgramNode, endpointInternal}:       Hop,
		{ProgramNode, ProgramNode, endpointRPC}:            Fate,
		{ProgramNode, ProgramTarget, endpointTarget}:       Orders,
		{ProgramTarget, ProgramNode, endpointAnnounce}:     Announce,
	}[dial{from.Program, e.owner.Program, e.name}]
}

// linkOf returns the link of a connection that has reached an endpoint, or nil when no link allows it.
func (c *Cluster) linkOf(e *endpoint, from *Process) *Link {
	if from == nil {
		return nil
	}
	kind := kindOf(from, e)
	if kind == "" {
		c.logf("%s dialled the %s listener of %s", from.Name, e.name, e.owner.Name)
		return nil
	}
	return c.link(from, e, kind)
}

func (c *Cluster) link(from *Process, e *endpoint, kind Kind) *Link {
	key := linkKey{from.Name, e.owner.Name, kind}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[key] == nil {
		c.links[key] = newLink(from.Name, e.owner.Name, kind, e.listen)
	}
	return c.links[key]
}

// Host returns a node and the targets on its host.
func (c *Cluster) Host(n *Node) []*Process {
	host := []*Process{&n.Process}
	for _, t := range c.Targets {
		if t.Node == n {
			host = append(host, &t.Process)
		}
	}
	return host
}

// Others returns all processes that are not in the group.
func (c *Cluster) Others(group []*Process) []*Process {
	return slices.DeleteFunc(c.processes(), func(p *Process) bool { return slices.Contains(group, p) })
}
