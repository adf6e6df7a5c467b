package tokens

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinniapier/zinniapier/api"
)

const simStep = 5 * time.Millisecond

// simNode is an Account whose heartbeats go through the simulation.
type simNode struct {
	account       *Account
	session       api.SessionID
	wakeRequested bool
	sent          int       // number of heartbeats
	started       time.Time // send time of the last heartbeat
	arrives       time.Time // arrival time of the outstanding heartbeat at the leader
	lost          bool
	report        map[api.OrganisationID]api.TokenReport
	reply         map[api.OrganisationID]api.TokenReply
	replyArrives  time.Time // arrival time of the reply
}

type simWait struct {
	w     *waiter
	since time.Time
}

type simToken struct {
	token *Token
	ends  time.Time
}

// sim runs accounts and an authority on one clock. central is used to keep arrivals within rate and burst.
type sim struct {
	clock     *fakeClock
	org       api.Organisation
	authority *Authority
	nodes     []*simNode
	central   referenceBucket
	waits     []simWait
	running   []simToken
	longest   time.Duration
	refused   int
}

func newSim(nodes int, rate, burst float64) *sim {
	s := &sim{clock: &fakeClock{now: time.Unix(1000, 0)}, org: api.Organisation{ID: acme, Rate: rate, Burst: burst}}
	s.authority = NewAuthority(s.clock.now, testTokenLifetime, Tolerance{})
	s.authority.SetOrganisations(s.clock.now, []api.Organisation{s.org})
	for i := range nodes {
		n := &simNode{session: api.SessionID(rune('a' + i)), started: s.clock.now}
		n.account = NewAccount(AccountOptions{
			Organisation: func(api.OrganisationID) *api.Organisation { return &s.org },
			Wake:         func() { n.wakeRequested = true },
			Now:          s.clock.time,
		})
		s.nodes = append(s.nodes, n)
	}
	s.clock.advance(testTokenLifetime + time.Duration(burst/rate*float64(time.Second)))
	s.central.configure(s.clock.now, rate, burst, 0)
	return s
}

// arrive sends a request to the node; service is the time until its token is settled.
func (s *sim) arrive(n *simNode, service time.Duration) {
	org := n.account.account(acme)
	token, w, wake := org.take(s.clock.now, maxWaiters(&s.org))
	n.wakeRequested = n.wakeRequested || wake
	switch {
	case token != nil:
		s.running = append(s.running, simToken{token, s.clock.now.Add(service)})
	case w != nil:
		s.waits = append(s.waits, simWait{w, s.clock.now})
	default:
		s.refused++
	}
}

// stepHeartbeat advances the heartbeat of a node by one step. Every lossInterval-th heartbeat is lost.
func (s *sim) stepHeartbeat(n *simNode, delay func() time.Duration, lossInterval int) {
	now := s.clock.now
	switch since := now.Sub(n.started); {
	case n.report != nil && since >= 150*time.Millisecond: // abandoned
		n.report, n.reply = nil, nil
	case n.reply != nil && !now.Before(n.replyArrives):
		n.account.Apply(1, n.reply)
		n.report, n.reply = nil, nil
	case n.report != nil && n.reply == nil && !n.lost && !now.Before(n.arrives):
		n.reply, n.replyArrives = s.authority.Report(now, n.session, n.report), now.Add(delay())
	case n.report == nil && (since >= api.DefaultHeartbeat || n.wakeRequested && since >= 20*time.Millisecond):
		n.report, n.started, n.wakeRequested = n.account.Report(), now, false
		n.sent++
		n.arrives, n.lost = now.Add(delay()), n.sent%lossInterval == 0
	}
}

// collectOutcomes settles the tokens of waiting requests that were served and of running ones that have ended.
func (s *sim) collectOutcomes() {
	now := s.clock.now
	kept := s.waits[:0]
	for _, w := range s.waits {
		s.longest = max(s.longest, now.Sub(w.since))
		select {
		case token := <-w.w.ready:
			if token == nil {
				s.refused++
				continue
			}
			token.Settle()
		default:
			kept = append(kept, w)
		}
	}
	s.waits = kept
	running := s.running[:0]
	for _, r := range s.running {
		if now.Before(r.ends) {
			running = append(running, r)
			continue
		}
		r.token.Settle()
	}
	s.running = running
}

func (s *sim) step(delay func() time.Duration, lossInterval int) {
	s.clock.advance(simStep)
	s.authority.Advance(s.clock.now)
	for _, n := range s.nodes {
		s.stepHeartbeat(n, delay, lossInterval)
	}
	s.collectOutcomes()
}

// Guards against refusing requests of an organisation within its rate and burst, or letting them wait
// for 2 s, when they arrive at changing nodes and heartbeats are slow or lost.
func TestNothingIsRefusedWithinRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(10, 400).Draw(t, "rate"))
		burst := math.Ceil(rate*rapid.Float64Range(0.5, 1).Draw(t, "burst seconds")) + 5
		s := newSim(rapid.IntRange(1, 8).Draw(t, "nodes"), rate, burst)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		delay := func() time.Duration { return time.Duration(rng.IntN(30)) * time.Millisecond }
		lossInterval := rapid.IntRange(5, 50).Draw(t, "loss interval of heartbeats")
		service := time.Duration(rapid.IntRange(1, 1000).Draw(t, "service ms")) * time.Millisecond
		busyNode, rateShare := 0, 0.0
		for i := range 600 { // 3 s
			if i%100 == 0 {
				busyNode = rapid.IntRange(-1, len(s.nodes)-1).Draw(t, "node") // -1: all nodes in turn
				rateShare = rapid.SampledFrom([]float64{0, 0.5, 1, 1000}).Draw(t, "share of the rate")
			}
			due := int(float64(i+1)*rateShare*rate*simStep.Seconds()) - int(float64(i)*rateShare*rate*simStep.Seconds())
			for range due {
				s.central.refill(s.clock.now)
				if s.central.level < 1 {
					break
				}
				s.central.level--
				n := busyNode
				if busyNode < 0 {
					n = (i + due) % len(s.nodes)
				}
				s.arrive(s.nodes[n], service)
			}
			s.step(delay, lossInterval)
			if s.refused > 0 || s.longest >= maxTakeWait {
				t.Fatalf("%d refused, longest wait %v", s.refused, s.longest)
			}
		}
	})
}

// Guards against a request that waits while other nodes hold idle tokens. The burst equals the number
// of nodes, so each node holds one token at most.
func TestIdleTokensReachWaitingRequests(t *testing.T) {
	const nodes, rate, burst = 8, 4, 8
	s := newSim(nodes, rate, burst)
	delay := func() time.Duration { return 5 * time.Millisecond }
	for i := range nodes { // each node has an estimated rate and a token
		s.arrive(s.nodes[i], 0)
		s.step(delay, math.MaxInt)
	}
	for range 160 { // 0.8 s: the estimated rates have not decayed to 0
		s.step(delay, math.MaxInt)
	}
	for range 3 {
		s.arrive(s.nodes[0], 0)
	}
	s.longest = 0
	for range 200 {
		s.step(delay, math.MaxInt)
	}
	t.Logf("longest wait %v", s.longest)
	if s.refused > 0 || s.longest > 300*time.Millisecond {
		t.Fatalf("%d refused, longest wait %v", s.refused, s.longest)
	}
}
