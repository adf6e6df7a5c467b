package capacity

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/state"
)

// latencies are the times of commits, sorted.
type latencies []time.Duration

func (l latencies) quantile(q float64) float64 {
	if len(l) == 0 {
		return 0
	}
	return milliseconds(l[min(int(q*float64(len(l))), len(l)-1)])
}

// measureCommits runs commit one after the other and returns the latencies and the
// processor time of all members together per commit.
func measureCommits(n int, commit func(i int) error) (latencies, float64, error) {
	list := make(latencies, 0, n)
	liveHeap()
	used := processTime()
	for i := range n {
		start := time.Now()
		if err := commit(i); err != nil {
			return nil, 0, err
		}
		list = append(list, time.Since(start))
	}
	perCommit := microseconds(processTime()-used) / float64(n)
	slices.Sort(list)
	return list, perCommit, nil
}

// logChanges measures operator changes: commits by members, and the application of one
// change by the size of the configuration.
func logChanges(ctx context.Context, z Sizes) ([]Slope, error) {
	x := "members"
	list := []Slope{
		{Name: "commit of a change, median", X: x, Y: "ms", Method: MethodClock},
		{Name: "commit of a change, 99 in 100", X: x, Y: "ms", Method: MethodClock},
		{Name: "commit of a change, all members", X: x, Y: "us", Method: MethodProcess},
		{Name: "log entry of a change", X: x, Y: "bytes", Method: MethodSize},
	}
	for _, members := range z.Members {
		values, err := changeCommits(ctx, members, z.Commits)
		if err != nil {
			return nil, err
		}
		for i, y := range values {
			list[i].add(members, y)
		}
	}
	applied, err := applySlopes(z)
	return append(list, applied...), err
}

func changeCommits(ctx context.Context, members, n int) ([]float64, error) {
	g, err := startGroup(ctx, groupOptions{members: members, tick: longTick})
	if err != nil {
		return nil, err
	}
	defer g.close()
	m, err := g.leader(ctx)
	if err != nil {
		return nil, err
	}
	organisations := sampleOrganisations(n)
	times, used, err := measureCommits(n, func(i int) error {
		return m.change(ctx, api.Change{Kind: api.PutOrganisation, Organisation: &organisations[i]})
	})
	if err != nil {
		return nil, err
	}
	entry, err := state.EncodeChange(&api.Change{
		ID: api.NewID(), BaseVersion: 1_000_000, Kind: api.PutOrganisation, Organisation: &organisations[0],
	})
	return []float64{times.quantile(0.5), times.quantile(0.99), used, float64(len(entry))}, err
}

// applySlopes measures the state machine alone, without log.
func applySlopes(z Sizes) ([]Slope, error) {
	byOrganisation := Slope{Name: "application of a change", X: "organisations", Y: "us", Method: MethodLoop}
	byKey := Slope{Name: "application of a change", X: "organisation keys", Y: "us", Method: MethodLoop}
	for _, n := range z.Entries {
		y, err := applyCost(z, &api.Configuration{Organisations: sampleOrganisations(n)}, putOrganisation)
		if err != nil {
			return nil, err
		}
		byOrganisation.add(n, y)
		c := &api.Configuration{Organisations: sampleOrganisations(n), Keys: sampleKeys(n)}
		if y, err = applyCost(z, c, replaceKey); err != nil {
			return nil, err
		}
		byKey.add(n, y)
	}
	return []Slope{byOrganisation, byKey}, nil
}

func putOrganisation(*api.ControlState) []api.Change {
	return []api.Change{{Kind: api.PutOrganisation, Organisation: &sampleOrganisations(1)[0]}}
}

// replaceKey withdraws the first key and grants a new one: two changes.
func replaceKey(v *api.ControlState) []api.Change {
	key := sampleKey(0)
	return []api.Change{
		{Kind: api.WithdrawKey, Name: v.Configuration.Keys[0].ID},
		{Kind: api.GrantKey, Key: &key},
	}
}

// applyCost returns the processor time of one change in microseconds, encoding included.
func applyCost(z Sizes, c *api.Configuration, changes func(*api.ControlState) []api.Change) (float64, error) {
	m, err := machineWith(c, 0)
	if err != nil {
		return 0, err
	}
	index, n := m.View().Index, 0
	each, err := repeat(z.Loop, func() error {
		n = 0
		for _, change := range changes(m.View()) {
			n++
			index++
			if err := applyChange(m, index, change); err != nil {
				return err
			}
		}
		return nil
	})
	return each.microseconds / float64(max(n, 1)), err
}

func applyChange(m *state.Machine, index uint64, change api.Change) error {
	change.ID = fmt.Sprint(index)
	change.BaseVersion = m.View().Configuration.Version
	data, err := state.EncodeChange(&change)
	if err != nil {
		return err
	}
	if r, ok := m.Apply(index, data).(*api.ChangeResult); !ok || r.Error != nil {
		return errors.Errorf("change refused: %+v", r)
	}
	return nil
}

// logGrants measures batches of grants and releases by their steps.
func logGrants(ctx context.Context, z Sizes) ([]Slope, error) {
	var all []Slope
	for _, members := range []int{1, 3} {
		name := fmt.Sprintf("batch on %d members", members)
		list := []Slope{
			{Name: name + ", median", X: "steps", Y: "ms", Method: MethodClock},
			{Name: name + ", 99 in 100", X: "steps", Y: "ms", Method: MethodClock},
			{Name: name + ", all members", X: "steps", Y: "us", Method: MethodProcess},
			{Name: name + ", log entry of grants", X: "steps", Y: "bytes", Method: MethodSize},
		}
		for _, steps := range z.Steps {
			values, err := batchCommits(ctx, members, steps, z.Commits)
			if err != nil {
				return nil, err
			}
			for i, y := range values {
				list[i].add(steps, y)
			}
		}
		all = append(all, list...)
	}
	return all, nil
}

func batchCommits(ctx context.Context, members, steps, n int) ([]float64, error) {
	g, err := startGroup(ctx, groupOptions{members: members, tick: longTick})
	if err != nil {
		return nil, err
	}
	defer g.close()
	m, err := g.leader(ctx)
	if err != nil {
		return nil, err
	}
	if err := m.change(ctx, api.Change{Kind: api.ApplyServices, Services: sampleServices(steps)}); err != nil {
		return nil, err
	}
	owners, size := sampleOwners(64), 0
	times, used, err := measureCommits(n, func(i int) error {
		data, err := state.EncodeBatch(alternate(m, owners, i%2 == 0))
		if err != nil {
			return err
		}
		size = max(size, len(data))
		return m.commitSteps(ctx, data, steps)
	})
	return []float64{times.quantile(0.5), times.quantile(0.99), used, float64(size)}, err
}

// alternate returns a batch that grants or releases every partition.
func alternate(m *groupMember, owners []owner, grant bool) *state.Batch {
	b := &state.Batch{Term: m.Term()}
	for i, a := range m.machine.View().Assignments[serviceName] {
		step := state.Step{PartitionRef: api.PartitionRef{Service: serviceName, Partition: i}, Expected: a.Epoch}
		o := owners[i%len(owners)]
		if grant {
			b.Grants = append(b.Grants, state.Grant{Step: step, Target: o.target, Session: o.session})
		} else {
			b.Releases = append(b.Releases, step)
		}
	}
	return b
}

func (m *groupMember) commitSteps(ctx context.Context, data []byte, steps int) error {
	result, _, err := m.Propose(ctx, data)
	if err != nil {
		return err
	}
	if r, ok := result.(*state.BatchResult); !ok || r.Applied != steps {
		return errors.Errorf("batch of %d steps: %+v", steps, result)
	}
	return nil
}
