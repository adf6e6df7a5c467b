package capacity

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/daemon"
	"github.com/zinniapier/zinniapier/session"
)

const (
	// spreadChanges is the number of changes behind one point.
	spreadChanges = 9
	spreadPoll    = time.Millisecond
	spreadLimit   = 10 * time.Second
)

// idleSource is a node without targets.
type idleSource struct{}

func (idleSource) Targets() []api.TargetReport { return nil }
func (idleSource) Released() []api.Released    { return nil }
func (idleSource) Departures() []api.Departure { return nil }

func (idleSource) ApplyDepartures([]api.Departure) {}

// idleTokens is an account without traffic.
type idleTokens struct{}

func (idleTokens) Report() map[api.OrganisationID]api.TokenReport      { return nil }
func (idleTokens) Apply(uint64, map[api.OrganisationID]api.TokenReply) {}
func (idleTokens) Expire()                                             {}
func (idleTokens) RecordLeaderContact(time.Time)                       {}
func (idleTokens) Reset()                                              {}

// sessions are sessions of the real node side in this process.
type sessions struct {
	list []*session.Session
	stop context.CancelFunc
	done <-chan error
}

func startSessions(ctx context.Context, address string, n int) (*sessions, error) {
	s := &sessions{}
	supervisor := daemon.NewSupervisor("sessions")
	for i := range n {
		one, err := session.New(session.Options{
			Name: fmt.Sprintf("node-%05d", i), Zone: zone(i), Members: []string{address},
			TargetSource: idleSource{}, Tokens: idleTokens{},
		})
		if err != nil {
			return nil, err
		}
		s.list = append(s.list, one)
		supervisor.Add(daemon.Service{Name: "session", Run: one.Serve})
	}
	ctx, s.stop = context.WithCancel(ctx)
	s.done = supervisor.ServeBackground(ctx)
	return s, nil
}

func (s *sessions) close() {
	s.stop()
	<-s.done
}

// await waits until every session holds the configuration version and knows all others.
func (s *sessions) await(ctx context.Context, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, spreadLimit)
	defer cancel()
	for !s.hold(version) {
		select {
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "configuration %d not in force everywhere", version)
		case <-time.After(spreadPoll):
		}
	}
	return nil
}

func (s *sessions) hold(version uint64) bool {
	return !slices.ContainsFunc(s.list, func(one *session.Session) bool {
		v := one.View()
		return len(v.Peers) < len(s.list) || v.Configuration == nil || v.Configuration.Version < version
	})
}

// spread measures the time from the proposal of a change until it is in force on all nodes,
// and the processor time of whole sessions with their leader.
func spread(ctx context.Context, z Sizes) ([]Slope, error) {
	list := []Slope{
		{Name: "spread of a change, median", X: "nodes", Y: "ms", Method: MethodClock},
		{Name: "spread of a change, longest", X: "nodes", Y: "ms", Method: MethodClock},
		{Name: "sessions and leader", X: "nodes", Y: "us/heartbeat", Method: MethodProcess},
	}
	for _, n := range z.Nodes {
		values, err := measureSpread(ctx, z, n)
		if err != nil {
			return nil, err
		}
		for i, y := range values {
			list[i].add(n, y)
		}
	}
	return list, nil
}

func measureSpread(ctx context.Context, z Sizes, n int) ([]float64, error) {
	g, err := startGroup(ctx, groupOptions{members: 1, tick: planTick})
	if err != nil {
		return nil, err
	}
	defer g.close()
	m := g.members[0]
	if err := m.change(ctx, api.Change{Kind: api.ApplyServices, Services: &api.Services{}}); err != nil {
		return nil, err
	}
	s, err := startSessions(ctx, m.listen.Addr().String(), n)
	if err != nil {
		return nil, err
	}
	defer s.close()
	if err := s.await(ctx, m.machine.View().Configuration.Version); err != nil {
		return nil, err
	}
	var times latencies
	for i := range spreadChanges {
		took, err := s.spreadOne(ctx, m, &sampleOrganisations(spreadChanges)[i])
		if err != nil {
			return nil, err
		}
		times = append(times, took)
	}
	slices.Sort(times)
	liveHeap()
	used := processTime()
	time.Sleep(z.Window)
	beats := float64(n) * z.Window.Seconds() / api.DefaultHeartbeat.Seconds()
	return []float64{times.quantile(0.5), times.quantile(1), microseconds(processTime()-used) / beats}, nil
}

func (s *sessions) spreadOne(ctx context.Context, m *groupMember, o *api.Organisation) (time.Duration, error) {
	start := time.Now()
	if err := m.change(ctx, api.Change{Kind: api.PutOrganisation, Organisation: o}); err != nil {
		return 0, err
	}
	err := s.await(ctx, m.machine.View().Configuration.Version)
	return time.Since(start), err
}
