package control

import (
	"context"
	"crypto/tls"
	"sync"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/rpc"
	"github.com/zinniapier/zinniapier/state"
)

// Submit commits an operator's change, on the leader or forwarded to it. The error of a
// refused change is in the result. Errors: NotLeader, NoQuorum and Unknown when there is no
// clear answer, after which the same change may be submitted again; Invalid and TooLarge.
func (c *Control) Submit(ctx context.Context, change *api.Change) (*api.ChangeResult, *errkind.Error) {
	if _, _, self := c.o.Log.Leader(); self {
		return c.submitHere(ctx, change)
	}
	result := new(api.ChangeResult)
	if err := c.callLeader(ctx, "Control.Change", *change, result); err != nil {
		return nil, err
	}
	return result, nil
}

// CurrentConfiguration returns the newest configuration, from the leader if another member
// leads. Errors: NotLeader, NoQuorum and Unknown when that is not certain.
func (c *Control) CurrentConfiguration(ctx context.Context) (*api.Configuration, *errkind.Error) {
	if _, _, self := c.o.Log.Leader(); self {
		return c.configurationHere()
	}
	configuration := new(api.Configuration)
	if err := c.callLeader(ctx, "Control.Configuration", Empty{}, configuration); err != nil {
		return nil, err
	}
	return configuration, nil
}

// Empty is an argument without content.
type Empty struct{}

// Change is the receiver of a forwarded Submit. It refuses with NotLeader on a member that does
// not lead, so that a change is forwarded at most once.
func (s *service) Change(change api.Change, reply *api.ChangeResult) error {
	if _, address, self := s.c.o.Log.Leader(); !self {
		return errkind.New(errkind.NotLeader, "%s", address)
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	result, err := s.c.submitHere(ctx, &change)
	if err != nil {
		return err
	}
	*reply = *result
	return nil
}

// Configuration is the receiver of a forwarded CurrentConfiguration.
func (s *service) Configuration(_ Empty, reply *api.Configuration) error {
	configuration, err := s.c.configurationHere()
	if err != nil {
		return err
	}
	*reply = *configuration
	return nil
}

func (c *Control) configurationHere() (*api.Configuration, *errkind.Error) {
	if err := c.checkLease(); err != nil {
		return nil, err
	}
	return &c.o.Machine.View().Configuration, nil
}

func (c *Control) submitHere(ctx context.Context, change *api.Change) (*api.ChangeResult, *errkind.Error) {
	if err := c.checkVoters(change); err != nil {
		return nil, err
	}
	data, err := state.EncodeChange(c.sizeRanges(ctx, change))
	if err != nil {
		return nil, errkind.From(err)
	}
	result, index, err := c.o.Log.Propose(ctx, data)
	if err != nil {
		c.log.WithError(err).WithField("change", change.ID).WithField("kind", change.Kind).Warn("Change has no clear outcome.")
		return nil, proposeError(err)
	}
	c.kick()
	switch r := result.(type) {
	case *api.ChangeResult:
		line := c.log.WithField("change", change.ID).WithField("kind", change.Kind).WithField("index", index).
			WithField("version", r.Version)
		if r.Error != nil {
			line.WithError(r.Error).Info("Change refused.")
		} else {
			line.Info("Change accepted.")
			c.awaitNodes(ctx, r.Version)
		}
		return r, nil
	case *errkind.Error:
		return nil, r
	}
	return nil, errkind.New(errkind.Internal, "change answered with %T", result)
}

// checkVoters refuses the first whole configuration while the group has too few voters: what
// is acknowledged must survive the loss of as many as are tolerated.
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
		return errkind.New(errkind.NoQuorum, "the group has %d of %d voters", voters, c.o.MinVoters)
	}
	return nil
}

// callLeader calls the leader's rpc listener.
func (c *Control) callLeader(ctx context.Context, method string, args, reply any) *errkind.Error {
	name, address, self := c.o.Log.Leader()
	if name == "" || self {
		return errkind.New(errkind.NoQuorum, "no leader is known")
	}
	if err := c.forwards.client(address, c.o.OperatorTLS).Call(ctx, method, args, reply); err != nil {
		return errkind.From(err)
	}
	return nil
}

// forwardClients holds the connection to the member that led last.
type forwardClients struct {
	mu      sync.Mutex
	current *rpc.Client
}

func (f *forwardClients) client(address string, config *tls.Config) *rpc.Client {
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
