package tokens

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/zinniapier/zinniapier/api"
)

const (
	testOrg   = api.OrganisationID("org")
	testLease = 700 * time.Millisecond
	testSpan  = 750 * time.Millisecond
)

// modelNode follows the rules of the node side: one heartbeat outstanding, the lease
// counted from its sending, and unspent tokens given up when the lease has ended.
type modelNode struct {
	session                   api.SessionID
	leaseEnd                  time.Time
	issued, settled, returned int64
	arrived                   int64
	heartbeat                 int // number of the outstanding heartbeat
	term                      int // of the last reply
}

type modelMessage struct {
	node      int
	session   api.SessionID
	heartbeat int
	sentAt    time.Time
	reports   map[api.OrganisationID]api.TokenReport
	issued    int64
	term      int // known to the node in a request, of the leader in a reply
}

type admission struct {
	at time.Time
	n  int64
}

type fleet struct {
	now       time.Time
	org       api.Organisation
	authority *Authority
	nodes     []*modelNode
	requests  []modelMessage
	replies   []modelMessage
	admitted  []admission
	sessions  int
	term      int
	// reported holds the sessions that have sent a heartbeat to the leader after it took over.
	reported map[api.SessionID]bool
}

func newFleet(rate, burst float64) *fleet {
	f := &fleet{now: time.Unix(1000, 0), org: api.Organisation{ID: testOrg, Rate: rate, Burst: burst}}
	f.failover()
	for range 3 {
		f.nodes = append(f.nodes, f.newNode())
	}
	return f
}

func (f *fleet) newNode() *modelNode {
	f.sessions++
	return &modelNode{session: api.SessionID(string(rune('a' + f.sessions)))}
}

func (f *fleet) failover() {
	f.term++
	f.reported = make(map[api.SessionID]bool)
	f.authority = NewAuthority(f.now, testSpan, Tolerance{})
	f.authority.SetOrganisations(f.now, []api.Organisation{f.org})
}

// giveUpLapsed is what the session does before each heartbeat and before it takes over a reply.
func (n *modelNode) giveUpLapsed(now time.Time) {
	if !now.Before(n.leaseEnd) {
		n.returned = n.issued - n.settled
	}
}

func (f *fleet) send(i int, demand int64) {
	n := f.nodes[i]
	n.giveUpLapsed(f.now)
	n.heartbeat++
	report := api.TokenReport{Issued: n.issued, Settled: n.settled, Returned: n.returned, Arrivals: n.arrived, Demand: demand}
	f.sendReports(i, map[api.OrganisationID]api.TokenReport{testOrg: report})
}

func (f *fleet) sendReports(i int, reports map[api.OrganisationID]api.TokenReport) {
	n := f.nodes[i]
	f.requests = append(f.requests, modelMessage{i, n.session, n.heartbeat, f.now, reports, 0, n.term})
}

func take(list *[]modelMessage, i int) modelMessage {
	m := (*list)[i]
	*list = append((*list)[:i:i], (*list)[i+1:]...)
	return m
}

func (f *fleet) process(i int) {
	m := take(&f.requests, i)
	f.endWait(m)
	m.term = f.term
	m.issued = f.authority.Report(f.now, m.session, m.reports)[testOrg].Issued
	f.replies = append(f.replies, m)
}

// endWait ends the wait of the leader before a report that completes those of all sessions is
// answered, as the control loop may.
func (f *fleet) endWait(m modelMessage) {
	f.reported[m.session] = f.reported[m.session] || m.term == f.term
	for _, n := range f.nodes {
		if !f.reported[n.session] {
			return
		}
	}
	f.authority.Report(f.now, m.session, m.reports)
	f.authority.StartIssuing(f.now)
}

func (f *fleet) deliver(i int) {
	m := take(&f.replies, i)
	n := f.nodes[m.node]
	if n.session != m.session || n.heartbeat != m.heartbeat {
		return // late: the node has abandoned this heartbeat
	}
	n.giveUpLapsed(f.now)
	n.issued = max(n.issued, m.issued)
	n.term = max(n.term, m.term)
	n.leaseEnd = m.sentAt.Add(testLease)
}

func (f *fleet) admit(i int, n int64) {
	node := f.nodes[i]
	node.arrived += n
	if !f.now.Before(node.leaseEnd) {
		return
	}
	n = min(n, node.issued-node.settled-node.returned)
	node.settled += n
	f.admitted = append(f.admitted, admission{f.now, n})
}

// excess returns by how much the worst window exceeds burst + rate x t.
func (f *fleet) excess() float64 {
	worst := -f.org.Burst
	for i, first := range f.admitted {
		sum := 0.0
		for _, a := range f.admitted[i:] {
			sum += float64(a.n)
			worst = max(worst, sum-f.org.Burst-f.org.Rate*a.at.Sub(first.at).Seconds())
		}
	}
	return worst
}

func (f *fleet) sum() float64 {
	s := f.authority.Status(f.now)[0]
	return s.Level + s.Outstanding
}

// step makes one random step of the fleet. Steps on which the bound depends most are drawn
// more often: a heartbeat that is answered, and the spending of all tokens.
func (f *fleet) step(t *rapid.T) {
	node := rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")
	pick := func(list []modelMessage) int { return rapid.IntRange(0, len(list)-1).Draw(t, "message") }
	n := f.nodes[node]
	switch op := rapid.IntRange(0, 24).Draw(t, "op"); {
	case op < 6:
		f.now = f.now.Add(time.Duration(rapid.IntRange(1, 250).Draw(t, "ms")) * time.Millisecond)
	case op < 10:
		f.roundTrip(node, 100)
	case op < 15:
		f.admit(node, rapid.SampledFrom([]int64{1, 100}).Draw(t, "arrivals"))
	case op == 15:
		f.send(node, rapid.Int64Range(0, 100).Draw(t, "demand"))
	case op == 16 && len(f.requests) > 0:
		f.process(pick(f.requests))
	case op == 17 && len(f.replies) > 0:
		f.deliver(pick(f.replies))
	case op == 18:
		f.floorTrip(node)
	case op == 19:
		n.returned += (n.issued - n.settled - n.returned) / 2
	case op == 20:
		f.nodes[node] = f.newNode()
	case op == 21:
		f.authority.EndSession(n.session)
	case op == 22:
		f.failover()
	default:
		f.authority.Advance(f.now)
	}
}

// Guards against admission beyond burst + rate x t in any window when messages are lost,
// late or reordered, sessions end, and the leader fails over.
func TestAuthorityWindowBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(float64(rapid.IntRange(10, 500).Draw(t, "rate")), float64(rapid.IntRange(10, 100).Draw(t, "burst")))
		f.now = f.now.Add(time.Minute)
		for range rapid.IntRange(100, 300).Draw(t, "steps") {
			f.step(t)
		}
		if e := f.excess(); e > 1e-6 {
			t.Fatalf("admitted %v beyond the bound", e)
		}
	})
}

// floorTrip brings the floor to a node that does not know the organisation yet.
func (f *fleet) floorTrip(i int) {
	if n := f.nodes[i]; n.arrived > 0 || n.issued > 0 {
		f.roundTrip(i, 0)
		return
	}
	f.nodes[i].heartbeat++
	f.sendReports(i, nil)
	f.process(len(f.requests) - 1)
	f.deliver(len(f.replies) - 1)
}

func (f *fleet) roundTrip(i int, demand int64) {
	f.send(i, demand)
	f.process(len(f.requests) - 1)
	f.deliver(len(f.replies) - 1)
}

// Guards against an authority that is safe only because it issues nothing: a node with
// steady demand must get the rate.
func TestAuthorityIssuesTheRate(t *testing.T) {
	is := is.New(t)
	f := newFleet(100, 50)
	for range 200 {
		f.now = f.now.Add(100 * time.Millisecond)
		f.roundTrip(0, 50)
		f.admit(0, 50)
	}
	sum := int64(0)
	for _, a := range f.admitted {
		sum += a.n
	}
	is.True(sum >= 1850) // 20 s at 100/s, less the wait of a new leader
}

// Guards against a lowered burst that leaves the old level to be issued.
func TestAuthorityLoweredBurst(t *testing.T) {
	is := is.New(t)
	f := newFleet(100, 100)
	f.now = f.now.Add(10 * time.Second)
	f.roundTrip(0, 60)
	f.org.Burst = 10
	f.authority.SetOrganisations(f.now, []api.Organisation{f.org})
	f.roundTrip(1, 100)
	is.Equal(f.nodes[1].issued, int64(0)) // 60 are outstanding
	f.admit(0, 60)
	f.roundTrip(0, 0)
	f.now = f.now.Add(time.Second)
	f.roundTrip(1, 100)
	is.Equal(f.nodes[1].issued, int64(10))
	is.True(f.sum() <= 10)
}

// Guards against a refill of the bucket by removing and adding an organisation.
func TestAuthorityRemoveAndAdd(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 50)
	f.now = f.now.Add(time.Minute)
	f.roundTrip(0, 50)
	f.admit(0, 50)
	f.roundTrip(0, 0)
	f.authority.SetOrganisations(f.now, nil)
	f.authority.SetOrganisations(f.now, []api.Organisation{f.org})
	f.roundTrip(1, 50)
	is.Equal(f.nodes[1].issued, int64(0))
}

// Guards against starvation of a small demand beside a large one, and of many small
// demands whose shares are all below one token.
func TestAuthorityShares(t *testing.T) {
	is := is.New(t)
	f := newFleet(10, 10)
	f.now = f.now.Add(time.Minute)
	f.roundTrip(0, 0)
	f.authority.buckets[testOrg].level = 0
	f.roundTrip(0, 90)
	f.roundTrip(1, 10)
	f.now = f.now.Add(time.Second)
	f.roundTrip(0, 90)
	f.roundTrip(1, 10)
	is.Equal(f.nodes[0].issued, int64(9))
	is.Equal(f.nodes[1].issued, int64(1))
}

// Guards against a new leader that does not count the tokens of a node whose delayed report,
// from before the last tokens were issued, is the first to reach it.
func TestDelayedReportAtNewLeader(t *testing.T) {
	is := is.New(t)
	f := newFleet(100, 50)
	f.now = f.now.Add(time.Minute)
	f.roundTrip(0, 10)
	f.send(0, 10)
	f.roundTrip(0, 50)
	f.failover()
	f.process(0)
	f.roundTrip(0, 50)
	is.Equal(f.authority.Status(f.now)[0].Outstanding, 50.0)
}

// Guards against a request that waits at a node which the organisation has not used yet.
func TestFloorAtIdleNodes(t *testing.T) {
	is := is.New(t)
	f := newFleet(100, 60)
	f.now = f.now.Add(time.Minute)
	f.floorTrip(1)
	is.Equal(f.nodes[1].issued, int64(0)) // not active
	f.nodes[0].arrived = 1
	f.roundTrip(0, 1)
	f.floorTrip(1)
	is.Equal(f.nodes[1].issued, int64(7)) // 60 / 4 / 2 sessions
	f.now = f.now.Add(activeSpan + time.Second)
	reply := f.authority.Report(f.now, f.nodes[1].session, nil)[testOrg]
	is.Equal(reply.Floor, int64(0)) // goes back when the organisation is idle everywhere
}
