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

// simNode is a real account whose heartbeats travel through the simulation.
type simNode struct {
	account  *Account
	session  api.SessionID
	kicked   bool
	sent     int       // heartbeats
	started  time.Time // of the last heartbeat
	arrives  time.Time // of the outstanding heartbeat at the leader; zero without one
	lost     bool
	report   map[api.OrganisationID]api.TokenReport
	reply    map[api.OrganisationID]api.TokenReply
	answered time.Time // arrival of the reply
}

type simWait struct {
	w     *waiter
	since time.Time
}

type simToken struct {
	token *Token
	ends  time.Time
}

// sim runs accounts and the authority on one clock. Arrivals never exceed rate and burst.
type sim struct {
	clock     *fakeClock
	org       api.Organisation
	authority *Authority
	nodes     []*simNode
	central   shadow
	waits     []simWait
	running   []simToken
	longest   time.Duration
	refused   int
}

func newSim(nodes int, rate, burst float64) *sim {
	s := &sim{clock: &fakeClock{now: time.Unix(1000, 0)}, org: api.Organisation{ID: acme, Rate: rate, Burst: burst}}
	s.authority = NewAuthority(s.clock.now, testSpan, Tolerance{})
	s.authority.SetOrganisations(s.clock.now, []api.Organisation{s.org})
	for i := range nodes {
		n := &simNode{session: api.SessionID(rune('a' + i)), started: s.clock.now}
		n.account = NewAccount(AccountOptions{
			Organisation: func(api.OrganisationID) *api.Organisation { return &s.org },
			Wake:         func() { n.kicked = true },
			Now:          s.clock.time,
		})
		s.nodes = append(s.nodes, n)
	}
	s.clock.advance(testSpan + time.Duration(burst/rate*float64(time.Second)))
	s.central.configure(s.clock.now, rate, burst, 0)
	return s
}

// arrive offers a request to the node; service is the time until its token settles.
func (s *sim) arrive(n *simNode, service time.Duration) {
	org := n.account.account(acme)
	token, w, kick := org.take(s.clock.now, maxWaiters(&s.org))
	n.kicked = n.kicked || kick
	switch {
	case token != nil:
		s.running = append(s.running, simToken{token, s.clock.now.Add(service)})
	case w != nil:
		s.waits = append(s.waits, simWait{w, s.clock.now})
	default:
		s.refused++
	}
}

// beat moves the heartbeat of a node on. One of every so many gets no answer.
func (s *sim) beat(n *simNode, delay func() time.Duration, every int) {
	now := s.clock.now
	switch since := now.Sub(n.started); {
	case n.report != nil && since >= 150*time.Millisecond: // abandoned
		n.report, n.reply = nil, nil
	case n.reply != nil && !now.Before(n.answered):
		n.account.Apply(1, n.reply)
		n.report, n.reply = nil, nil
	case n.report != nil && n.reply == nil && !n.lost && !now.Before(n.arrives):
		n.reply, n.answered = s.authority.Report(now, n.session, n.report), now.Add(delay())
	case n.report == nil && (since >= api.DefaultHeartbeat || n.kicked && since >= 20*time.Millisecond):
		n.report, n.started, n.kicked = n.account.Report(), now, false
		n.sent++
		n.arrives, n.lost = now.Add(delay()), n.sent%every == 0
	}
}

// look takes the outcome of waiting requests and ends running ones.
func (s *sim) look() {
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

func (s *sim) step(delay func() time.Duration, every int) {
	s.clock.advance(simStep)
	s.authority.Advance(s.clock.now)
	for _, n := range s.nodes {
		s.beat(n, delay, every)
	}
	s.look()
}

// Guards against refusing, or keeping waiting for 2 s, an organisation that stays within its
// rate and burst, wherever its requests arrive, while heartbeats are slow and some are lost.
func TestNothingIsRefusedWithinRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(10, 400).Draw(t, "rate"))
		burst := math.Ceil(rate*rapid.Float64Range(0.5, 1).Draw(t, "burst seconds")) + 5
		s := newSim(rapid.IntRange(1, 8).Draw(t, "nodes"), rate, burst)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		delay := func() time.Duration { return time.Duration(rng.IntN(30)) * time.Millisecond }
		every := rapid.IntRange(5, 50).Draw(t, "one of so many heartbeats of a node is lost")
		service := time.Duration(rapid.IntRange(1, 1000).Draw(t, "service ms")) * time.Millisecond
		home, eager := 0, 0.0
		for i := range 600 { // 3 s
			if i%100 == 0 {
				home = rapid.IntRange(-1, len(s.nodes)-1).Draw(t, "node") // -1: all in turn
				eager = rapid.SampledFrom([]float64{0, 0.5, 1, 1000}).Draw(t, "share of the rate")
			}
			due := int(float64(i+1)*eager*rate*simStep.Seconds()) - int(float64(i)*eager*rate*simStep.Seconds())
			for range due {
				s.central.refill(s.clock.now)
				if s.central.level < 1 {
					break
				}
				s.central.level--
				n := home
				if home < 0 {
					n = (i + due) % len(s.nodes)
				}
				s.arrive(s.nodes[n], service)
			}
			s.step(delay, every)
			if s.refused > 0 || s.longest >= maxTakeWait {
				t.Fatalf("%d refused, longest wait %v", s.refused, s.longest)
			}
		}
	})
}

// Guards against idle tokens at other nodes that keep a request waiting, with a burst as
// small as the number of nodes.
func TestIdleTokensComeBack(t *testing.T) {
	const nodes, rate, burst = 8, 4, 8
	s := newSim(nodes, rate, burst)
	delay := func() time.Duration { return 5 * time.Millisecond }
	for i := range nodes { // each node estimates a rate and holds a token
		s.arrive(s.nodes[i], 0)
		s.step(delay, math.MaxInt)
	}
	for range 160 { // 0.8 s: the nodes' estimates have not decayed to nothing
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
