// Package raft is a deterministic implementation of the Raft consensus algorithm. It uses
// no clock, disk, network or goroutine: the caller passes in the time as a duration since
// the start of the process, stores the state that Ready returns and sends its messages.
package raft

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// Errors returned by this package.
const (
	// ErrNotLeader is returned when this member is not the leader.
	ErrNotLeader = errors.ConstError("not the leader")
	// ErrMembershipPending is returned while an earlier membership change, or the first
	// entry of the leader's term, is not committed.
	ErrMembershipPending = errors.ConstError("membership change pending")
	// ErrMembershipInvalid is returned for a change that is not a single permitted step.
	ErrMembershipInvalid = errors.ConstError("invalid membership change")
	// ErrNotCaughtUp is returned for the promotion of a learner that is too far behind or
	// out of contact.
	ErrNotCaughtUp = errors.ConstError("learner has not caught up")
	// ErrTooLarge is returned for a proposal of more than MaxEntryBytes.
	ErrTooLarge = errors.ConstError("proposal too large")
	// ErrInvalidState is returned for an invalid configuration or inconsistent stored state.
	ErrInvalidState = errors.ConstError("inconsistent stored state")
)

const (
	// MaxEntryBytes is the maximum size of an entry's data, and of the entries in one message.
	MaxEntryBytes = 1 << 20
	// maxInflightAppends is the maximum number of unacknowledged Append messages per peer.
	maxInflightAppends = 16
	// trailingEntries and trailingBytes limit the entries before a snapshot that stay in memory, so
	// that a peer slightly behind does not need the snapshot.
	trailingEntries = 512
	trailingBytes   = 8 << 20
	// maxPromotionLag is how many entries a learner may be behind the commit index when it
	// is promoted.
	maxPromotionLag = 64
)

// Config holds the parameters of a member.
type Config struct {
	// ID identifies the member and must not be 0.
	ID uint64
	// ElectionMin and ElectionMax bound the random election timeout.
	ElectionMin, ElectionMax time.Duration
	// Heartbeat is the interval between a leader's rounds of heartbeats.
	Heartbeat time.Duration
	// Seed seeds the random election timeouts.
	Seed int64
}

// Membership lists the members of the group, each list in ascending order of id.
type Membership struct {
	Voters   []uint64 `json:"voters"`
	Learners []uint64 `json:"learners,omitempty"`
	// Context is opaque data of the caller, replicated with the membership.
	Context []byte `json:"context,omitempty"`
}

// EntryType is the type of a log entry's data.
type EntryType uint8

// Types of entries.
const (
	Normal           EntryType = iota // data of the caller
	MembershipChange                  // an encoded Membership
	Noop                              // no data; first entry of a leader's term
)

// Entry is one entry of the log.
type Entry struct {
	Index, Term uint64
	Type        EntryType
	Data        []byte
}

// HardState is the state that must be on disk before messages are sent, except for those of
// MessagesBeforeSync.
type HardState struct {
	Term, Vote, Commit uint64
}

// Snapshot is the state machine's state after the entry at Index. It replaces the log up to
// and including that entry.
type Snapshot struct {
	Index, Term uint64
	Membership  Membership
	Data        []byte
}

// MessageType is the type of a message between members.
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
	InstallSnapshot // acknowledged by an AppendResponse
)

// Message is a message from one member to another.
type Message struct {
	Type     MessageType
	From, To uint64
	Term     uint64
	// Index is the last index of a candidate's log, the index before Entries, or the
	// acknowledged or rejected index of an AppendResponse. A HeartbeatResponse acknowledges the entries
	// up to Index, too.
	Index uint64
	// LogTerm is the term of the entry at Index.
	LogTerm uint64
	Entries []Entry
	Commit  uint64
	Reject  bool
	// Hint is set in a rejection: the leader may retry with the entry after this index. In a
	// HeartbeatResponse it is the last index received in this term, synced or not.
	Hint uint64
	// SentAt is the time on the leader's clock when it sent the message; responses echo it.
	SentAt   time.Duration
	Snapshot *Snapshot
}

// Role is the role of a member in its current term.
type Role uint8

// Roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Ready is the pending work of the caller, to be done in this order: store Snapshot, store
// HardState and Entries and sync them if MustSync is set, send Messages, restore the state
// machine from Snapshot, apply Committed. The caller then calls Advance.
type Ready struct {
	HardState HardState
	// MustSync is true if the term, the vote, the entries or the snapshot have changed.
	MustSync  bool
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	// Snapshot was received from the leader and replaces the whole log and state.
	Snapshot *Snapshot

	hardStateChanged bool
}

// Empty reports whether there is no work to do.
func (rd Ready) Empty() bool {
	return !rd.hardStateChanged && len(rd.Messages) == 0 && len(rd.Committed) == 0
}

// PeerStatus is what the leader knows of another member.
type PeerStatus struct {
	ID    uint64
	Voter bool
	Match uint64
	// LastContact is when the leader sent the latest message that the peer has answered;
	// negative if there is none.
	LastContact time.Duration
}

// Status is a copy of a member's state.
type Status struct {
	ID                    uint64
	Role                  Role
	Term, Leader          uint64
	Commit, Applied       uint64
	FirstIndex, LastIndex uint64
	LogBytes              int // size of the data of the entries in memory
	Membership            Membership
	MembershipPending     bool
	Peers                 []PeerStatus // set on the leader only
	SnapshotIndex         uint64
	CommittedInTerm       bool // the leader has committed an entry of its own term
}

// EncodeMembership encodes m as the data of a MembershipChange entry.
func EncodeMembership(m Membership) []byte {
	// Marshalling this struct cannot fail.
	data, _ := json.Marshal(m)
	return data
}

// DecodeMembership parses the data of a MembershipChange entry.
func DecodeMembership(data []byte) (Membership, error) {
	var m Membership
	err := json.Unmarshal(data, &m)
	return m, errors.Annotate(err, "decode membership entry")
}
