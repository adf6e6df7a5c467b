package raft

import (
	"math"
	"slices"
	"time"
)

// LeaseUntil returns the time before which no other member can be elected, as far as
// this leader knows, or 0. It is the send time of the latest round that a quorum has
// answered plus the minimum election timeout, less 10% for clocks of different speed.
func (r *Raft) LeaseUntil(now time.Duration) time.Duration {
	if r.role != Leader || !r.committedInTerm() {
		return 0
	}
	acked := r.quorumAcked(now)
	if acked == never {
		return 0
	}
	if r.isSoleVoter() {
		return math.MaxInt64
	}
	return acked + r.cfg.ElectionMin - r.cfg.ElectionMin/10
}

// HoldsLease says whether this member was the only possible leader at the time now.
// The caller reads now after it has received what it wants to answer.
func (r *Raft) HoldsLease(now time.Duration) bool { return now < r.LeaseUntil(now) }

func (r *Raft) isSoleVoter() bool {
	voters := r.members.current().Voters
	return len(voters) == 1 && voters[0] == r.cfg.ID
}

// quorumAcked returns the latest send time such that a majority of the voters has
// answered a message of this term sent then or later.
func (r *Raft) quorumAcked(now time.Duration) time.Duration {
	voters := r.members.current().Voters
	times := make([]time.Duration, 0, len(voters))
	for _, id := range voters {
		times = append(times, r.ackedBy(id, now))
	}
	slices.Sort(times)
	return times[(len(times)-1)/2]
}

func (r *Raft) ackedBy(id uint64, now time.Duration) time.Duration {
	if id == r.cfg.ID {
		return now
	}
	if p, ok := r.peers[id]; ok {
		return p.acked
	}
	return never
}
