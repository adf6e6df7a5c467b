package control

import (
	"slices"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/placement"
	"github.com/zinniapier/zinniapier/state"
)

// maxSteps bounds a batch, so that its log entry stays below the 1 MiB of a message.
const maxSteps = 2000

// targetInfo is a target of a live session.
type targetInfo struct {
	api.TargetReport
	session  api.SessionID
	eligible bool
	zone     string
}

// plan returns the steps that the leader wants to commit now.
func (l *leader) plan(view *api.ControlState, now time.Time) *state.Batch {
	l.forgetStale(view)
	batch := &state.Batch{Term: l.term}
	targets := l.targets(&view.Configuration)
	places := keepLatest(targets)
	l.forgetSpeeds(targets)
	balance := !now.Before(l.nextBalance)
	if balance {
		l.nextBalance = now.Add(l.o.BalanceInterval)
	}
	for _, name := range serviceNames(view) {
		p := &servicePlan{leader: l, view: view, name: name, now: now, batch: batch, balance: balance, targets: targets, places: places}
		p.run()
	}
	return batch
}

func serviceNames(view *api.ControlState) []string {
	names := make([]string, 0, len(view.Assignments))
	for name := range view.Assignments {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// targets returns the targets of live sessions by id.
func (l *leader) targets(c *api.Configuration) map[api.TargetID]*targetInfo {
	targets := make(map[api.TargetID]*targetInfo)
	for id, s := range l.sessions {
		if s.lost {
			continue
		}
		for _, t := range s.last.Targets {
			// After the restart of a node, its target has two sessions; the later one counts.
			if other := targets[t.ID]; other != nil && l.sessions[other.session].deadline.After(s.deadline) {
				continue
			}
			zone := t.Zone
			if zone == "" {
				zone = s.last.Zone
			}
			eligible := t.State == api.TargetServing && !s.last.Leaving && !isOut(c, t.ID, zone, s.last.Zone)
			targets[t.ID] = &targetInfo{TargetReport: t, session: id, eligible: eligible, zone: zone}
		}
	}
	return targets
}

// keepLatest removes the targets whose place is reported to have a later one, since the old session
// of a restarted machine may still be open. It returns the places that are occupied.
func keepLatest(targets map[api.TargetID]*targetInfo) map[string]*targetInfo {
	places := make(map[string]*targetInfo)
	for _, t := range targets {
		if other := places[t.Place]; t.Place != "" && (other == nil || t.StartedMs > other.StartedMs) {
			places[t.Place] = t
		}
	}
	for id, t := range targets {
		if t.Place != "" && places[t.Place] != t {
			delete(targets, id)
		}
	}
	return places
}

// forgetStale drops notes on assignments that have changed since.
func (l *leader) forgetStale(view *api.ControlState) {
	for ref, r := range l.released {
		if a := assignment(view, ref); a.Epoch != r.Epoch || a.State == api.Unassigned {
			delete(l.released, ref)
		}
	}
	for ref := range l.intended {
		if assignment(view, ref).State == api.Granted {
			delete(l.intended, ref)
		}
	}
	for ref := range l.fresh {
		if view.Configuration.Services.Find(ref.Service) == nil {
			delete(l.fresh, ref)
		}
	}
	for ref := range l.holds {
		if overrideOf(view, ref) == nil {
			delete(l.holds, ref)
		}
	}
}

// servicePlan plans one service divided by key.
type servicePlan struct {
	*leader
	view    *api.ControlState
	name    string
	service *api.Service // nil when it is no longer configured
	now     time.Time
	batch   *state.Batch
	balance bool
	targets map[api.TargetID]*targetInfo
	// places holds the targets at places where only one can run at a time.
	places map[string]*targetInfo

	partitions []placement.Partition
	// evacuate lists the granted partitions whose owner must lose them.
	evacuate []int
	into     map[api.TargetID]int // moves on their way by receiving target
}

func (p *servicePlan) run() {
	p.into = make(map[api.TargetID]int)
	service := p.view.Configuration.Services.Find(p.name)
	p.service = service
	if p.takeFresh(service) {
		p.balance = true
	}
	for i, a := range p.view.Assignments[p.name] {
		if service == nil || !service.IsSplit(i) {
			p.classify(i, a)
		}
	}
	eligible := p.eligibleTargets()
	if service == nil || len(eligible) == 0 {
		p.revokeAll()
		return
	}
	pace := p.pace(eligible)
	moves := p.policy(service).Plan(p.name, p.partitions, eligible, pace.total(p.balance, len(p.evacuate)))
	for _, m := range moves {
		p.apply(m, pace)
	}
	if p.balance {
		p.planOverrides(service, eligible)
	}
	p.planSplits(service, eligible)
}

func (p *servicePlan) ref(i int) api.PartitionRef {
	return api.PartitionRef{Service: p.name, Partition: i}
}

func (p *servicePlan) full() bool { return p.batch.Len() >= maxSteps }

// classify releases what can be released and describes the partition to the policy.
func (p *servicePlan) classify(i int, a api.Assignment) {
	if a.State != api.Unassigned && p.mayRelease(i, a) && !p.full() {
		step := state.Step{PartitionRef: p.ref(i), Expected: a.Epoch, Handover: p.released[p.ref(i)].Handover}
		p.batch.Releases = append(p.batch.Releases, step)
		a = api.Assignment{Epoch: a.Epoch}
	}
	p.rebind(i, a)
	switch a.State {
	case api.Unassigned:
		p.partitions = append(p.partitions, placement.Partition{Index: i, Load: p.load(i, a.Target)})
		p.grantIntended(i, a)
	case api.Granted:
		p.classifyGranted(i, a)
	case api.Releasing:
		p.classifyReleasing(i, a)
	}
}

// mayRelease says whether the old owner can no longer serve the partition: its lease has
// ended, or its node has reported the grant as released.
func (p *servicePlan) mayRelease(i int, a api.Assignment) bool {
	if !p.live(a.Session, p.now) || p.replaced(a) {
		return true
	}
	return p.released[p.ref(i)].Epoch == a.Epoch && !p.held(i, a)
}

// replaced says that another target runs at the place of the owner, which has therefore ended.
func (p *servicePlan) replaced(a api.Assignment) bool {
	return a.Place != "" && p.targets[a.Target] == nil && p.places[a.Place] != nil
}

// rebind gives an assignment to the session that now reports its target: the node was
// restarted and the target was not. Only targets with a place are reported by no other node.
func (p *servicePlan) rebind(i int, a api.Assignment) {
	t := p.targets[a.Target]
	if a.State == api.Unassigned || a.Place == "" || t == nil || t.session == a.Session || p.full() {
		return
	}
	p.batch.Rebinds = append(p.batch.Rebinds, state.Grant{
		Step:    state.Step{PartitionRef: p.ref(i), Expected: a.Epoch},
		Target:  a.Target,
		Session: t.session,
	})
}

func (p *servicePlan) classifyGranted(i int, a api.Assignment) {
	t := p.targets[a.Target]
	if t == nil || !t.eligible {
		p.evacuate = append(p.evacuate, i)
		p.partitions = append(p.partitions, placement.Partition{Index: i, Owner: a.Target, Load: p.load(i, a.Target)})
		return
	}
	// A restarted node reports its target under a new session; the grant of the old one
	// ends with its lease, and a revoke would only send the partition elsewhere.
	stays := t.session != a.Session || p.held(i, a)
	p.partitions = append(p.partitions, placement.Partition{
		Index: i, Owner: a.Target, Load: p.load(i, a.Target), Moving: stays,
	})
}

// classifyReleasing counts the partition at the target that it is meant for.
func (p *servicePlan) classifyReleasing(i int, a api.Assignment) {
	to, ok := p.intended[p.ref(i)]
	if !ok {
		return
	}
	p.into[to]++
	p.partitions = append(p.partitions, placement.Partition{Index: i, Owner: to, Load: p.load(i, a.Target), Moving: true})
}

// grantIntended grants a released partition to the target that its move was planned for.
func (p *servicePlan) grantIntended(i int, a api.Assignment) {
	to, ok := p.intended[p.ref(i)]
	t := p.targets[to]
	if p.service == nil || !ok || t == nil || !t.eligible || t.Service != p.name || p.full() {
		return
	}
	last := &p.partitions[len(p.partitions)-1]
	last.Owner, last.Moving = to, true
	p.grant(i, a.Epoch, t)
}

func (p *servicePlan) grant(i int, expected api.Epoch, t *targetInfo) {
	p.batch.Grants = append(p.batch.Grants, state.Grant{
		Step:    state.Step{PartitionRef: p.ref(i), Expected: expected},
		Target:  t.ID,
		Session: t.session,
		Place:   t.Place,
	})
}

func (p *servicePlan) revoke(i int) {
	a := p.view.Assignments[p.name][i]
	p.batch.Revokes = append(p.batch.Revokes, state.Step{PartitionRef: p.ref(i), Expected: a.Epoch})
}

// revokeAll revokes what cannot stay, when there is no target to receive it.
func (p *servicePlan) revokeAll() {
	for i, a := range p.view.Assignments[p.name] {
		if a.State != api.Granted || p.full() || !p.live(a.Session, p.now) || p.released[p.ref(i)].Epoch == a.Epoch {
			continue
		}
		if p.service == nil || slices.Contains(p.evacuate, i) {
			p.revoke(i)
		}
	}
}

// apply turns a planned move into a grant or a revoke.
func (p *servicePlan) apply(m placement.Move, pace *pace) {
	t := p.targets[m.To]
	a := p.view.Assignments[p.name][m.Partition]
	if t == nil || p.full() {
		return
	}
	if m.From == "" {
		p.grant(m.Partition, a.Epoch, t)
		return
	}
	if a.State != api.Granted || !pace.take(m.To) {
		return
	}
	p.revoke(m.Partition)
	p.intended[p.ref(m.Partition)] = m.To
}

func (p *servicePlan) eligibleTargets() []placement.Target {
	var list []placement.Target
	for id, t := range p.targets {
		if t.Service == p.name && t.eligible {
			list = append(list, placement.Target{
				ID: id, Zone: t.zone, Capacity: float64(t.Slots), Cold: t.Cold, Eligible: true,
			})
		}
	}
	slices.SortFunc(list, func(x, y placement.Target) int { return compareIDs(x.ID, y.ID) })
	p.weighBySpeed(list)
	return list
}

// load returns the requests per second of a partition as its owner reports them, or as they are
// expected of the part of a fresh split.
func (p *servicePlan) load(i int, owner api.TargetID) float64 {
	load := p.estimate(i)
	if t := p.targets[owner]; t != nil {
		load = max(load, t.PartitionLoad[i])
	}
	return load
}

func (p *servicePlan) policy(service *api.Service) placement.Policy {
	name := service.Placement
	if name == "" {
		name = placement.DefaultPolicy
	}
	policy, err := placement.Policies.Get(name)
	if err != nil {
		p.log.WithError(err).WithField("service", p.name).Error("Placement policy unknown. The default is used.")
		return placement.Balanced{}
	}
	return policy
}
