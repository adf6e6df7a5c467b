package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/zinniapier/zinniapier/api"
)

// localStatus returns the status that any member can give. It may be called on any goroutine.
func (c *Control) localStatus() *api.Status {
	view := c.o.Machine.View()
	leader, address, _ := c.o.Log.Leader()
	s := &api.Status{
		Member:        c.o.Name,
		Leader:        leader,
		LeaderAddress: address,
		Index:         view.Index,
		Version:       view.Configuration.Version,
		MapVersion:    view.MapVersion,
		Members:       c.members(),
		ZonesOut:      view.Configuration.ZonesOut,
	}
	for _, r := range view.Configuration.Rollouts {
		status := api.RolloutStatus{Rollout: r}
		if !r.Phase.Ended() {
			status.ElapsedMs = view.RolloutElapsed[r.ID]
		}
		s.Rollouts = append(s.Rollouts, status)
	}
	for _, name := range serviceNames(view) {
		s.Services = append(s.Services, serviceStatus(name, view.Assignments[name]))
	}
	return s
}

func (c *Control) members() []api.MemberStatus {
	var list []api.MemberStatus
	for _, m := range c.o.Log.Members() {
		list = append(list, api.MemberStatus{Name: m.Name, ID: m.ID, Address: m.Address, Voter: m.Voter, Match: m.Match})
	}
	return list
}

// serviceStatus counts the granted partitions of the service, in total and by owner.
func serviceStatus(name string, list []api.Assignment) api.ServiceStatus {
	s := api.ServiceStatus{Name: name, Partitions: len(list), Owned: make(map[api.TargetID]int)}
	for _, a := range list {
		if a.State == api.Granted {
			s.Granted++
			s.Owned[a.Target]++
		}
	}
	return s
}

// status returns the local status; on the leader also nodes and tokens. It must run on the control loop.
func (c *Control) status() *api.Status {
	s := c.localStatus()
	l := c.leader
	if l == nil {
		return s
	}
	s.Term = l.term
	s.Organisations = l.authority.Status(time.Now())
	for id, n := range l.sessions {
		if !n.lost {
			s.Nodes = append(s.Nodes, nodeStatus(id, &n.last))
		}
	}
	slices.SortFunc(s.Nodes, func(x, y api.NodeStatus) int {
		return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.Session, y.Session))
	})
	return s
}

// nodeStatus reports the versions that the node acknowledged in its last heartbeat.
func nodeStatus(id api.SessionID, req *api.HeartbeatRequest) api.NodeStatus {
	return api.NodeStatus{
		Session:       id,
		Name:          req.Name,
		Zone:          req.Zone,
		InternalAddr:  req.InternalAddr,
		ConfigVersion: req.ConfigVersion,
		MapVersion:    req.MapVersion,
		Targets:       req.Targets,
	}
}
