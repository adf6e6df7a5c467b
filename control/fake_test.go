package control

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/rpc"
	"github.com/zinniapier/zinniapier/state"
)

// fakeLog is a replicated log of a single member.
type fakeLog struct {
	mu         sync.Mutex
	machine    *state.Machine
	index      uint64
	term       uint64
	self       bool
	leaderName string
	leadership chan LeadershipChange
	// commitDelay is the time until an entry is applied.
	commitDelay time.Duration
	// lostReplies is the number of further proposals that are applied but return an error.
	lostReplies int
}

func newFakeLog() *fakeLog {
	return &fakeLog{machine: state.New(), leadership: make(chan LeadershipChange, 16), leaderName: "m1", commitDelay: 2 * time.Millisecond}
}

func (f *fakeLog) lead(self bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.term++
	f.self = self
	f.leadership <- LeadershipChange{Term: f.term, IsLeader: self}
}

func (f *fakeLog) loseReplies(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lostReplies = n
}

func (f *fakeLog) Propose(_ context.Context, data []byte) (any, uint64, error) {
	time.Sleep(f.commitDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.index++
	result := f.machine.Apply(f.index, data)
	if f.lostReplies > 0 {
		f.lostReplies--
		return nil, 0, errors.New("reply lost")
	}
	return result, f.index, nil
}

func (f *fakeLog) Leader() (string, string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaderName, "127.0.0.1:7001", f.self
}

func (f *fakeLog) HoldsLease() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.self
}

func (f *fakeLog) Leadership() <-chan LeadershipChange { return f.leadership }

func (f *fakeLog) Members() []Member {
	return []Member{{Name: "m1", ID: 1, Address: "127.0.0.1:7001", Voter: true}}
}

func (f *fakeLog) RegisterRPC(*rpc.Server) error                   { return nil }
func (f *fakeLog) AddMember(context.Context, string, string) error { return nil }
func (f *fakeLog) RemoveMember(context.Context, uint64) error      { return nil }

// testCluster is a control member with emulated nodes, one target each.
type testCluster struct {
	t          *testing.T
	log        *fakeLog
	control    *Control
	rpcService *rpcService
	nodes      []*node
	started    time.Time
}

const testPartitions = 12

func newTestCluster(t *testing.T, nodes int) *testCluster {
	log := newFakeLog()
	c, err := New(Options{Name: "m1", Log: log, Machine: log.machine})
	if err != nil {
		t.Fatal(err)
	}
	w := &testCluster{t: t, log: log, control: c, rpcService: &rpcService{c}, started: time.Now()}
	segment := 1
	w.change(api.Change{Kind: api.ApplyServices, Services: &api.Services{Services: []api.Service{
		{Name: "quotes", Key: &api.KeySource{PathSegment: &segment}, Partitions: testPartitions, DeadlineMs: 3000},
	}}})
	w.change(api.Change{Kind: api.PutOrganisation, Organisation: &api.Organisation{ID: "org", Rate: 1000, Burst: 100}})
	log.lead(true)
	for i := range nodes {
		w.nodes = append(w.nodes, newNode(w, i))
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = c.Serve(ctx) }()
	return w
}

// open opens a session in the log that sends no heartbeats.
func (w *testCluster) open(id api.SessionID) {
	data, err := state.EncodeBatch(&state.Batch{Term: w.log.term, Opens: []api.SessionID{id}})
	if err != nil {
		w.t.Fatal(err)
	}
	if _, _, err := w.log.Propose(context.Background(), data); err != nil {
		w.t.Fatal(err)
	}
}

func (w *testCluster) change(c api.Change) *api.ChangeResult {
	c.ID, c.BaseVersion = api.NewID(), w.log.machine.View().Configuration.Version
	data, err := state.EncodeChange(&c)
	if err != nil {
		w.t.Fatal(err)
	}
	result, _, err := w.log.Propose(context.Background(), data)
	if err != nil {
		return nil
	}
	return result.(*api.ChangeResult)
}

// run runs the nodes for d, each with a heartbeat every 100 ms, and checks ownership every 10 ms.
func (w *testCluster) run(d time.Duration) {
	const step = 10 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		for _, n := range w.nodes {
			n.step()
			w.checkOwners()
		}
	}
}

// checkOwners fails when two nodes would serve a partition at the same time.
func (w *testCluster) checkOwners() {
	w.t.Helper()
	owners := make(map[int]*node)
	for _, n := range w.nodes {
		if !time.Now().Before(n.leaseEnd) {
			continue
		}
		for p, epoch := range n.serves {
			if other := owners[p]; other != nil {
				w.t.Fatalf("%v: partition %d is served by %s and %s (epoch %d)", time.Since(w.started), p, other.target, n.target, epoch)
			}
			owners[p] = n
		}
	}
}

// served returns the number of partitions that nodes with a valid lease serve.
func (w *testCluster) served() int {
	sum := 0
	for _, n := range w.nodes {
		if time.Now().Before(n.leaseEnd) {
			sum += len(n.serves)
		}
	}
	return sum
}

// node emulates a node's side of the heartbeat protocol.
type node struct {
	targetService string // service of the host's target
	w             *testCluster
	session       api.SessionID
	target        api.TargetID
	zone          string
	sequence      uint64
	next          time.Time
	leaseEnd      time.Time
	// serves holds the partitions with requests admitted or in flight; those in draining admit no more.
	serves        map[int]api.Epoch
	draining      map[int]drain
	released      map[int]api.Epoch
	config        *api.Configuration
	mapVersion    uint64
	peers         []api.Peer
	peersVersion  uint64
	report        api.TargetReport
	final         bool
	drain         time.Duration
	slow          map[int]time.Duration // longer drain times by partition
	err           error
	loseNextReply bool
	issued        int64
	demand        int64
	term          uint64
}

type drain struct {
	epoch api.Epoch
	until time.Time
}

func newNode(w *testCluster, i int) *node {
	id := api.NewID()
	n := &node{w: w, session: api.SessionID("s" + id), target: api.TargetID("t" + id[:8]), drain: 30 * time.Millisecond}
	n.zone = string(rune('a' + i%3))
	n.serves, n.draining, n.released = map[int]api.Epoch{}, map[int]drain{}, map[int]api.Epoch{}
	n.report = api.TargetReport{ID: n.target, Service: "quotes", Zone: n.zone, Slots: 10, State: api.TargetServing}
	return n
}

// step finishes drained partitions and sends a heartbeat when one is due.
func (n *node) step() {
	now := time.Now()
	for p, d := range n.draining {
		if !now.Before(d.until) {
			delete(n.draining, p)
			delete(n.serves, p)
			n.released[p] = d.epoch
			n.next = now
		}
	}
	if !now.Before(n.next) {
		n.next = now.Add(100 * time.Millisecond)
		n.sendHeartbeat()
	}
}

func (n *node) sendHeartbeat() {
	n.sequence++
	if !time.Now().Before(n.leaseEnd) {
		clear(n.serves)
		clear(n.draining)
		n.mapVersion = 0
	}
	req := api.HeartbeatRequest{
		Session: n.session, Sequence: n.sequence, Name: string(n.target), Zone: n.zone, MapVersion: n.mapVersion,
		PeersVersion: n.peersVersion, Targets: []api.TargetReport{n.report}, Final: n.final,
		Tokens:     map[api.OrganisationID]api.TokenReport{"org": {Issued: n.issued, Demand: max(n.demand, 10)}},
		TokensFull: true, Term: n.term,
		Hosts: n.targetService,
	}
	if n.config != nil {
		req.ConfigVersion = n.config.Version
	}
	for p, epoch := range n.released {
		req.Released = append(req.Released, api.Released{PartitionRef: api.PartitionRef{Service: "quotes", Partition: p}, Epoch: epoch})
	}
	if n.final {
		n.leaseEnd = time.Time{}
	}
	sent := time.Now()
	var reply api.HeartbeatReply
	n.err = n.w.rpcService.Heartbeat(req, &reply)
	if n.err != nil || n.loseNextReply || n.final {
		n.loseNextReply = false
		return
	}
	n.applyReply(sent, &reply)
}

func (n *node) applyReply(sent time.Time, r *api.HeartbeatReply) {
	n.leaseEnd = sent.Add(r.Lease)
	n.term = r.Term
	n.issued = max(n.issued, r.Tokens["org"].Issued)
	if c, _, err := r.Configuration.Unpack(nil, 0); err != nil {
		n.err = err
	} else if c != nil {
		n.config = c
	}
	n.peers, n.peersVersion = api.MergePeers(n.peers, r), r.PeersVersion
	n.mapVersion = r.MapVersion
	if r.MapFull {
		clear(n.serves)
	}
	for _, u := range r.Map.List {
		n.update(u)
	}
}

func (n *node) update(u api.AssignmentUpdate) {
	mine := u.Session == n.session
	if !mine || u.Epoch != n.released[u.Partition] {
		delete(n.released, u.Partition)
	}
	_, released := n.released[u.Partition]
	switch {
	case mine && u.State == api.Granted && !released:
		n.serves[u.Partition] = u.Epoch
	case mine && u.State == api.Releasing && !released:
		n.serves[u.Partition] = u.Epoch // requests in flight
		if _, ok := n.draining[u.Partition]; !ok {
			n.draining[u.Partition] = drain{u.Epoch, time.Now().Add(max(n.drain, n.slow[u.Partition]))}
		}
	case !mine || u.State == api.Unassigned:
		delete(n.serves, u.Partition)
		delete(n.draining, u.Partition)
	}
}
