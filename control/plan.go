package control

import (
	"slices"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/placement"
	"github.com/zinniapier/zinniapier/state"
)

// maxBatchSteps bounds the steps of a batch, so that its log entry stays below the 1 MiB limit of a
// message.
const maxBatchSteps = 2000

// targetInfo is a target of a live session.
type targetInfo struct {
	api.TargetReport
	session api.SessionID
	// serving says that the target takes requests; eligible that it may also own partitions by its version.
	serving  bool
	eligible bool
	zone     string
}

// plan returns the assignment steps to commit now.
func (l *leader) plan(view *api.ControlState, now time.Time) *state.Batch {
	l.pruneStale(view)
	batch := &state.Batch{Term: l.term}
	targets := l.targets(&view.Configuration)
	targetsByAddress := keepLatestPerAddress(targets)
	l.pruneSpeeds(targets)
	balance := !now.Before(l.nextBalance)
	if balance {
		l.nextBalance = now.Add(l.o.BalanceInterval)
	}
	for _, name := range serviceNames(view) {
		p := &servicePlan{leader: l, view: view, name: name, now: now, batch: batch, balance: balance, targets: targets, targetsByAddress: targetsByAddress}
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
			// After a node restart its target is reported by two sessions; the later one counts.
			if other := targets[t.ID]; other != nil && l.sessions[other.session].deadline.After(s.deadline) {
				continue
			}
			zone := t.Zone
			if zone == "" {
				zone = s.last.Zone
			}
			serving := t.State == api.TargetServing && !s.last.Leaving && !isOut(c, t.ID, zone, s.last.Zone)
			r := c.FindRollout(t.Service)
			eligible := serving && (r == nil || r.Admits(t.ID, t.Version))
			targets[t.ID] = &targetInfo{TargetReport: t, session: id, serving: serving, eligible: eligible, zone: zone}
		}
	}
	return targets
}

// keepLatestPerAddress removes each target at whose address a later one is reported, since the old
// session of a restarted host may still be open. It returns the remaining targets by address.
func keepLatestPerAddress(targets map[api.TargetID]*targetInfo) map[string]*targetInfo {
	byAddress := make(map[string]*targetInfo)
	for _, t := range targets {
		if other := byAddress[t.Place]; t.Place != "" && (other == nil || t.StartedMs > other.StartedMs) {
			byAddress[t.Place] = t
		}
	}
	for id, t := range targets {
		if t.Place != "" && byAddress[t.Place] != t {
			delete(targets, id)
		}
	}
	return byAddress
}

// pruneStale removes planning state of assignments, services and overrides that have changed or gone.
func (l *leader) pruneStale(view *api.ControlState) {
	for ref, r := range l.released {
		if a := assignment(view, ref); a.Epoch != r.Epoch || a.State == api.Unassigned {
			delete(l.released, ref)
		}
	}
	for ref := range l.moveDestinations {
		if assignment(view, ref).State == api.Granted {
			delete(l.moveDestinations, ref)
		}
	}
	for ref := range l.recentSplits {
		if view.Configuration.Services.Find(ref.Service) == nil {
			delete(l.recentSplits, ref)
		}
	}
	for ref := range l.overridesHeldUntil {
		if overrideOf(view, ref) == nil {
			delete(l.overridesHeldUntil, ref)
		}
	}
}

// servicePlan plans the assignments of one partitioned service.
type servicePlan struct {
	*leader
	view    *api.ControlState
	name    string
	service *api.Service // nil when it is no longer configured
	now     time.Time
	batch   *state.Batch
	balance bool
	targets map[api.TargetID]*targetInfo
	// targetsByAddress holds the targets at addresses where only one target runs at a time.
	targetsByAddress map[string]*targetInfo

	partitions []placement.Partition
	// toEvacuate lists the granted partitions whose owner must lose them.
	toEvacuate    []int
	incomingMoves map[api.TargetID]int // moves in progress by receiving target
}

func (p *servicePlan) run() {
	p.incomingMoves = make(map[api.TargetID]int)
	service := p.view.Configuration.Services.Find(p.name)
	p.service = service
	if p.updateRecentSplits(service) || p.canariesNeedPartitions() {
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
	if p.awaitsTargets() {
		return
	}
	moveLimits := p.moveLimits(eligible)
	moves := p.policy(service).Plan(p.name, p.partitions, eligible, moveLimits.maxMoves(p.balance, len(p.toEvacuate)))
	for _, m := range moves {
		p.applyMove(m, moveLimits)
	}
	if p.balance {
		p.planOverrides(service, p.withoutCanaries(eligible))
	}
	p.planSplits(service, eligible)
}

func (p *servicePlan) ref(i int) api.PartitionRef {
	return api.PartitionRef{Service: p.name, Partition: i}
}

func (p *servicePlan) batchFull() bool { return p.batch.Len() >= maxBatchSteps }

// classify plans the release, rebind or grant that the state of the partition calls for, and adds the
// partition to the input of the placement policy.
func (p *servicePlan) classify(i int, a api.Assignment) {
	if a.State != api.Unassigned && p.mayRelease(i, a) && !p.batchFull() {
		step := state.Step{PartitionRef: p.ref(i), Expected: a.Epoch, Handover: p.released[p.ref(i)].Handover}
		p.batch.Releases = append(p.batch.Releases, step)
		a = api.Assignment{Epoch: a.Epoch}
	}
	p.rebind(i, a)
	switch a.State {
	case api.Unassigned:
		p.partitions = append(p.partitions, placement.Partition{Index: i, Load: p.partitionLoad(i, a.Target)})
		p.grantPlannedMove(i, a)
	case api.Granted:
		p.classifyGranted(i, a)
	case api.Releasing:
		p.classifyReleasing(i, a)
	}
}

// mayRelease reports whether the owner can no longer serve the partition: its lease has ended, its
// target has been replaced, or its node has reported the grant as released.
func (p *servicePlan) mayRelease(i int, a api.Assignment) bool {
	if !p.mayHoldLease(a.Session, p.now) || p.ownerReplaced(a) {
		return true
	}
	return p.released[p.ref(i)].Epoch == a.Epoch && !p.overrideHeld(i, a)
}

// ownerReplaced reports whether another target runs at the address of the owner, which must then
// have ended.
func (p *servicePlan) ownerReplaced(a api.Assignment) bool {
	return a.Place != "" && p.targets[a.Target] == nil && p.targetsByAddress[a.Place] != nil
}

// rebind passes an assignment to the session that now reports its target: the node was restarted and
// the target was not. It is limited to targets with an address, since only these are reported by one
// node alone.
func (p *servicePlan) rebind(i int, a api.Assignment) {
	t := p.targets[a.Target]
	if a.State == api.Unassigned || a.Place == "" || t == nil || t.session == a.Session || p.batchFull() {
		return
	}
	p.batch.Rebinds = append(p.batch.Rebinds, state.Grant{
		Step:    state.Step{PartitionRef: p.ref(i), Expected: a.Epoch},
		Target:  a.Target,
		Session: t.session,
	})
}

// classifyGranted adds a granted partition to the policy input, and to toEvacuate if its owner must
// lose it.
func (p *servicePlan) classifyGranted(i int, a api.Assignment) {
	t := p.targets[a.Target]
	if t == nil || !t.eligible {
		p.toEvacuate = append(p.toEvacuate, i)
		p.partitions = append(p.partitions, placement.Partition{Index: i, Owner: a.Target, Load: p.partitionLoad(i, a.Target)})
		return
	}
	// A restarted node reports its target under a new session. The grant of the old session ends
	// with its lease; a revoke would only move the partition to another target.
	stays := t.session != a.Session || p.overrideHeld(i, a)
	p.partitions = append(p.partitions, placement.Partition{
		Index: i, Owner: a.Target, Load: p.partitionLoad(i, a.Target), Moving: stays,
	})
}

// classifyReleasing counts a partition that is being moved towards its receiving target.
func (p *servicePlan) classifyReleasing(i int, a api.Assignment) {
	to, ok := p.moveDestinations[p.ref(i)]
	if !ok {
		return
	}
	p.incomingMoves[to]++
	p.partitions = append(p.partitions, placement.Partition{Index: i, Owner: to, Load: p.partitionLoad(i, a.Target), Moving: true})
}

// grantPlannedMove grants a released partition to the target that its move was planned for.
func (p *servicePlan) grantPlannedMove(i int, a api.Assignment) {
	to, ok := p.moveDestinations[p.ref(i)]
	t := p.targets[to]
	if p.service == nil || !ok || t == nil || !t.eligible || t.Service != p.name || p.batchFull() {
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
		Place:   t.Place, StartedMs: t.StartedMs,
	})
}

func (p *servicePlan) revoke(i int) {
	a := p.view.Assignments[p.name][i]
	p.batch.Revokes = append(p.batch.Revokes, state.Step{PartitionRef: p.ref(i), Expected: a.Epoch})
}

// revokeAll revokes the partitions that their owners must lose, when no target can receive them.
func (p *servicePlan) revokeAll() {
	for i, a := range p.view.Assignments[p.name] {
		if a.State != api.Granted || p.batchFull() || !p.mayHoldLease(a.Session, p.now) || p.released[p.ref(i)].Epoch == a.Epoch {
			continue
		}
		if p.service == nil || slices.Contains(p.toEvacuate, i) {
			p.revoke(i)
		}
	}
}

// applyMove adds the grant or revoke of a planned move to the batch.
func (p *servicePlan) applyMove(m placement.Move, moveLimits *moveLimits) {
	t := p.targets[m.To]
	a := p.view.Assignments[p.name][m.Partition]
	if t == nil || p.batchFull() {
		return
	}
	if m.From == "" {
		p.grant(m.Partition, a.Epoch, t)
		return
	}
	if a.State != api.Granted || !moveLimits.reserve(m.To) {
		return
	}
	p.revoke(m.Partition)
	p.moveDestinations[p.ref(m.Partition)] = m.To
}

// eligibleTargets returns the eligible targets of the service, sorted by id.
func (p *servicePlan) eligibleTargets() []placement.Target {
	var list []placement.Target
	for id, t := range p.targets {
		if t.Service == p.name && t.eligible {
			list = append(list, placement.Target{
				ID: id, Zone: t.zone, Capacity: placementCapacity(t.TargetReport), MaxLoad: t.RateLimit, Cold: t.Cold, Eligible: true,
			})
		}
	}
	slices.SortFunc(list, func(x, y placement.Target) int { return compareTargetIDs(x.ID, y.ID) })
	p.scaleCapacityBySpeed(list)
	return p.limitCanaries(list)
}

// partitionLoad returns the load of a partition in requests per second: as reported by its owner, or
// the estimate for a part of a recent split if that is greater.
func (p *servicePlan) partitionLoad(i int, owner api.TargetID) float64 {
	partitionLoad := p.estimatedPartLoad(i)
	if t := p.targets[owner]; t != nil {
		partitionLoad = max(partitionLoad, t.PartitionLoad[i])
	}
	return partitionLoad
}

// policy returns the placement policy of the service; the default one when it is unknown.
func (p *servicePlan) policy(service *api.Service) placement.Policy {
	name := service.Placement
	if name == "" {
		name = placement.DefaultPolicy
	}
	policy, err := placement.Policies.Get(name)
	if err != nil {
		p.log.WithError(err).WithField("service", p.name).Error("Unknown placement policy. Using the default.")
		return placement.Balanced{}
	}
	return policy
}
