package host

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/boottime"
)

const (
	modelPartitions = 6
	modelNodes      = 3
	// modelSteps is the number of steps of one run.
	modelSteps = 400
)

// modelGrant is what a model target holds of one partition.
type modelGrant struct {
	epoch api.Epoch
	until time.Time
}

// modelCall is a call on its way to a model target.
type modelCall struct {
	*rangeCall
	arrival    time.Time // the hold counts from here
	processed  time.Time // zero: never
	answeredAt time.Time
	answered   bool
	recorded   bool
	err        error
}

// modelNode is a node and its target, driven step by step on a clock of the test.
type modelNode struct {
	target *Target
	view   *api.View
	held   [modelPartitions]modelGrant
	seen   [modelPartitions]api.Epoch
	calls  []*modelCall
}

// callModel plays several nodes and a leader that moves partitions between them.
type callModel struct {
	t       *rapid.T
	base    time.Time
	now     time.Time
	nodes   []*modelNode
	service *api.Service
	epoch   api.Epoch
	owner   [modelPartitions]int // -1: none
	state   [modelPartitions]api.AssignmentState
	epochs  [modelPartitions]api.Epoch
	// highest is the highest epoch under which any target has held the partition.
	highest [modelPartitions]api.Epoch
	version uint64
	moves   int
}

func newCallModel(t *rapid.T) *callModel {
	m := &callModel{t: t, base: time.Now(), epoch: 10, service: &api.Service{
		Name: testService, GrantsByCall: true, Key: &api.KeySource{Header: "K", Span: 100 * modelPartitions}, Partitions: modelPartitions,
	}}
	m.now = m.base
	for i := range modelNodes {
		n := &modelNode{}
		n.view = m.newView(i)
		r := NewRegistry(Options{
			Host: fmt.Sprint("h", i), MaxHold: 4 * time.Second, Calls: testCalls{}, LostAfter: time.Hour,
			View: func() *api.View { return n.view }, NewGate: func(api.Announcement) Gate { return fakeGate{} },
		})
		r.started = m.base.Add(-time.Minute)
		a := api.Announcement{ID: api.TargetID(fmt.Sprint("t", i)), Service: testService, Address: fmt.Sprintf("127.0.0.1:%d", i+1), Slots: 4, Pulls: true, ChecksGrants: true}
		n.target = newTarget(r, a, m.now)
		r.targets[a.ID] = n.target
		m.nodes = append(m.nodes, n)
	}
	for p := range m.owner {
		m.owner[p] = -1
	}
	return m
}

func (m *callModel) newView(node int) *api.View {
	return &api.View{
		Session: api.SessionID(fmt.Sprint("s", node)), LeaseEnd: boottime.Now() + time.Hour, LeaseUntil: m.base.Add(time.Hour), Index: &api.ViewIndex{},
		Configuration: &api.Configuration{Version: 1, Services: api.Services{Services: []api.Service{*m.service}}},
	}
}

// publish gives all nodes the assignments.
func (m *callModel) publish() {
	m.version++
	for i, n := range m.nodes {
		v := m.newView(i)
		v.MapVersion = m.version
		list := make([]api.Assignment, modelPartitions)
		for p, o := range m.owner {
			list[p] = api.Assignment{Epoch: m.epochs[p]}
			if o >= 0 {
				list[p] = api.Assignment{State: m.state[p], Target: m.nodes[o].target.info.ID, Session: api.SessionID(fmt.Sprint("s", o)), Epoch: m.epochs[p], Place: "p"}
			}
		}
		v.Assignments = api.NewAssignmentTable(api.Assignments{testService: list})
		n.view = v
		n.target.applyView(v, m.now)
	}
}

// lead moves some partitions, and grants those that have been released.
func (m *callModel) lead() {
	changed := false
	for p := range m.owner {
		switch {
		case m.owner[p] < 0:
			m.epoch++
			m.owner[p], m.state[p], m.epochs[p] = rapid.IntRange(0, modelNodes-1).Draw(m.t, "owner"), api.Granted, m.epoch
			changed = true
		case m.state[p] == api.Granted && rapid.IntRange(0, 9).Draw(m.t, "move") == 0:
			m.state[p] = api.Releasing
			changed = true
		}
		if m.owner[p] < 0 {
			continue
		}
		for _, released := range m.nodes[m.owner[p]].target.r.Released() {
			if released.Partition == p && released.Epoch == m.epochs[p] {
				m.owner[p] = -1
				m.moves++
				changed = true
				break
			}
		}
	}
	if changed {
		m.publish()
	}
}

// send starts the calls that are due and draws the fate of each.
func (m *callModel) send(n *modelNode) {
	n.target.advance(m.now)
	n.target.mu.Lock()
	calls, _ := n.target.dueCalls(n.view, m.service, m.now)
	for _, c := range calls {
		n.target.beginCall(c, m.now)
		call := &modelCall{rangeCall: c}
		delay := func(least, most int) time.Duration {
			return time.Duration(rapid.IntRange(least, most).Draw(m.t, "delay")) * time.Millisecond
		}
		limit := callTimeout
		if c.release {
			limit = releaseTimeout
		}
		call.answeredAt = m.now.Add(limit)
		call.arrival = m.now.Add(delay(0, 300))
		switch rapid.IntRange(0, 9).Draw(m.t, "fate") {
		case 0: // never arrives
		case 1, 2: // processed late, without an answer
			call.processed = call.arrival.Add(delay(0, 12000))
		case 3: // processed at once, the answer is lost
			call.processed = call.arrival
		default:
			call.processed, call.answered = call.arrival, true
			call.answeredAt = call.arrival.Add(delay(0, 150))
		}
		n.calls = append(n.calls, call)
	}
	n.target.mu.Unlock()
}

// deliver processes the calls that are due at the target and records their answers at the node.
func (m *callModel) deliver(n *modelNode) {
	var left []*modelCall
	for _, c := range n.calls {
		if !c.processed.IsZero() && !m.now.Before(c.processed) {
			c.err = m.process(n, c)
			c.processed = time.Time{}
		}
		if !c.recorded && !m.now.Before(c.answeredAt) {
			c.recorded = true
			if !c.answered {
				c.err = errkind.New(errkind.Unknown, "no answer")
			}
			n.target.mu.Lock()
			n.target.recordCall(c.rangeCall, "", c.err, true, m.now)
			n.target.mu.Unlock()
		}
		if !c.recorded || !c.processed.IsZero() {
			left = append(left, c)
		}
	}
	n.calls = left
}

// process applies a call at the target, whose clock runs 2% slow.
func (m *callModel) process(n *modelNode, c *modelCall) error {
	first, last := c.row.First/100, c.row.Last/100
	for p := first; p <= last; p++ {
		if c.release {
			if n.held[p].epoch <= c.row.Epoch {
				n.held[p] = modelGrant{}
			}
			continue
		}
		if n.seen[p] > c.row.Epoch {
			return errkind.New(errkind.StaleEpoch, "seen %d", n.seen[p])
		}
	}
	for p := first; p <= last && !c.release; p++ {
		until := c.arrival.Add(time.Duration(float64(c.hold) * 1.02))
		if !m.now.Before(until) {
			continue
		}
		n.seen[p] = c.row.Epoch
		n.held[p] = modelGrant{epoch: c.row.Epoch, until: later(until, n.held[p].until)}
		if c.row.Epoch < m.highest[p] {
			m.t.Fatalf("partition %d is taken under %d after %d", p, c.row.Epoch, m.highest[p])
		}
		m.highest[p] = c.row.Epoch
	}
	return nil
}

func (m *callModel) check() {
	for p := range modelPartitions {
		var holders []int
		for i, n := range m.nodes {
			if n.held[p].epoch > 0 && m.now.Before(n.held[p].until) {
				holders = append(holders, i)
			}
		}
		if len(holders) > 1 {
			m.t.Fatalf("at %v partition %d is held by %v", m.now.Sub(m.base), p, holders)
		}
	}
}

// Guards against two holders of a range, and a range taken under an epoch that is not above all before,
// when calls are lost, delayed, reordered and processed late while ranges move.
func TestCallsKeepOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newCallModel(t)
		m.publish()
		for range modelSteps {
			m.now = m.now.Add(time.Duration(rapid.IntRange(5, 150).Draw(t, "step")) * time.Millisecond)
			m.lead()
			for _, n := range m.nodes {
				m.send(n)
				m.deliver(n)
			}
			m.check()
		}
		if m.moves == 0 {
			t.Fatal("nothing has moved")
		}
	})
}
