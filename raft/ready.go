package raft

import (
	"slices"

	"github.com/juju/errors"
)

// Ready returns the work that is due. The caller does it and calls Advance. Proposals made
// since the last Ready share the messages to each peer.
func (r *Raft) Ready() Ready {
	if r.unsent && r.role == Leader {
		r.replicateAll(r.now)
	}
	r.unsent = false
	hs := HardState{Term: r.term, Vote: r.vote, Commit: r.log.commit}
	rd := Ready{
		HardState: hs,
		Entries:   r.log.slice(r.log.stable+1, r.log.lastIndex(), 0),
		Messages:  slices.Clone(r.messages),
		Snapshot:  r.install,
	}
	rd.Committed = r.log.slice(r.log.applied+1, r.log.commit, 0)
	voted := hs.Term != r.stored.Term || hs.Vote != r.stored.Vote
	rd.MustSync = voted || len(rd.Entries) > 0 || rd.Snapshot != nil
	rd.changed = rd.MustSync || hs != r.stored
	return rd
}

// Advance notes that the work of rd is done.
func (r *Raft) Advance(rd Ready) {
	r.stored = rd.HardState
	r.messages = r.messages[len(rd.Messages):]
	if rd.Snapshot != nil && r.install == rd.Snapshot {
		r.install = nil
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

// Compact notes a snapshot of the applied state and drops entries before it. A snapshot
// older than the present one is ignored; one of state not applied yet is an error.
func (r *Raft) Compact(s Snapshot) error {
	if s.Index <= r.log.snap.Index {
		return nil
	}
	if s.Index > r.log.applied {
		return errors.Errorf("snapshot at %d is beyond the applied index %d", s.Index, r.log.applied)
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
		FirstIndex: r.log.firstIndex(), LastIndex: r.log.lastIndex(),
		Membership: members.Clone(), MembershipPending: r.membershipPending(),
		SnapshotIndex: r.log.snap.Index, CommittedInTerm: r.committedInTerm(),
	}
	for _, id := range members.all() {
		if p, ok := r.peers[id]; ok {
			s.Peers = append(s.Peers, PeerStatus{ID: id, Voter: members.IsVoter(id), Match: p.match, LastContact: p.acked})
		}
	}
	return s
}
