package raft

import (
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

const ms = time.Millisecond

func testConfig(id uint64) Config {
	return Config{ID: id, ElectionMin: 150 * ms, ElectionMax: 300 * ms, Heartbeat: 30 * ms, Seed: 1}
}

// processReady completes the pending work of a member, without network or disk, and returns
// its messages.
func processReady(r *Raft) (messages []Message) {
	for rd := r.Ready(); !rd.Empty(); rd = r.Ready() {
		messages = append(messages, rd.Messages...)
		r.Advance(rd)
	}
	return messages
}

// electLeader makes member 1 of {1,2,3} the leader at 400 ms, in term 4.
func electLeader(t *testing.T, entries ...Entry) *Raft {
	is := is.New(t)
	snap := Snapshot{Index: 1, Term: 1, Membership: Membership{Voters: []uint64{1, 2, 3}}}
	r, err := New(testConfig(1), 0, HardState{Term: 3, Commit: 1}, snap, entries)
	is.NoErr(err)
	r.Tick(400 * ms)
	is.NoErr(r.Step(400*ms, Message{Type: PreVoteResponse, From: 2, To: 1, Term: 4}))
	is.NoErr(r.Step(400*ms, Message{Type: VoteResponse, From: 2, To: 1, Term: 4}))
	is.Equal(r.Status().Role, Leader)
	processReady(r)
	return r
}

// Guards against a leader that commits an entry of an older term because a majority holds it:
// a later leader could still replace that entry.
func TestOlderTermIsNotCommittedByCounting(t *testing.T) {
	is := is.New(t)
	r := electLeader(t, Entry{Index: 2, Term: 2, Data: []byte("old")})
	is.NoErr(r.Step(410*ms, Message{Type: AppendResponse, From: 2, Term: 4, Index: 2}))
	is.Equal(r.Status().Commit, uint64(1))
	is.NoErr(r.Step(410*ms, Message{Type: AppendResponse, From: 2, Term: 4, Index: 3}))
	is.Equal(r.Status().Commit, uint64(3))
}

// Guards against a vote within the minimum election timeout after a restart: the time of the
// last contact with a leader is not stored, so that leader may still hold a lease.
func TestNoVoteRightAfterStart(t *testing.T) {
	is := is.New(t)
	snap := Snapshot{Index: 1, Term: 1, Membership: Membership{Voters: []uint64{1, 2, 3}}}
	r, err := New(testConfig(1), 5*time.Second, HardState{Term: 1, Commit: 1}, snap, nil)
	is.NoErr(err)
	vote := Message{Type: Vote, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1}
	is.NoErr(r.Step(5*time.Second+149*ms, vote))
	is.Equal(len(processReady(r)), 0)
	is.NoErr(r.Step(5*time.Second+150*ms, vote))
	messages := processReady(r)
	is.Equal(len(messages), 1)
	is.True(!messages[0].Reject)
}

// Guards against a lease that starts when a late response arrives instead of when the round
// was sent.
func TestLeaseCountsFromRoundStart(t *testing.T) {
	is := is.New(t)
	r := electLeader(t)
	is.NoErr(r.Step(500*ms, Message{Type: AppendResponse, From: 2, Term: 4, Index: 2, SentAt: 400 * ms}))
	is.True(r.HoldsLease(534 * ms))
	is.True(!r.HoldsLease(535 * ms)) // 400 ms + 150 ms - 10%
}

// Guards against the promotion of a learner that lacks the log, and against a second
// membership change before the first is committed.
func TestMembershipChanges(t *testing.T) {
	is := is.New(t)
	r := electLeader(t)
	m := r.Status().Membership.WithLearner(9)
	_, _, err := r.ProposeMembership(400*ms, m)
	is.True(errors.Is(err, ErrMembershipPending)) // the first entry of the term is not committed
	is.NoErr(r.Step(410*ms, Message{Type: AppendResponse, From: 2, Term: 4, Index: 2, SentAt: 400 * ms}))
	_, _, err = r.ProposeMembership(410*ms, m.WithPromoted(9))
	is.True(errors.Is(err, ErrMembershipInvalid))
	_, _, err = r.ProposeMembership(410*ms, m)
	is.NoErr(err)
	processReady(r)
	_, _, err = r.ProposeMembership(410*ms, m.Without(9))
	is.True(errors.Is(err, ErrMembershipPending))
	is.NoErr(r.Step(420*ms, Message{Type: AppendResponse, From: 2, Term: 4, Index: 3, SentAt: 410 * ms}))
	_, _, err = r.ProposeMembership(420*ms, m.WithPromoted(9))
	is.True(errors.Is(err, ErrNotCaughtUp))
	is.NoErr(r.Step(430*ms, Message{Type: AppendResponse, From: 9, Term: 4, Index: 3, SentAt: 420 * ms}))
	_, _, err = r.ProposeMembership(430*ms, m.WithPromoted(9))
	is.NoErr(err)
}

// Guards against a leader that does not step down without contact with a quorum.
func TestLeaderStepsDownWithoutQuorum(t *testing.T) {
	is := is.New(t)
	r := electLeader(t)
	r.Tick(699 * ms)
	is.Equal(r.Status().Role, Leader)
	r.Tick(700 * ms)
	is.Equal(r.Status().Role, Follower)
}

// Guards against a lost Append message that is not sent again before the next proposal.
func TestLostAppendIsResent(t *testing.T) {
	is := is.New(t)
	r := electLeader(t)
	is.NoErr(r.Step(410*ms, Message{Type: AppendResponse, From: 2, Term: 4, Index: 2, SentAt: 400 * ms}))
	_, _, err := r.Propose(410*ms, []byte("lost"))
	is.NoErr(err)
	processReady(r)
	is.NoErr(r.Step(450*ms, Message{Type: HeartbeatResponse, From: 2, Term: 4, SentAt: 440 * ms}))
	messages := processReady(r)
	is.Equal(len(messages), 1)
	is.Equal(messages[0].Type, Append)
	is.Equal(messages[0].Index, uint64(2))
}

// Guards against a lease from a response to a message of an older term: the message was sent before
// this member restarted, when its clock showed a later time. The rejection carries the follower's
// term, which by then is the term that this member leads in.
func TestLeaseIgnoresResponsesToOlderTerms(t *testing.T) {
	for _, old := range []MessageType{Heartbeat, Append, InstallSnapshot} {
		is := is.New(t)
		r := electLeader(t)
		is.NoErr(r.Step(410*ms, Message{Type: AppendResponse, From: 2, Term: 4, Index: 2, SentAt: 400 * ms}))
		follower, err := New(testConfig(3), 0, HardState{Term: 4, Commit: 1},
			Snapshot{Index: 1, Term: 1, Membership: Membership{Voters: []uint64{1, 2, 3}}}, nil)
		is.NoErr(err)
		is.NoErr(follower.Step(10*ms, Message{Type: old, From: 1, To: 3, Term: 3, Index: 1, LogTerm: 1, SentAt: 530 * ms}))
		responses := processReady(follower)
		is.Equal(len(responses), 1)
		is.Equal(responses[0].Term, uint64(4))
		is.NoErr(r.Step(534*ms, responses[0]))
		is.True(!r.HoldsLease(535 * ms)) // 400 ms + 150 ms - 10%
		// A follower of an earlier version echoes the time.
		is.NoErr(r.Step(534*ms, Message{Type: AppendResponse, From: 3, Term: 4, Reject: true, SentAt: 9000 * ms}))
		is.True(!r.HoldsLease(535 * ms))
	}
}
