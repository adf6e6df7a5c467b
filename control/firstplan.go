package control

import (
	"time"

	"github.com/zinniapier/zinniapier/api"
)

// maxTargetWait bounds how long the first plan of a service waits for targets. Their announcements follow
// each other within a second.
const maxTargetWait = 2 * time.Second

// awaitsTargets reports whether the first plan of the service has to wait, since nodes that host a target
// of the service have not reported it yet.
//
// Load pattern: a whole fleet starts. A plan with the targets of the first second moves half of the
// partitions again in the next, and every node is sent each of these moves.
func (p *servicePlan) awaitsTargets() bool {
	if !neverAssigned(p.view.Assignments[p.name]) {
		return false
	}
	first, known := p.firstTargetAt[p.name]
	if !known {
		first = p.now
		p.firstTargetAt[p.name] = first
	}
	return p.now.Sub(first) < maxTargetWait && p.lacksTarget()
}

// lacksTarget reports whether a live node hosts a target of the service and has not reported it.
func (p *servicePlan) lacksTarget() bool {
	for _, s := range p.sessions {
		if !s.lost && s.last.Hosts == p.name && len(s.last.Targets) == 0 {
			return true
		}
	}
	return false
}

// neverAssigned reports whether all partitions are as the configuration that added the service made them.
func neverAssigned(list []api.Assignment) bool {
	for _, a := range list {
		if a != (api.Assignment{Epoch: list[0].Epoch}) {
			return false
		}
	}
	return true
}
