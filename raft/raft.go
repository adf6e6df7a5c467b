package raft

import (
	"math"
	"math/rand"
	"time"

	"github.com/juju/errors"
)

// distantPast is before any time that the caller passes in. It is halved so that sums with
// it do not overflow.
const distantPast = time.Duration(math.MinInt64 / 2)

// progress is the leader's replication state for one peer.
type progress struct {
	match, next uint64
	// probing is true while next is a guess; then only one Append is in flight.
	probing  bool
	inflight []uint64 // last index of each unacknowledged append
	// received is the last index that the peer has received, synced or not, by its latest response to a
	// heartbeat.
	received uint64
	lastSend time.Duration
	// ackedSentAt is the send time of the latest message of this term that the peer has
	// answered.
	ackedSentAt time.Duration
	// pendingSnapshot is the index of a snapshot that was sent and is not acknowledged, or 0.
	pendingSnapshot uint64
	snapshotSentAt  time.Duration
}

// Raft is the state of one member. It is not safe for concurrent use.
type Raft struct {
	cfg     Config
	random  *rand.Rand
	now     time.Duration // time of the latest call that passed it in
	log     *raftLog
	members membershipHistory

	role   Role
	term   uint64
	vote   uint64
	leader uint64
	// received is the last index received from the leader of this term; the log up to it is the leader's.
	received uint64

	// lastContact is when this member last received a message from a leader, was leader
	// itself, or started, whichever is latest.
	lastContact      time.Duration
	electionDeadline time.Duration
	// failedElections is the number of elections that this member has begun since it last had a leader.
	failedElections int
	// votedAt is when this member last voted, without the time of syncs since.
	votedAt time.Duration
	// behindSince is since when a leader has been behind a quorum of others in its present sync, or distantPast.
	behindSince time.Duration
	votes       map[uint64]bool

	peers       map[uint64]*progress
	leaderSince time.Duration
	lastRound   time.Duration

	storedState HardState
	messages    []Message
	// hasUnsentProposals is true while proposals wait for Ready, which sends them together.
	hasUnsentProposals bool
	unsavedSnapshot    *Snapshot
}

// New returns a follower with the stored state. A member that is not in its own membership
// never starts an election. It returns an error caused by ErrInvalidState, or the decoding
// error of a membership entry.
func New(cfg Config, now time.Duration, hs HardState, snap Snapshot, entries []Entry) (*Raft, error) {
	if cfg.ID == 0 || cfg.ElectionMin <= 0 || cfg.ElectionMax < cfg.ElectionMin || cfg.Heartbeat <= 0 {
		return nil, errors.Annotate(ErrInvalidState, "configuration")
	}
	log, err := newLog(snap, entries, hs.Commit)
	if err != nil {
		return nil, err
	}
	if hs.Term < log.lastTerm() {
		return nil, errors.Annotatef(ErrInvalidState, "stored term %d is less than the last log term %d", hs.Term, log.lastTerm())
	}
	r := &Raft{
		cfg: cfg, random: rand.New(rand.NewSource(cfg.Seed)), log: log,
		members: membershipHistory{{index: snap.Index, Membership: snap.Membership}},
		term:    hs.Term, vote: hs.Vote, storedState: hs,
		// The last contact before a restart is not stored, so it may have been just now.
		lastContact: now, votedAt: distantPast, behindSince: distantPast,
	}
	for _, e := range entries {
		if r.members, err = r.members.withEntry(e); err != nil {
			return nil, err
		}
	}
	r.resetElection(now)
	return r, nil
}

// Tick sends the heartbeats that are due and checks the election timeout.
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
	if max(r.quorumAckedSentAt(now), r.leaderSince)+r.cfg.ElectionMax <= now {
		r.becomeFollower(now, r.term, 0)
		return
	}
	if now >= r.lastRound+r.cfg.Heartbeat {
		r.startRound(now)
	}
}

// Step handles a message from another member. It returns an error for a message that
// violates the protocol.
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
		return errors.Errorf("unknown message type %d from member %x", m.Type, m.From)
	}
}

// Propose appends data to the leader's log and returns the index and term of its entry. The
// entry is committed once it appears in Ready.Committed with the same term. It returns
// ErrNotLeader or ErrTooLarge.
func (r *Raft) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	if r.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if len(data) > MaxEntryBytes {
		return 0, 0, ErrTooLarge
	}
	r.now = now
	index = r.appendAsLeader(Entry{Type: Normal, Data: data})
	r.hasUnsentProposals = true
	return index, r.term, nil
}

// appendAsLeader appends e with the next index and the leader's term, and returns the index.
func (r *Raft) appendAsLeader(e Entry) uint64 {
	e.Index, e.Term = r.log.lastIndex()+1, r.term
	if e.Type == MembershipChange {
		// The entry was encoded by this member, so it always decodes.
		r.members, _ = r.members.withEntry(e)
		// Called before the entry is in the log, so that a new member is sent at least this
		// entry.
		r.syncPeers()
	}
	r.log.extend(e)
	return e.Index
}

func (r *Raft) becomeFollower(now time.Duration, term, leader uint64) {
	if term > r.term {
		r.term, r.vote, r.received = term, 0, 0
	}
	if r.role == Leader {
		// A leader that steps down counts as in contact with a leader until now. Otherwise
		// its vote could complete a quorum for another member before its lease has expired.
		r.lastContact = now
	}
	r.role, r.leader = Follower, leader
	r.votes, r.peers = nil, nil
	r.resetElection(now)
}

// ResignIfBehind makes a leader a follower if a quorum of others has for ElectionMax had entries on disk that this
// member is still syncing. The caller calls it at each tick during a sync.
//
// Load pattern: the disk of the leader alone is full or slow. When all disks are slow, another leader would serve
// no better, and this one goes on.
func (r *Raft) ResignIfBehind(now time.Duration) {
	switch {
	case r.role != Leader || r.log.commit <= r.log.stable:
		r.behindSince = distantPast
	case r.behindSince == distantPast:
		r.behindSince = now
	case now > r.behindSince+r.cfg.ElectionMax:
		r.becomeFollower(now, r.term, 0)
	}
}

// maxElectionDoublings limits how often the election timeout doubles.
const maxElectionDoublings = 5

// resetElection draws a new random election timeout that starts at now. It doubles with each election that
// fails.
//
// Load pattern: the disks of the voters take longer for a sync, without which they do not vote, than the
// candidate waits for its election.
func (r *Raft) resetElection(now time.Duration) {
	spread := r.cfg.ElectionMax - r.cfg.ElectionMin
	timeout := r.cfg.ElectionMin + time.Duration(r.random.Int63n(int64(spread)+1))
	r.electionDeadline = now + timeout<<min(max(r.failedElections-1, 0), maxElectionDoublings)
}

// DelayElection adds d to the election timeout of a member that does not lead. The caller calls it after a sync
// that took d, during which it does not call Tick: a member that waits for its disk cannot vote, and neither wins an
// election nor is told of a new leader's entries.
func (r *Raft) DelayElection(d time.Duration) {
	r.electionDeadline += d
	r.votedAt += d
}

// IsLeader reports whether this member leads in its term.
func (r *Raft) IsLeader() bool { return r.role == Leader }

func (r *Raft) isVoter() bool { return r.members.current().IsVoter(r.cfg.ID) }

func (r *Raft) committedInTerm() bool { return r.log.matches(r.log.commit, r.term) }

func (r *Raft) send(m Message) {
	m.From = r.cfg.ID
	if m.Term == 0 {
		m.Term = r.term
	}
	r.messages = append(r.messages, m)
}
