// Package control is the control member beside the replicated log: it answers the
// heartbeats of nodes and the requests of operators, and on the leader it decides which
// target owns which partition and how many tokens each node holds.
package control

import (
	"context"
	"crypto/tls"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/rpc"
	"github.com/zinniapier/zinniapier/state"
	"github.com/zinniapier/zinniapier/telemetry"
	"github.com/zinniapier/zinniapier/tokens"
)

const (
	// defaultTick is the interval at which the leader looks for expired leases and plans.
	// It adds to the time until a lost host's keys are served again.
	defaultTick = 20 * time.Millisecond
	// defaultMovesPerTarget is the number of concurrent moves into one target.
	defaultMovesPerTarget = 4
	// defaultBalanceInterval is the time between two looks at the measured load, which
	// follows the traffic with a delay of about a second.
	defaultBalanceInterval = time.Second
	// heartbeatTimeout is below the 150 ms after which a node tries the next member.
	heartbeatTimeout = 140 * time.Millisecond
	// batchTimeout bounds the wait for the commit of a batch.
	batchTimeout = 2 * time.Second
	// retryDelay separates attempts to commit after a failure.
	retryDelay = 50 * time.Millisecond
)

// Options are the settings of a Control. Name, Log and Machine are required.
type Options struct {
	Name    string
	Log     Log
	Machine *state.Machine
	// OperatorAddresses maps the names of members to host:port of their operator listeners.
	OperatorAddresses map[string]string
	// OperatorTLS is used to forward to the leader's operator listener; nil means plain HTTP.
	OperatorTLS *tls.Config
	// Lease and DriftMargin must be the same on all members. Defaults are those of package api.
	Lease, DriftMargin time.Duration
	// Tick is the interval of the control loop. Default 20 ms.
	Tick time.Duration
	// MovesPerTarget is the least number of concurrent moves into one target. Default 4.
	MovesPerTarget int
	// PlanDelay is how long a new leader waits for the nodes to turn to it before it plans, at
	// most one lease plus margin, which is the default. What is owned by a session that it has
	// not heard of stays owned for the whole lease in any case.
	PlanDelay time.Duration
	// AckWait is how long the acknowledgement of a change waits for nodes in contact that do not have it
	// yet; 0 means not at all.
	AckWait time.Duration
	// MinVoters is the number of voters that the group must have before it accepts its first
	// whole configuration; 0 means any.
	MinVoters int
	// RateTolerance is by how much organisations may exceed their limits.
	RateTolerance tokens.Tolerance
	// BalanceInterval is the time between two plans by measured load. Default 1 s.
	BalanceInterval time.Duration
}

func (o *Options) setDefaults() error {
	if o.Log == nil || o.Machine == nil {
		return errors.New("control: options without log or state machine")
	}
	setDefault(&o.Lease, api.DefaultLease)
	setDefault(&o.DriftMargin, api.DefaultDriftMargin)
	setDefault(&o.Tick, defaultTick)
	setDefault(&o.PlanDelay, o.Lease+o.DriftMargin)
	setDefault(&o.MovesPerTarget, defaultMovesPerTarget)
	setDefault(&o.BalanceInterval, defaultBalanceInterval)
	return nil
}

func setDefault[T ~int | ~int64](v *T, value T) {
	if *v == 0 {
		*v = value
	}
}

// Control is one control member. Its loop goroutine owns everything in leader.
type Control struct {
	o          Options
	log        *logrus.Entry
	client     *http.Client
	heartbeats chan *heartbeat
	queries    chan func()
	outcomes   chan outcome
	wake       chan struct{}
	leader     *leader // nil on a follower
	forwards   forwardClients
}

// outcome is the end of a proposal of the loop.
type outcome struct {
	term  uint64
	batch *state.Batch
	err   error
}

// New returns a control member; it answers heartbeats once Serve runs.
func New(o Options) (*Control, error) {
	if err := o.setDefaults(); err != nil {
		return nil, err
	}
	transport := &http.Transport{TLSClientConfig: o.OperatorTLS, IdleConnTimeout: time.Minute}
	return &Control{
		o:          o,
		log:        telemetry.Logger("control"),
		client:     &http.Client{Transport: transport, Timeout: forwardTimeout},
		heartbeats: make(chan *heartbeat),
		queries:    make(chan func()),
		outcomes:   make(chan outcome),
		wake:       make(chan struct{}, 1),
	}, nil
}

// RegisterRPC registers the heartbeat service and the log's own services.
func (c *Control) RegisterRPC(s *rpc.Server) error {
	if err := s.Register("Control", &service{c}); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(c.o.Log.RegisterRPC(s))
}

// Serve runs the control loop until ctx ends.
func (c *Control) Serve(ctx context.Context) error {
	ticker := time.NewTicker(c.o.Tick)
	defer ticker.Stop()
	for {
		plan := true
		select {
		case <-ctx.Done():
			return ctx.Err()
		case change := <-c.o.Log.Leadership():
			c.changeLeadership(change)
		case h := <-c.heartbeats:
			plan = c.answer(h)
		case q := <-c.queries:
			q()
			plan = false
		case out := <-c.outcomes:
			c.finish(out)
		case <-c.wake:
		case <-ticker.C:
		}
		if plan {
			c.step(ctx)
		}
	}
}

// onLoop has the loop of c run a function and returns its result. It returns false when ctx ends before the
// loop takes the function up.
func onLoop[T any](ctx context.Context, c *Control, f func() T) (result T, ran bool) {
	answer := make(chan T, 1)
	select {
	case c.queries <- func() { answer <- f() }:
		return <-answer, true
	case <-ctx.Done():
		return result, false
	}
}

// kick makes the loop plan now.
func (c *Control) kick() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Control) changeLeadership(change LeadershipChange) {
	if !change.IsLeader {
		if c.leader != nil {
			c.log.WithField("term", change.Term).Info("Leadership has ended.")
		}
		c.leader = nil
		return
	}
	c.log.WithField("term", change.Term).Info("Leadership has begun.")
	c.leader = newLeader(&c.o, c.log, change.Term, time.Now())
}

// followLeadership takes in changes that were delivered while the loop was busy.
func (c *Control) followLeadership() {
	for {
		select {
		case change := <-c.o.Log.Leadership():
			c.changeLeadership(change)
		default:
			return
		}
	}
}

// step commits what the leader has to do. One proposal is in flight at a time, so that
// each plan starts from a state that includes the one before.
func (c *Control) step(ctx context.Context) {
	l := c.leader
	now := time.Now()
	if l == nil || l.inFlight || now.Before(l.retryAt) || !c.o.Log.HoldsLease() {
		return
	}
	batch := &state.Batch{Term: l.term}
	if l.ready {
		batch = l.tick(now)
	}
	if l.ready && batch.Empty() {
		return
	}
	l.inFlight = true
	go c.propose(ctx, batch)
}

func (c *Control) propose(ctx context.Context, batch *state.Batch) {
	out := outcome{term: batch.Term, batch: batch, err: c.commit(ctx, batch)}
	select {
	case c.outcomes <- out:
	case <-ctx.Done():
	}
}

func (c *Control) commit(ctx context.Context, batch *state.Batch) error {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	data, err := state.EncodeBatch(batch)
	if err != nil {
		return err
	}
	result, _, err := c.o.Log.Propose(ctx, data)
	if err != nil {
		return err
	}
	switch r := result.(type) {
	case *state.BatchResult:
		for _, rejected := range r.Rejected {
			c.log.WithError(rejected.Error).WithField("service", rejected.Ref.Service).
				WithField("partition", rejected.Ref.Partition).Warn("Step rejected.")
		}
		c.logBatch(batch)
		telemetry.CountEvent("assignment_releases", int64(len(batch.Releases)))
		telemetry.CountEvent("assignment_revokes", int64(len(batch.Revokes)))
		telemetry.CountEvent("assignment_grants", int64(len(batch.Grants)))
		telemetry.CountEvent("overrides", int64(len(batch.Overrides)))
		return nil
	case *errkind.Error:
		return r
	}
	return errors.Errorf("batch answered with %T", result)
}

// logBatch writes the steps of a committed batch, grouped by what they lead to.
func (c *Control) logBatch(b *state.Batch) {
	if b.Empty() {
		return
	}
	line := c.log.WithField("term", b.Term)
	steps := func(name string, list []state.Step) {
		if len(list) > 0 {
			line = line.WithField(name, partitionsOf(list))
		}
	}
	steps("released", b.Releases)
	steps("revoked", b.Revokes)
	if len(b.Grants) > 0 {
		line = line.WithField("granted", partitionsByTarget(b.Grants))
	}
	if len(b.Rebinds) > 0 {
		line = line.WithField("rebound", partitionsByTarget(b.Rebinds))
	}
	if len(b.Opens)+len(b.Closes) > 0 {
		line = line.WithField("opened", b.Opens).WithField("closed", b.Closes)
	}
	line.Info("Assignments committed.")
}

func partitionsOf(steps []state.Step) map[string][]int {
	m := make(map[string][]int)
	for _, s := range steps {
		m[s.Service] = append(m[s.Service], s.Partition)
	}
	return m
}

func partitionsByTarget(grants []state.Grant) map[api.TargetID][]int {
	m := make(map[api.TargetID][]int)
	for _, g := range grants {
		m[g.Target] = append(m[g.Target], g.Partition)
	}
	return m
}

func (c *Control) finish(out outcome) {
	l := c.leader
	if l == nil || l.term != out.term {
		return
	}
	l.inFlight = false
	if out.err != nil {
		c.log.WithError(out.err).WithField("steps", out.batch.Len()).Warn("Batch not committed.")
		l.retryAt = time.Now().Add(retryDelay)
		return
	}
	// The commit of the first batch of the term shows that everything of earlier terms
	// has been applied, so the map may be published from now on.
	l.ready = true
}
