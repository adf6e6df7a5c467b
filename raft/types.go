// Package raft is a deterministic implementation of the published Raft algorithm. It
// has no clock, disk, network or goroutine: the caller passes in the time as a
// duration since process start, stores what Ready returns, and sends its messages.
package raft

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// Errors of the core.
const (
	// ErrNotLeader says that this member does not lead.
	ErrNotLeader = errors.ConstError("not the leader")
	// ErrMembershipPending says that an earlier membership change, or the first entry
	// of the leader's term, is not committed yet.
	ErrMembershipPending = errors.ConstError("membership change pending")
	// ErrMembershipInvalid says that the change is not a single permitted step.
	ErrMembershipInvalid = errors.ConstError("invalid membership change")
	// ErrNotCaughtUp says that a learner to be promoted lacks committed entries.
	ErrNotCaughtUp = errors.ConstError("learner has not caught up")
	// ErrTooLarge says that a proposal exceeds MaxEntryBytes.
	ErrTooLarge = errors.ConstError("proposal too large")
	// ErrInvalidState says that the stored state passed to New is inconsistent.
	ErrInvalidState = errors.ConstError("inconsistent stored state")
)

const (
	// MaxEntryBytes bounds the data of one entry, and the entries of one message.
	MaxEntryBytes = 1 << 20
	// maxInflight bounds the unacknowledged append messages for each peer.
	maxInflight = 16
	// trailingEntries stay in memory after a compaction, so that a peer slightly
	// behind does not need the whole snapshot.
	trailingEntries = 512
	// catchUpEntries is how far a learner may be behind the commit index when it is promoted.
	catchUpEntries = 64
)

// Config holds the parameters of a member.
type Config struct {
	// ID identifies the member; it is not zero.
	ID uint64
	// ElectionMin and ElectionMax bound the random election timeout.
	ElectionMin, ElectionMax time.Duration
	// Heartbeat is the interval between a leader's rounds.
	Heartbeat time.Duration
	// Seed seeds the random election timeouts.
	Seed int64
}

// Membership lists the members of the group in ascending order of id.
type Membership struct {
	Voters   []uint64 `json:"voters"`
	Learners []uint64 `json:"learners,omitempty"`
	// Context is carried along for the caller; the core does not read it.
	Context []byte `json:"context,omitempty"`
}

// EntryType says what an entry carries.
type EntryType uint8

// Types of entries.
const (
	Normal           EntryType = iota // data of the caller
	MembershipChange                  // an encoded Membership
	Noop                              // first entry of a leader's term
)

// Entry is one entry of the log.
type Entry struct {
	Index, Term uint64
	Type        EntryType
	Data        []byte
}

// HardState is the state that must be stored before messages leave.
type HardState struct {
	Term, Vote, Commit uint64
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index, Term uint64
	Membership  Membership
	Data        []byte
}

// MessageType names a message between members.
type MessageType uint8

// Types of messages.
const (
	PreVote MessageType = iota + 1
	PreVoteResponse
	Vote
	VoteResponse
	Append
	AppendResponse
	Heartbeat
	HeartbeatResponse
	InstallSnapshot // answered with AppendResponse
)

// Message is a message from one member to another.
type Message struct {
	Type     MessageType
	From, To uint64
	Term     uint64
	// Index is the last index of a candidate's log, the index before Entries, or the
	// acknowledged or rejected index of an AppendResponse.
	Index uint64
	// LogTerm is the term of the entry at Index.
	LogTerm uint64
	Entries []Entry
	Commit  uint64
	Reject  bool
	// Hint is the index after which a follower that rejected may match.
	Hint uint64
	// SentAt is the leader's time when it sent the message; responses echo it.
	SentAt   time.Duration
	Snapshot *Snapshot
}

// Role is the role of a member in its term.
type Role uint8

// Roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Ready is the work that the caller does next, in this order: store Snapshot, store
// HardState and Entries and sync them when MustSync is set, send Messages, restore
// Snapshot, apply Committed. Then it calls Advance.
type Ready struct {
	HardState HardState
	// MustSync says that the term, the vote or the entries have changed.
	MustSync  bool
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	// Snapshot came from the leader and replaces the whole log and state.
	Snapshot *Snapshot

	changed bool
}

// Empty says that there is nothing to do.
func (rd Ready) Empty() bool {
	return !rd.changed && len(rd.Messages) == 0 && len(rd.Committed) == 0
}

// PeerStatus is what the leader knows of another member.
type PeerStatus struct {
	ID    uint64
	Voter bool
	Match uint64
	// LastContact is the send time of the last round that the peer answered, negative if none.
	LastContact time.Duration
}

// Status describes the member at this moment.
type Status struct {
	ID                    uint64
	Role                  Role
	Term, Leader          uint64
	Commit, Applied       uint64
	FirstIndex, LastIndex uint64
	Membership            Membership
	MembershipPending     bool
	Peers                 []PeerStatus // set on the leader only
	SnapshotIndex         uint64
	CommittedInTerm       bool // the leader has committed an entry of its own term
}

// EncodeMembership returns the data of a MembershipChange entry.
func EncodeMembership(m Membership) []byte {
	// Marshalling this plain struct cannot fail.
	data, _ := json.Marshal(m)
	return data
}

// DecodeMembership parses the data of a MembershipChange entry.
func DecodeMembership(data []byte) (Membership, error) {
	var m Membership
	err := json.Unmarshal(data, &m)
	return m, errors.Annotate(err, "membership entry")
}
