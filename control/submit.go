package control

import (
	"context"
	"crypto/tls"
	"sync"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/hangup"
	"github.com/zinniapier/zinniapier/rpc"
	"github.com/zinniapier/zinniapier/state"
	"github.com/zinniapier/zinniapier/telemetry"
)

// Submit commits an operator's change, here or by forwarding it to the leader. The result holds
// the error of a refused change. Errors: NotLeader, NoQuorum and Unknown when the outcome is not
// known, after which the same change may be submitted again; DeadlineExceeded when the operator has left; Invalid and TooLarge.
func (c *Control) Submit(ctx context.Context, change *api.Change) (*api.ChangeResult, *errkind.Error) {
	if err := checkOperator(ctx); err != nil {
		return nil, err
	}
	if _, _, self := c.o.Log.Leader(); self {
		return c.submitAsLeader(ctx, change)
	}
	result := new(api.ChangeResult)
	if err := c.callLeader(ctx, "Control.Change", *change, result); err != nil {
		return nil, err
	}
	return result, nil
}

// eventOperatorLeft counts the orders that were dropped because their connection had been closed.
const eventOperatorLeft = "operator_left_before_order"

// checkOperator refuses an order whose operator has closed the connection of its request. A member that was frozen reads such orders
// when it wakes, after another member has acknowledged them, and perhaps a later order that reverses them. Errors: DeadlineExceeded.
func checkOperator(ctx context.Context) *errkind.Error {
	if !hangup.Closed(ctx) {
		return nil
	}
	telemetry.CountEvent(eventOperatorLeft, 1)
	telemetry.Logger("control").Info("Dropping an order whose operator has left.")
	return errkind.New(errkind.DeadlineExceeded, "the operator has closed the connection of the order")
}

// CurrentConfiguration returns the latest committed configuration, from the leader if another
// member leads. Errors: NotLeader, NoQuorum or Unknown when the leader cannot be reached or
// cannot confirm that it leads.
func (c *Control) CurrentConfiguration(ctx context.Context) (*api.Configuration, *errkind.Error) {
	if _, _, self := c.o.Log.Leader(); self {
		return c.leaderConfiguration()
	}
	configuration := new(api.Configuration)
	if err := c.callLeader(ctx, "Control.Configuration", Empty{}, configuration); err != nil {
		return nil, err
	}
	return configuration, nil
}

// CurrentRollout returns the last roll-out of the service as committed, from the leader if another member leads.
// Errors: NotFound if there is none; NotLeader, NoQuorum or Unknown when the leader cannot be reached or cannot confirm
// that it leads.
func (c *Control) CurrentRollout(ctx context.Context, service string) (*api.Rollout, *errkind.Error) {
	if _, _, self := c.o.Log.Leader(); self {
		return c.leaderRollout(ctx, service)
	}
	found := new(api.Rollout)
	if err := c.callLeader(ctx, "Control.Rollout", service, found); err != nil {
		return nil, err
	}
	return found, nil
}

// Empty is the argument of RPC methods without parameters.
type Empty struct{}

// Change serves a Submit that another member forwarded. It returns NotLeader on a follower, so that
// a change is forwarded at most once.
func (s *rpcService) Change(change api.Change, reply *api.ChangeResult) error {
	if _, address, self := s.c.o.Log.Leader(); !self {
		return errkind.New(errkind.NotLeader, "%s", address)
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	result, err := s.c.submitAsLeader(ctx, &change)
	if err != nil {
		return err
	}
	*reply = *result
	return nil
}

// Configuration serves a CurrentConfiguration that another member forwarded.
func (s *rpcService) Configuration(_ Empty, reply *api.Configuration) error {
	configuration, err := s.c.leaderConfiguration()
	if err != nil {
		return err
	}
	*reply = *configuration
	return nil
}

// Rollout serves a CurrentRollout that another member forwarded.
func (s *rpcService) Rollout(service string, reply *api.Rollout) error {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	found, err := s.c.leaderRollout(ctx, service)
	if err != nil {
		return err
	}
	*reply = *found
	return nil
}

// leaderRollout returns NoQuorum until the first entry of the term is applied: before, acknowledged orders of an earlier
// term may be missing.
func (c *Control) leaderRollout(ctx context.Context, service string) (*api.Rollout, *errkind.Error) {
	if err := c.checkLeadership(); err != nil {
		return nil, err
	}
	ready, _ := runOnLoop(ctx, c, func() bool { return c.leader != nil && c.leader.ready })
	if !ready {
		return nil, errkind.New(errkind.NoQuorum, "the leader is not ready")
	}
	if found := c.o.Machine.View().Configuration.FindRollout(service); found != nil {
		return found, nil
	}
	return nil, errkind.New(errkind.NotFound, "no roll-out of service %q", service)
}

func (c *Control) leaderConfiguration() (*api.Configuration, *errkind.Error) {
	if err := c.checkLeadership(); err != nil {
		return nil, err
	}
	return &c.o.Machine.View().Configuration, nil
}

// submitAsLeader commits the change and waits until the nodes in contact hold it, for at most AckWait.
func (c *Control) submitAsLeader(ctx context.Context, change *api.Change) (*api.ChangeResult, *errkind.Error) {
	if err := c.checkVoters(change); err != nil {
		return nil, err
	}
	if err := c.checkRolloutOrder(ctx, change); err != nil {
		return &api.ChangeResult{Version: c.o.Machine.View().Configuration.Version, Error: err}, nil
	}
	data, err := state.EncodeChange(c.setRangeCounts(ctx, change))
	if err != nil {
		return nil, errkind.From(err)
	}
	result, index, err := c.o.Log.Propose(ctx, data)
	if err != nil {
		c.log.WithError(err).WithField("change", change.ID).WithField("kind", change.Kind).Warn("Outcome of the change is unknown.")
		return nil, proposeError(err)
	}
	c.wake()
	switch r := result.(type) {
	case *api.ChangeResult:
		line := c.log.WithField("change", change.ID).WithField("kind", change.Kind).WithField("index", index).
			WithField("version", r.Version)
		if r.Error != nil {
			line.WithError(r.Error).Info("Change refused.")
		} else {
			line.Info("Change accepted.")
			c.awaitNodes(ctx, change.Kind, r.Version)
		}
		return r, nil
	case *errkind.Error:
		return nil, r
	}
	return nil, errkind.New(errkind.Internal, "unexpected result of a change: %T", result)
}

// checkVoters refuses the first replacement of the whole configuration while the group has fewer
// than MinVoters voters: an acknowledged change must survive the tolerated number of losses.
func (c *Control) checkVoters(change *api.Change) *errkind.Error {
	if change.Kind != api.Replace || c.o.Machine.View().Configuration.Label != 0 {
		return nil
	}
	voters := 0
	for _, m := range c.o.Log.Members() {
		if m.Voter {
			voters++
		}
	}
	if voters < c.o.MinVoters {
		return errkind.New(errkind.NoQuorum, "the group has %d of %d required voters", voters, c.o.MinVoters)
	}
	return nil
}

// callLeader calls an RPC method on the leader, when that is another member.
func (c *Control) callLeader(ctx context.Context, method string, args, reply any) *errkind.Error {
	name, address, self := c.o.Log.Leader()
	if name == "" || self {
		return errkind.New(errkind.NoQuorum, "no leader is known")
	}
	if err := c.leaderRPC.client(address, c.o.OperatorTLS).Call(ctx, method, args, reply); err != nil {
		return errkind.From(err)
	}
	return nil
}

// leaderClient holds the RPC connection to the last known leader.
type leaderClient struct {
	mu      sync.Mutex
	current *rpc.Client
}

func (f *leaderClient) client(address string, config *tls.Config) *rpc.Client {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil && f.current.Address() == address {
		return f.current
	}
	if f.current != nil {
		f.current.Close()
	}
	f.current = rpc.NewClient(address, config)
	return f.current
}
