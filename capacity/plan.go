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
// to change, in microseconds, and how many heartbeats it refused while it placed the
// partitions before.
func measurePlan(ctx context.Context, z Sizes, partitions, targets int) (tick float64, refused int, err error) {
	g, err := startGroup(ctx, groupOptions{members: 1, tick: planTick, lease: z.PlanLease})
	if err != nil {
		return 0, 0, err
	}
	defer g.close()
	m := g.members[0]
	if err := m.change(ctx, api.Change{Kind: api.ApplyServices, Services: sampleServices(partitions)}); err != nil {
		return 0, 0, err
	}
	f, err := newFleet(m.listen.Addr().String(), planNodes, max(targets/planNodes, 1), 0)
	if err != nil {
		return 0, 0, err
	}
	defer f.close()
	if refused, err = f.awaitGrants(ctx, m, partitions); err != nil {
		return 0, 0, err
	}
	tick, err = quietTick(m, f, z.Window/2)
	return tick, refused, err
}

// awaitGrants sends heartbeats until all partitions are granted. The loop refuses
// heartbeats while it places many partitions; those are counted and sent again.
func (f fleet) awaitGrants(ctx context.Context, m *groupMember, partitions int) (refused int, err error) {
	ctx, cancel := context.WithTimeout(ctx, grantLimit)
	defer cancel()
	for granted(m) < partitions {
		n, err := f.beat()
		refused += n
		if err != nil {
			return refused, err
		}
		select {
		case <-ctx.Done():
			return refused, errors.Annotatef(ctx.Err(), "%d of %d partitions granted", granted(m), partitions)
		case <-time.After(api.DefaultHeartbeat):
		}
	}
	return refused, nil
}

// beat sends one heartbeat of each stand-in and counts those that the leader refused.
func (f fleet) beat() (refused int, err error) {
	for _, s := range f {
		var answer refusal
		_, err := s.beat()
		switch {
		case errors.As(err, &answer):
			refused++
		case err != nil:
			return refused, err
		}
	}
	return refused, nil
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
	// The last plan of the placement may still run; the second round finds the loop free.
	for range settleRounds {
		if _, err := f.beat(); err != nil {
			return 0, err
		}
	}
	liveHeap()
	ticks, used := m.looks.Load(), processTime()
	time.Sleep(window)
	n := max(m.looks.Load()-ticks, 1)
	return microseconds(processTime()-used) / float64(n), nil
}

func planPartitions(ctx context.Context, z Sizes) ([]Slope, error) {
	return planSlopes("partitions", z.Partitions, func(n int) (float64, int, error) {
		return measurePlan(ctx, z, n, min(planHeldTargets, n))
	})
}

func planTargets(ctx context.Context, z Sizes) ([]Slope, error) {
	partitions := min(planHeldPartitions, z.Partitions[len(z.Partitions)-1])
	return planSlopes("targets", z.PlanTargets, func(n int) (float64, int, error) {
		return measurePlan(ctx, z, partitions, n)
	})
}

func planSlopes(x string, sizes []int, measure func(n int) (float64, int, error)) ([]Slope, error) {
	tick := Slope{Name: "planning tick", X: x, Y: "us/tick", Method: MethodProcess}
	refusals := Slope{Name: "heartbeats refused during the first placement", X: x, Y: "heartbeats", Method: MethodSize}
	for _, n := range sizes {
		y, refused, err := measure(n)
		if err != nil {
			return nil, err
		}
		tick.add(n, y)
		refusals.add(n, float64(refused))
	}
	return []Slope{tick, refusals}, nil
}
