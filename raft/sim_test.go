package raft

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// defaultChecks is the number of schedules unless a flag sets another. Rapid's own default of
// 100 does not detect several faults that were put into the core on purpose.
const defaultChecks = "3000"

func TestMain(m *testing.M) {
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set(defaultChecks) // a number is always accepted
	}
	m.Run()
}

// simNode is a member with its simulated disk. A crash loses entries that are not synced.
type simNode struct {
	id        uint64
	core      *Raft
	hs        HardState
	snap      Snapshot
	disk      []Entry
	started   time.Duration // simulated time when the process started
	clockRate float64       // speed of the local clock
	down      bool
	frozen    bool
	restarts  int64
	applied   uint64
	sync      *Ready // work whose sync is under way, nil if none
	syncBegan time.Duration
	syncedAt  time.Duration // when the sync ends
}

// delayedMessage is a message that the network delivers at a later time.
type delayedMessage struct {
	Message
	until time.Duration
}

// sim runs members over an unreliable network and checks the safety properties.
type sim struct {
	t         *rapid.T
	random    *rand.Rand
	now       time.Duration
	nodes     []*simNode
	network   []Message
	delayed   []delayedMessage
	isolated  map[uint64]bool // members on the smaller side of a partition
	loss      float64         // share of messages lost
	delay     float64         // share of messages delayed by up to 500 ms
	minSync   int             // in ms; each sync takes at least that long, if not 0
	maxSync   int             // in ms; the longest time that a sync takes beyond minSync
	committed []Entry         // by index; position 0 is unused
	// committedIn holds, by index, the term in which the entry was committed: that of the first member that knew it.
	committedIn []uint64
	leaders     map[uint64]uint64
	proposals   int
}

func newSim(t *rapid.T, size int) *sim {
	s := &sim{
		t: t, random: rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed"))),
		isolated: map[uint64]bool{}, leaders: map[uint64]uint64{}, committed: make([]Entry, 2), committedIn: make([]uint64, 2),
	}
	var m Membership
	for id := uint64(1); id <= uint64(size); id++ {
		m.Voters = append(m.Voters, id)
	}
	first := Snapshot{Index: 1, Term: 1, Membership: m}
	for id := 1; id <= size; id++ {
		s.add(HardState{Term: 1, Commit: 1}, first)
	}
	return s
}

func (s *sim) add(hs HardState, snap Snapshot) *simNode {
	n := &simNode{id: uint64(len(s.nodes) + 1), hs: hs, snap: snap, clockRate: 0.96 + 0.08*s.random.Float64()}
	s.nodes = append(s.nodes, n)
	s.start(n)
	return n
}

func (s *sim) start(n *simNode) {
	n.restarts++
	if n.sync != nil && s.random.Float64() < 0.5 {
		s.store(n, *n.sync) // the sync ended, and the process before it could say so
	}
	n.down, n.frozen, n.started, n.applied, n.sync = false, false, s.now, n.snap.Index, nil
	cfg := Config{
		ID: n.id, ElectionMin: 150 * time.Millisecond, ElectionMax: 300 * time.Millisecond,
		Heartbeat: 30 * time.Millisecond, Seed: int64(n.id)*1000 + n.restarts,
	}
	core, err := New(cfg, n.clock(s.now), n.hs, n.snap, n.disk)
	s.check(err == nil, "restart of %d: %v", n.id, err)
	n.core = core
}

func (s *sim) check(ok bool, format string, args ...any) {
	if !ok {
		s.t.Fatalf("at %v: %s", s.now, fmt.Sprintf(format, args...))
	}
}

func (n *simNode) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now-n.started) * n.clockRate)
}

func (n *simNode) isRunning() bool { return !n.down && !n.frozen }

// handleReady completes the pending work of a member, which crashes before or after the sync
// with the given probability. Some syncs take up to maxSync; meanwhile the member goes on.
func (s *sim) handleReady(n *simNode, crash float64) {
	for n.isRunning() {
		if s.random.Float64() < 0.7 {
			s.network = append(s.network, n.core.MessagesBeforeSync()...)
		}
		rd, crashNow := Ready{}, s.random.Float64() < crash
		switch {
		case n.sync != nil && s.now < n.syncedAt:
			n.core.ResignIfBehind(n.clock(s.now))
			n.down = crashNow
			return
		case n.sync != nil:
			rd, n.sync = *n.sync, nil
			n.core.DelayElection(n.clock(s.now) - n.clock(n.syncBegan))
		default:
			if rd = n.core.Ready(); rd.Empty() {
				return
			}
			if rd.MustSync && s.maxSync > 0 && (s.minSync > 0 || s.random.Float64() < 0.5) {
				n.sync, n.syncBegan, n.syncedAt = &rd, s.now, s.now+time.Duration(s.minSync+1+s.random.Intn(s.maxSync))*time.Millisecond
				continue
			}
		}
		if crashNow {
			n.down = true
			return
		}
		s.store(n, rd)
		if s.random.Float64() < crash {
			n.down = true
			return
		}
		s.network = append(s.network, rd.Messages...)
		for _, e := range rd.Committed {
			s.apply(n, e)
		}
		n.core.Advance(rd)
		s.recordCommits(n)
		s.checkLeader(n)
	}
}

func (s *sim) store(n *simNode, rd Ready) {
	if rd.Snapshot != nil {
		n.snap, n.disk, n.applied = *rd.Snapshot, nil, rd.Snapshot.Index
	}
	if rd.MustSync {
		n.hs = rd.HardState
	}
	if len(rd.Entries) > 0 {
		keep := int(rd.Entries[0].Index - n.snap.Index - 1)
		n.disk = append(slices.Clone(n.disk[:keep]), rd.Entries...)
	}
}

// recordCommits notes the term of entries that the member is the first to know as committed.
func (s *sim) recordCommits(n *simNode) {
	for uint64(len(s.committedIn)) <= n.core.log.commit {
		s.committedIn = append(s.committedIn, n.core.term)
	}
}

// apply checks state-machine safety: no two members apply different entries at an index.
func (s *sim) apply(n *simNode, e Entry) {
	s.check(e.Index == n.applied+1, "%d applies %d after %d", n.id, e.Index, n.applied)
	n.applied = e.Index
	if e.Index == uint64(len(s.committed)) {
		s.committed = append(s.committed, e)
	}
	s.check(equalEntries(s.committed[e.Index], e), "%d applies another entry at %d", n.id, e.Index)
}

func equalEntries(a, b Entry) bool {
	return a.Index == b.Index && a.Term == b.Term && a.Type == b.Type && bytes.Equal(a.Data, b.Data)
}

// checkLeader checks election safety and leader completeness: the leader of a term has the entries that were committed in earlier
// terms. An entry of an earlier term may be committed in a later one than that of a member which is elected with old votes; that
// leader has no quorum, and the checks of leases and of applied entries hold for it too.
func (s *sim) checkLeader(n *simNode) {
	if n.down || n.core.role != Leader {
		return
	}
	term := n.core.term
	if known, ok := s.leaders[term]; ok {
		s.check(known == n.id, "%d and %d lead in term %d", known, n.id, term)
		return
	}
	s.leaders[term] = n.id
	for _, e := range s.committed[2:] {
		if s.committedIn[e.Index] < term && e.Index > n.core.log.baseIndex {
			s.check(n.core.log.matches(e.Index, e.Term), "leader %d lacks committed entry %d", n.id, e.Index)
		}
	}
}

// checkLeases checks that at most one member holds a lease by its own clock, including frozen
// members.
func (s *sim) checkLeases() {
	var holders []uint64
	for _, n := range s.nodes {
		if !n.down && n.core.HoldsLease(n.clock(s.now)) {
			holders = append(holders, n.id)
		}
	}
	s.check(len(holders) <= 1, "leases held by %v", holders)
}

// checkLogs checks the log matching property: if two logs hold an entry with the same index
// and term, they are identical up to it.
func (s *sim) checkLogs() {
	for i, a := range s.nodes {
		for _, b := range s.nodes[:i] {
			first := max(a.core.log.firstIndex(), b.core.log.firstIndex())
			agreed := false
			for at := min(a.core.log.lastIndex(), b.core.log.lastIndex()); at >= first; at-- {
				x, y := a.core.log.entries[at-a.core.log.firstIndex()], b.core.log.entries[at-b.core.log.firstIndex()]
				agreed = agreed || x.Term == y.Term
				s.check(!agreed || equalEntries(x, y), "logs of %d and %d differ at %d", a.id, b.id, at)
			}
		}
	}
}

// run advances the simulated time by d in steps of a few milliseconds and delivers messages
// mostly in order.
func (s *sim) run(d time.Duration, crash float64) {
	for end := s.now + d; s.now < end; {
		s.now += time.Duration(2+s.random.Intn(12)) * time.Millisecond
		s.checkLeases()
		s.deliver(crash)
		for _, n := range s.nodes {
			if n.isRunning() && s.random.Float64() < 0.9 {
				if n.sync == nil || n.core.IsLeader() {
					n.core.Tick(n.clock(s.now))
					s.recordCommits(n)
				}
				s.handleReady(n, crash)
			}
			s.checkLeases()
		}
	}
	s.checkLogs()
}

func (s *sim) deliver(crash float64) {
	pending := s.network
	s.network = nil
	s.delayed = slices.DeleteFunc(s.delayed, func(d delayedMessage) bool {
		if d.until <= s.now {
			pending = append(pending, d.Message)
		}
		return d.until <= s.now
	})
	s.random.Shuffle(len(pending), func(i, j int) {
		if s.random.Float64() < 0.3 { // mostly in order
			pending[i], pending[j] = pending[j], pending[i]
		}
	})
	for _, m := range pending {
		n := s.nodes[m.To-1]
		switch {
		case n.down || s.isolated[m.From] != s.isolated[m.To] || s.random.Float64() < s.loss:
			continue
		case s.random.Float64() < s.delay:
			s.delayed = append(s.delayed, delayedMessage{m, s.now + time.Duration(s.random.Intn(500))*time.Millisecond})
			continue
		case n.frozen || s.random.Float64() < 0.1:
			s.network = append(s.network, m) // delivered in a later step
			continue
		case s.random.Float64() < 0.05:
			s.network = append(s.network, m) // delivered twice
		}
		err := n.core.Step(n.clock(s.now), m)
		s.recordCommits(n)
		s.check(err == nil, "step of %d: %v", n.id, err)
		s.checkLeases()
		if s.random.Float64() < 0.7 { // otherwise one call handles several messages
			s.handleReady(n, crash)
		}
	}
	if len(s.network) > 5000 {
		s.network = s.network[len(s.network)-5000:]
	}
}

func (s *sim) leader() *simNode {
	var best *simNode
	for _, n := range s.nodes {
		if n.isRunning() && n.core.role == Leader && (best == nil || n.core.term > best.core.term) {
			best = n
		}
	}
	return best
}

func (s *sim) any() *simNode { return s.nodes[s.random.Intn(len(s.nodes))] }

func (s *sim) propose() {
	for _, n := range s.nodes {
		if n.isRunning() && n.core.role == Leader {
			s.proposals++
			_, _, err := n.core.Propose(n.clock(s.now), fmt.Appendf(nil, "%d by %d", s.proposals, n.id))
			s.check(err == nil, "propose: %v", err)
			s.handleReady(n, 0)
		}
	}
}

func (s *sim) changeMembership() {
	n := s.leader()
	if n == nil {
		return
	}
	m := n.core.members.current().Membership
	next := m.Without(m.allIDs()[s.random.Intn(len(m.allIDs()))])
	switch {
	case len(m.Learners) > 0 && s.random.Float64() < 0.7:
		next = m.WithPromoted(m.Learners[0])
	case len(m.Voters) < 3 || (s.random.Float64() < 0.5 && len(s.nodes) < 8):
		next = m.WithLearner(s.add(HardState{}, Snapshot{}).id)
	}
	_, _, _ = n.core.ProposeMembership(n.clock(s.now), next) // a rejected change is part of the schedule
	s.handleReady(n, 0)
}

func (s *sim) compact() {
	n := s.any()
	if n.down || n.sync != nil || n.applied <= n.snap.Index {
		return
	}
	at := n.applied
	ms := n.core.members
	for len(ms) > 1 && ms.current().index > at {
		ms = ms[:len(ms)-1]
	}
	snap := Snapshot{Index: at, Term: s.committed[at].Term, Membership: ms.current().Membership}
	s.check(n.core.Compact(snap) == nil, "compact at %d", at)
	if newer := n.core.log.snap.Index; newer > at {
		// The core has received a later snapshot that is not stored yet, and ignores this one.
		return
	}
	// Drop the trailing entries too, so that peers that are behind need the snapshot.
	n.core.log.entries = slices.Clone(n.core.log.entries[at-n.core.log.baseIndex:])
	n.core.log.baseIndex, n.core.log.baseTerm = at, snap.Term
	n.disk = slices.Clone(n.disk[at-n.snap.Index:])
	n.snap = snap
}

func (s *sim) unfreezeAll() {
	for _, n := range s.nodes {
		n.frozen = false
	}
}

func (s *sim) restartAll() {
	for _, n := range s.nodes {
		if n.down {
			s.start(n)
		}
	}
}

// recover ends all faults and checks that a leader then brings every member up to date.
func (s *sim) recover() {
	s.isolated, s.loss, s.delay, s.maxSync = map[uint64]bool{}, 0, 0, 0
	s.unfreezeAll()
	s.restartAll()
	s.run(3*time.Second, 0)
	s.checkCaughtUp()
	s.propose()
	s.run(time.Second, 0)
	s.checkCaughtUp()
}

// checkCaughtUp checks that a leader with a lease has brought all members up to date.
func (s *sim) checkCaughtUp() {
	n := s.leader()
	s.check(n != nil, "no leader after recovery")
	s.check(n.core.HoldsLease(n.clock(s.now)), "leader without lease after recovery")
	for _, id := range n.core.members.current().allIDs() {
		s.check(s.nodes[id-1].applied == n.applied, "%d applied %d, the leader %d", id, s.nodes[id-1].applied, n.applied)
	}
}

// Guards against schedules of message loss, duplication, reordering, crashes, frozen
// processes, slow disks, partitions and membership changes that violate a safety property of Raft, let
// two members hold a lease at once, or leave the group without progress.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, rapid.SampledFrom([]int{1, 3, 3, 5}).Draw(t, "size"))
		s.run(time.Second, 0)
		run := func(t *rapid.T) { s.run(time.Duration(rapid.IntRange(20, 500).Draw(t, "ms"))*time.Millisecond, 0) }
		t.Repeat(map[string]func(*rapid.T){
			"run":      run,
			"runLong":  func(*rapid.T) { s.run(700*time.Millisecond, 0) },
			"runCrash": func(*rapid.T) { s.run(100*time.Millisecond, 0.01) },
			"propose":  func(*rapid.T) { s.propose() },
			"freeze":   func(*rapid.T) { s.any().frozen = true },
			"freezeLeader": func(*rapid.T) {
				if n := s.leader(); n != nil {
					n.frozen = true
				}
			},
			"wake":    func(*rapid.T) { s.any().frozen = false },
			"wakeAll": func(*rapid.T) { s.unfreezeAll() },
			"crash":   func(*rapid.T) { s.any().down = true },
			"restart": func(*rapid.T) { s.restartAll() },
			"cut":     func(*rapid.T) { n := s.any(); s.isolated[n.id] = !s.isolated[n.id] },
			"cutLeader": func(*rapid.T) {
				if n := s.leader(); n != nil {
					s.isolated = map[uint64]bool{n.id: true}
				}
			},
			"heal":    func(*rapid.T) { s.isolated = map[uint64]bool{} },
			"loss":    func(t *rapid.T) { s.loss = rapid.SampledFrom([]float64{0, 0, 0.05, 0.3}).Draw(t, "loss") },
			"delay":   func(t *rapid.T) { s.delay = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "delay") },
			"disks":   func(t *rapid.T) { s.maxSync = rapid.SampledFrom([]int{0, 20, 400, 1000}).Draw(t, "sync") },
			"members": func(*rapid.T) { s.changeMembership() },
			"compact": func(*rapid.T) { s.compact() },
		})
		s.recover()
	})
}

// slowDiskRuns is the number of runs of TestElectionsWithSlowDisks, which take long.
const slowDiskRuns = 60

// Guards against elections that never end because each member takes longer to sync its vote than it waits for a
// leader: members whose disks are slow must elect a leader all the same, and keep it. A minute is 50 syncs or more.
func TestElectionsWithSlowDisks(t *testing.T) {
	runs := 0
	rapid.Check(t, func(t *rapid.T) {
		if runs++; runs > slowDiskRuns {
			return
		}
		s := newSim(t, rapid.SampledFrom([]int{3, 5}).Draw(t, "size"))
		s.minSync = rapid.IntRange(300, 800).Draw(t, "sync")
		s.maxSync = 1 + rapid.IntRange(0, 200).Draw(t, "spread")
		s.run(time.Minute, 0)
		lead := s.leader()
		s.check(lead != nil && lead.core.HoldsLease(lead.clock(s.now)), "no leader at first")
		lead.down = true
		s.run(time.Minute, 0)
		next := s.leader()
		s.check(next != nil && next.core.HoldsLease(next.clock(s.now)), "no leader after the loss of the first")
		term := next.core.term
		s.propose()
		s.run(5*time.Second, 0)
		s.check(next.core.role == Leader && next.core.term == term, "leader lost in term %d", term)
		s.check(next.core.log.stable == next.core.log.commit, "proposal not committed")
	})
}
