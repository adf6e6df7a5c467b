package raft

import (
	"math"
	"slices"
	"time"
)

// LeaseUntil returns the time until which this member is certainly the only leader, or 0 if
// it holds no lease. It is the send time of the latest messages that a quorum has answered
// plus the minimum election timeout, less 10% for clocks that run at different speeds.
func (r *Raft) LeaseUntil(now time.Duration) time.Duration {
	if r.role != Leader || !r.committedInTerm() {
		return 0
	}
	acked := r.quorumAckedSentAt(now)
	if acked == distantPast {
		return 0
	}
	if r.isSoleVoter() {
		return math.MaxInt64
	}
	return acked + r.cfg.ElectionMin - r.cfg.ElectionMin/10
}

// HoldsLease reports whether this member was the only possible leader at the time now. To
// serve a request under the lease, the caller reads the clock after it has received the
// request.
func (r *Raft) HoldsLease(now time.Duration) bool { return now < r.LeaseUntil(now) }

func (r *Raft) isSoleVoter() bool {
	voters := r.members.current().Voters
	return len(voters) == 1 && voters[0] == r.cfg.ID
}

// quorumAckedSentAt returns the latest time such that a majority of the voters has answered
// a message of this term that was sent then or later.
func (r *Raft) quorumAckedSentAt(now time.Duration) time.Duration {
	voters := r.members.current().Voters
	times := make([]time.Duration, 0, len(voters))
	for _, id := range voters {
		times = append(times, r.peerAckedSentAt(id, now))
	}
	slices.Sort(times)
	return times[(len(times)-1)/2]
}

// peerAckedSentAt returns the send time of the latest message that the member has answered:
// now for this member, distantPast if there is none.
func (r *Raft) peerAckedSentAt(id uint64, now time.Duration) time.Duration {
	if id == r.cfg.ID {
		return now
	}
	if p, ok := r.peers[id]; ok {
		return p.ackedSentAt
	}
	return distantPast
}
