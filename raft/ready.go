package raft

import "github.com/juju/errors"

// MessagesBeforeSync removes and returns the pending messages that may be sent while the work of a
// Ready is not done: they promise nothing that is not on disk. Proposals made since the last call are
// sent to each peer together.
//
// Load pattern: the disk takes longer for a sync than a leader may be silent. Heartbeats and their
// responses keep the leader and its lease meanwhile.
func (r *Raft) MessagesBeforeSync() []Message {
	r.sendProposals()
	if r.voteUnsynced() {
		return nil
	}
	var free, held []Message
	for _, m := range r.messages {
		if m.dependsOnSync() {
			held = append(held, m)
		} else {
			free = append(free, m)
		}
	}
	r.messages = held
	return free
}

// voteUnsynced reports whether the term or the vote is not on disk yet.
func (r *Raft) voteUnsynced() bool {
	return r.term != r.storedState.Term || r.vote != r.storedState.Vote
}

// dependsOnSync reports whether the message acknowledges entries, a snapshot or a vote.
func (m Message) dependsOnSync() bool {
	return !m.Reject && (m.Type == AppendResponse || m.Type == VoteResponse)
}

func (r *Raft) sendProposals() {
	if r.hasUnsentProposals && r.role == Leader {
		r.replicateAll(r.now)
	}
	r.hasUnsentProposals = false
}

// Ready returns the pending work. The caller does it and then calls Advance; until then it may call
// any other method.
func (r *Raft) Ready() Ready {
	r.sendProposals()
	hs := HardState{Term: r.term, Vote: r.vote, Commit: r.log.commit}
	rd := Ready{
		HardState: hs,
		Entries:   r.log.slice(r.log.stable+1, r.log.lastIndex(), 0),
		Messages:  r.messages,
		Snapshot:  r.unsavedSnapshot,
	}
	r.messages = nil
	rd.Committed = r.log.slice(r.log.applied+1, r.log.commit, 0)
	rd.MustSync = r.voteUnsynced() || len(rd.Entries) > 0 || rd.Snapshot != nil
	rd.hardStateChanged = rd.MustSync || hs != r.storedState
	return rd
}

// Advance records that the work of rd, the result of the last call of Ready, is done.
func (r *Raft) Advance(rd Ready) {
	r.storedState = rd.HardState
	r.behindSince = distantPast
	if rd.Snapshot != nil && r.unsavedSnapshot == rd.Snapshot {
		r.unsavedSnapshot = nil
	}
	if n := len(rd.Committed); n > 0 {
		r.log.applied = max(r.log.applied, rd.Committed[n-1].Index)
	}
	if n := len(rd.Entries); n > 0 {
		last := rd.Entries[n-1]
		if r.log.matches(last.Index, last.Term) {
			r.log.stable = max(r.log.stable, last.Index)
		}
	}
	if r.role == Leader {
		r.advanceCommit(r.now)
	}
}

// Compact records a snapshot of the applied state and drops log entries before it. It ignores
// a snapshot that is not newer than the current one, and returns an error for a snapshot
// beyond the applied index.
func (r *Raft) Compact(s Snapshot) error {
	if s.Index <= r.log.snap.Index {
		return nil
	}
	if s.Index > r.log.applied {
		return errors.Errorf("snapshot index %d is beyond the applied index %d", s.Index, r.log.applied)
	}
	r.log.compact(s)
	r.members = r.members.compacted(s.Index)
	return nil
}

// Status returns a copy of the member's state.
func (r *Raft) Status() Status {
	members := r.members.current().Membership
	s := Status{
		ID: r.cfg.ID, Role: r.role, Term: r.term, Leader: r.leader,
		Commit: r.log.commit, Applied: r.log.applied,
		FirstIndex: r.log.firstIndex(), LastIndex: r.log.lastIndex(), LogBytes: r.log.bytes,
		Membership: members.Clone(), MembershipPending: r.membershipPending(),
		SnapshotIndex: r.log.snap.Index, CommittedInTerm: r.committedInTerm(),
	}
	for _, id := range members.allIDs() {
		if p, ok := r.peers[id]; ok {
			s.Peers = append(s.Peers, PeerStatus{ID: id, Voter: members.IsVoter(id), Match: p.match, LastContact: p.ackedSentAt})
		}
	}
	return s
}
