package raft

import (
	"math"
	"math/rand"
	"time"

	"github.com/juju/errors"
)

// never stands for a moment before every other one; halved so that sums do not overflow.
const never = time.Duration(math.MinInt64 / 2)

// progress is what the leader knows of a peer.
type progress struct {
	match, next uint64
	// probing says that next is a guess: one append is sent and its answer awaited.
	probing  bool
	inflight []uint64 // last index of each unacknowledged append
	lastSend time.Duration
	// acked is the send time of the latest message of this term that the peer answered.
	acked time.Duration
	// snapshot is the index of a snapshot on its way, or 0.
	snapshot   uint64
	snapshotAt time.Duration
}

// Raft is one member. It is not safe for concurrent use.
type Raft struct {
	cfg     Config
	random  *rand.Rand
	now     time.Duration // time of the latest call that passed it in
	log     *raftLog
	members memberships

	role   Role
	term   uint64
	vote   uint64
	leader uint64

	// contact is when this member last heard from a leader, led itself, or started.
	contact          time.Duration
	electionDeadline time.Duration
	votes            map[uint64]bool

	peers       map[uint64]*progress
	leaderSince time.Duration
	lastRound   time.Duration

	stored   HardState
	messages []Message
	// unsent says that proposals wait for Ready, which sends them together.
	unsent  bool
	install *Snapshot
}

// New returns a member with the stored state, as a follower. A member whose membership
// is empty waits for a leader to contact it. The error's cause is ErrInvalidState.
func New(cfg Config, now time.Duration, hs HardState, snap Snapshot, entries []Entry) (*Raft, error) {
	if cfg.ID == 0 || cfg.ElectionMin <= 0 || cfg.ElectionMax < cfg.ElectionMin || cfg.Heartbeat <= 0 {
		return nil, errors.Annotate(ErrInvalidState, "configuration")
	}
	log, err := newLog(snap, entries, hs.Commit)
	if err != nil {
		return nil, err
	}
	if hs.Term < log.lastTerm() {
		return nil, errors.Annotatef(ErrInvalidState, "term %d is before the log's %d", hs.Term, log.lastTerm())
	}
	r := &Raft{
		cfg: cfg, random: rand.New(rand.NewSource(cfg.Seed)), log: log,
		members: memberships{{index: snap.Index, Membership: snap.Membership}},
		term:    hs.Term, vote: hs.Vote, stored: hs,
		// A vote given before the restart is stored, but the last contact is not.
		contact: now,
	}
	for _, e := range entries {
		if r.members, err = r.members.added(e); err != nil {
			return nil, err
		}
	}
	r.resetElection(now)
	return r, nil
}

// Tick lets the member act on the passage of time.
func (r *Raft) Tick(now time.Duration) {
	r.now = now
	if r.role == Leader {
		r.tickLeader(now)
		return
	}
	if now < r.electionDeadline {
		return
	}
	r.resetElection(now)
	if r.isVoter() {
		r.campaign(now, true)
	}
}

func (r *Raft) tickLeader(now time.Duration) {
	if max(r.quorumAcked(now), r.leaderSince)+r.cfg.ElectionMax <= now {
		r.becomeFollower(now, r.term, 0)
		return
	}
	if now >= r.lastRound+r.cfg.Heartbeat {
		r.round(now)
	}
}

// Step processes a message. It returns an error for a message that the protocol rules out.
func (r *Raft) Step(now time.Duration, m Message) error {
	r.now = now
	switch m.Type {
	case PreVote, Vote:
		r.onVoteRequest(now, m)
		return nil
	case PreVoteResponse, VoteResponse:
		r.onVoteResponse(now, m)
		return nil
	case Append, Heartbeat, InstallSnapshot:
		return r.onLeaderMessage(now, m)
	case AppendResponse, HeartbeatResponse:
		r.onFollowerMessage(now, m)
		return nil
	default:
		return errors.Errorf("message of unknown type %d from %x", m.Type, m.From)
	}
}

// Propose appends data to the leader's log and returns its position. The entry is not
// committed before it appears in Ready.Committed with the same term. It returns
// ErrNotLeader or ErrTooLarge.
func (r *Raft) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	if r.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if len(data) > MaxEntryBytes {
		return 0, 0, ErrTooLarge
	}
	r.now = now
	index = r.appendOwn(Entry{Type: Normal, Data: data})
	r.unsent = true
	return index, r.term, nil
}

// appendOwn appends an entry of the leader's term.
func (r *Raft) appendOwn(e Entry) uint64 {
	e.Index, e.Term = r.log.lastIndex()+1, r.term
	if e.Type == MembershipChange {
		// The entry was encoded by this core, so it always decodes.
		r.members, _ = r.members.added(e)
		// Before the entry is in the log, so that a new member is sent at least this one.
		r.syncPeers()
	}
	r.log.extend(e)
	return e.Index
}

func (r *Raft) becomeFollower(now time.Duration, term, leader uint64) {
	if term > r.term {
		r.term, r.vote = term, 0
	}
	if r.role == Leader {
		// The former leader counts as having heard from a leader until now, so that its own
		// vote cannot complete a quorum while its lease may still be believed in.
		r.contact = now
	}
	r.role, r.leader = Follower, leader
	r.votes, r.peers = nil, nil
	r.resetElection(now)
}

func (r *Raft) resetElection(now time.Duration) {
	spread := r.cfg.ElectionMax - r.cfg.ElectionMin
	r.electionDeadline = now + r.cfg.ElectionMin + time.Duration(r.random.Int63n(int64(spread)+1))
}

func (r *Raft) isVoter() bool { return r.members.current().IsVoter(r.cfg.ID) }

func (r *Raft) committedInTerm() bool { return r.log.matches(r.log.commit, r.term) }

func (r *Raft) send(m Message) {
	m.From = r.cfg.ID
	if m.Term == 0 {
		m.Term = r.term
	}
	r.messages = append(r.messages, m)
}
