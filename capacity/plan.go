package capacity

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
)

const (
	grantLimit = time.Minute
	// planNodes is the number of nodes that share the targets of the plan.
	planNodes = 8
	// planTick is the default interval of the control loop.
	planTick = 20 * time.Millisecond
	// planHeld is the size of what does not vary.
	planHeldPartitions, planHeldTargets = 4096, 64
)

// measurePlan returns the processor time of one planning tick of a leader that has nothing
// to change, in microseconds.
func measurePlan(ctx context.Context, z Sizes, partitions, targets int) (float64, error) {
	g, err := startGroup(ctx, groupOptions{members: 1, tick: planTick, lease: z.PlanLease})
	if err != nil {
		return 0, err
	}
	defer g.close()
	m := g.members[0]
	if err := m.change(ctx, api.Change{Kind: api.ApplyServices, Services: sampleServices(partitions)}); err != nil {
		return 0, err
	}
	f, err := newFleet(m.listen.Addr().String(), planNodes, max(targets/planNodes, 1), 0)
	if err != nil {
		return 0, err
	}
	defer f.close()
	if err := f.awaitGrants(ctx, m, partitions); err != nil {
		return 0, err
	}
	return quietTick(m, f, z.Window/2)
}

// awaitGrants sends heartbeats until all partitions are granted. The loop refuses
// heartbeats while it places many partitions; those are sent again.
func (f fleet) awaitGrants(ctx context.Context, m *groupMember, partitions int) error {
	ctx, cancel := context.WithTimeout(ctx, grantLimit)
	defer cancel()
	for granted(m) < partitions {
		for _, s := range f {
			var refused refusal
			if _, err := s.beat(); err != nil && !errors.As(err, &refused) {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "%d of %d partitions granted", granted(m), partitions)
		case <-time.After(api.DefaultHeartbeat):
		}
	}
	return nil
}

func granted(m *groupMember) int {
	n := 0
	for _, a := range m.machine.View().Assignments[serviceName] {
		if a.State == api.Granted {
			n++
		}
	}
	return n
}

// quietTick lets the leader plan without heartbeats. The idle cost of the raft ticks is
// below 1% of a core and is part of the intercept.
func quietTick(m *groupMember, f fleet, window time.Duration) (float64, error) {
	if err := f.settle(); err != nil {
		return 0, err
	}
	liveHeap()
	ticks, used := m.looks.Load(), processTime()
	time.Sleep(window)
	n := max(m.looks.Load()-ticks, 1)
	return microseconds(processTime()-used) / float64(n), nil
}

func planPartitions(ctx context.Context, z Sizes) ([]Slope, error) {
	s := Slope{Name: "planning tick", X: "partitions", Y: "us/tick", Method: MethodProcess}
	for _, n := range z.Partitions {
		y, err := measurePlan(ctx, z, n, min(planHeldTargets, n))
		if err != nil {
			return nil, err
		}
		s.add(n, y)
	}
	return []Slope{s}, nil
}

func planTargets(ctx context.Context, z Sizes) ([]Slope, error) {
	s := Slope{Name: "planning tick", X: "targets", Y: "us/tick", Method: MethodProcess}
	for _, n := range z.PlanTargets {
		y, err := measurePlan(ctx, z, min(planHeldPartitions, z.Partitions[len(z.Partitions)-1]), n)
		if err != nil {
			return nil, err
		}
		s.add(n, y)
	}
	return []Slope{s}, nil
}
