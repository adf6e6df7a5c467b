// Package control runs a control member on top of the replicated log. It serves the heartbeats
// of nodes and the requests of operators. On the leader it also assigns partitions to targets
// and issues tokens to nodes.
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
	"github.com/zinniapier/zinniapier/rollout"
	"github.com/zinniapier/zinniapier/rpc"
	"github.com/zinniapier/zinniapier/state"
	"github.com/zinniapier/zinniapier/telemetry"
	"github.com/zinniapier/zinniapier/tokens"
)

const (
	// defaultTick is the interval at which the leader checks for expired leases and plans.
	// It adds to the time until the keys of a lost host are served again.
	defaultTick = 20 * time.Millisecond
	// defaultMovesPerTarget is the default of Options.MovesPerTarget.
	defaultMovesPerTarget = 4
	// defaultBalanceInterval is the time between two plans by measured load. Measured load
	// lags the traffic by about a second.
	defaultBalanceInterval = time.Second
	// heartbeatTimeout bounds the handling of a heartbeat. A node tries the next member after 150 ms.
	heartbeatTimeout = 140 * time.Millisecond
	// batchTimeout bounds the wait for a batch to commit.
	batchTimeout = 2 * time.Second
	// planDivisor divides the time of the control loop to give the part that planning may take. The rest is
	// left to heartbeats, which carry leases and tokens.
	//
	// Load pattern: many targets of a large fleet are replaced at once. Nearly every heartbeat then reports
	// something new to plan, and a plan takes some milliseconds.
	planDivisor = 4
	// maxPlanPause is the longest pause after a plan. A plan takes long when the machine is busy, too, and the
	// keys of a lost node wait for the next one.
	maxPlanPause = 50 * time.Millisecond
	// retryDelay is the wait before the next proposal after a failed one.
	retryDelay = 50 * time.Millisecond
)

// Options are the settings of a Control. Name, Log and Machine are required.
type Options struct {
	Name    string
	Log     Log
	Machine *state.Machine
	// OperatorAddresses maps member names to the host:port of their operator listeners.
	OperatorAddresses map[string]string
	// OperatorTLS is used to forward requests to the leader; nil means plain HTTP and RPC.
	OperatorTLS *tls.Config
	// Lease and DriftMargin must be the same on all members. Defaults are those of package api.
	Lease, DriftMargin time.Duration
	// Tick is the interval at which the control loop plans. Default 20 ms.
	Tick time.Duration
	// MovesPerTarget is the number of concurrent moves that one warm target may receive; a
	// service with many partitions per target allows more. Default 4.
	MovesPerTarget int
	// PlanDelay is how long a new leader waits for heartbeats before it plans: at most one lease
	// plus the drift margin, which is the default. Whatever the delay, partitions owned by a
	// session that has not reported yet stay owned for one lease plus the drift margin.
	PlanDelay time.Duration
	// AckWait bounds how long the acknowledgement of a change is delayed for nodes in contact that
	// do not hold the change yet; 0 means no delay.
	AckWait time.Duration
	// MinVoters is the number of voters that the group needs before it accepts its first
	// replacement of the whole configuration; 0 means no minimum.
	MinVoters int
	// RateTolerance is the amount by which organisations may exceed their limits.
	RateTolerance tokens.Tolerance
	// BalanceInterval is the time between two plans by measured load. Default 1 s.
	BalanceInterval time.Duration
	// RolloutLimits bound what a bad version may get during a roll-out. Default: those of package rollout.
	RolloutLimits rollout.Limits
}

func (o *Options) setDefaults() error {
	if o.Log == nil || o.Machine == nil {
		return errors.New("control: Options.Log and Options.Machine are required")
	}
	setDefault(&o.Lease, api.DefaultLease)
	setDefault(&o.DriftMargin, api.DefaultDriftMargin)
	setDefault(&o.Tick, defaultTick)
	setDefault(&o.PlanDelay, o.Lease+o.DriftMargin)
	setDefault(&o.MovesPerTarget, defaultMovesPerTarget)
	setDefault(&o.BalanceInterval, defaultBalanceInterval)
	o.RolloutLimits = o.RolloutLimits.OrDefault()
	return nil
}

func setDefault[T ~int | ~int64](v *T, value T) {
	if *v == 0 {
		*v = value
	}
}

// Control is one control member. Its exported methods are safe for concurrent use. The control
// loop, which Serve runs, owns everything in leader.
type Control struct {
	o               Options
	log             *logrus.Entry
	client          *http.Client
	heartbeats      chan *heartbeat
	loopCalls       chan func()
	proposalResults chan proposalResult
	wakeCh          chan struct{}
	leader          *leader // nil on a follower
	leaderRPC       leaderClient
	// rolloutClock is used on the control loop only; followers keep it, too.
	rolloutClock *rolloutClock
}

// proposalResult reports to the control loop how its proposal ended.
type proposalResult struct {
	term  uint64
	batch *state.Batch
	err   error
}

// New returns a control member. It serves heartbeats while Serve runs.
func New(o Options) (*Control, error) {
	if err := o.setDefaults(); err != nil {
		return nil, err
	}
	transport := &http.Transport{TLSClientConfig: o.OperatorTLS, IdleConnTimeout: time.Minute}
	return &Control{
		o:               o,
		log:             telemetry.Logger("control"),
		client:          &http.Client{Transport: transport, Timeout: forwardTimeout},
		heartbeats:      make(chan *heartbeat),
		loopCalls:       make(chan func()),
		proposalResults: make(chan proposalResult),
		wakeCh:          make(chan struct{}, 1),
		rolloutClock:    newRolloutClock(),
	}, nil
}

// RegisterRPC registers the control RPC service and the services of the log. It returns an
// error when a name is taken.
func (c *Control) RegisterRPC(s *rpc.Server) error {
	if err := s.Register("Control", &rpcService{c}); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(c.o.Log.RegisterRPC(s))
}

// Serve runs the control loop until ctx ends and returns the error of ctx. Call it once.
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
			plan = c.processHeartbeat(h)
		case q := <-c.loopCalls:
			q()
			plan = false
		case out := <-c.proposalResults:
			c.finishProposal(out)
		case <-c.wakeCh:
		case <-ticker.C:
		}
		c.rolloutClock.observe(c.o.Machine.View(), time.Now())
		if plan {
			c.startProposal(ctx)
		}
	}
}

// runOnLoop runs f on the control loop and returns its result. ran is false when ctx ends before
// the loop starts f.
func runOnLoop[T any](ctx context.Context, c *Control, f func() T) (result T, ran bool) {
	resultCh := make(chan T, 1)
	select {
	case c.loopCalls <- func() { resultCh <- f() }:
		return <-resultCh, true
	case <-ctx.Done():
		return result, false
	}
}

// wake makes the control loop plan now instead of at its next tick. It does not block.
func (c *Control) wake() {
	select {
	case c.wakeCh <- struct{}{}:
	default:
	}
}

// changeLeadership discards the volatile leader state, and creates a new one if this member leads.
func (c *Control) changeLeadership(change LeadershipChange) {
	if !change.IsLeader {
		if c.leader != nil {
			c.log.WithField("term", change.Term).Info("Leadership lost.")
		}
		c.leader = nil
		return
	}
	c.log.WithField("term", change.Term).Info("Leadership gained.")
	c.leader = newLeader(&c.o, c.log, change.Term, time.Now())
	c.leader.rolloutClock = c.rolloutClock
}

// applyLeadershipChanges applies all leadership changes that are pending, without waiting.
func (c *Control) applyLeadershipChanges() {
	for {
		select {
		case change := <-c.o.Log.Leadership():
			c.changeLeadership(change)
		default:
			return
		}
	}
}

// startProposal plans and proposes a batch when this member leads and there is work. Only one
// proposal is in flight at a time, so that each plan starts from the result of the last one.
func (c *Control) startProposal(ctx context.Context) {
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

// propose commits the batch and sends the result to the control loop.
func (c *Control) propose(ctx context.Context, batch *state.Batch) {
	out := proposalResult{term: batch.Term, batch: batch, err: c.commit(ctx, batch)}
	select {
	case c.proposalResults <- out:
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
				WithField("partition", rejected.Ref.Partition).Warn("Assignment step rejected.")
		}
		c.logBatch(batch)
		telemetry.CountEvent("assignment_releases", int64(len(batch.Releases)))
		telemetry.CountEvent("assignment_revokes", int64(len(batch.Revokes)))
		telemetry.CountEvent("assignment_grants", int64(len(batch.Grants)))
		telemetry.CountEvent("overrides", int64(len(batch.Overrides)))
		logRolloutSteps(batch, r)
		return nil
	case *errkind.Error:
		return r
	}
	return errors.Errorf("unexpected result of a batch: %T", result)
}

// logBatch logs the steps of a committed batch, grouped by service or target.
func (c *Control) logBatch(b *state.Batch) {
	if b.Len() == len(b.Rollouts) {
		return
	}
	line := c.log.WithField("term", b.Term)
	steps := func(name string, list []state.Step) {
		if len(list) > 0 {
			line = line.WithField(name, partitionsByService(list))
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

func partitionsByService(steps []state.Step) map[string][]int {
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

// finishProposal records the end of the proposal in flight; after an error the next one is delayed.
func (c *Control) finishProposal(out proposalResult) {
	l := c.leader
	if l == nil || l.term != out.term {
		return
	}
	l.inFlight = false
	if out.err != nil {
		c.log.WithError(out.err).WithField("steps", out.batch.Len()).Warn("Assignment batch not committed.")
		l.retryAt = time.Now().Add(retryDelay)
		return
	}
	// Once the first batch of the term is committed, all entries of earlier terms have been
	// applied, so the map may be published.
	l.ready = true
}
