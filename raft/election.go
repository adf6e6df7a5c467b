package raft

import "time"

// campaign requests votes from all voters. A pre-vote changes no member's term or vote; it
// keeps a member that cannot win from increasing the term.
func (r *Raft) campaign(now time.Duration, pre bool) {
	r.leader = 0
	r.votes = map[uint64]bool{r.cfg.ID: true}
	request := Message{Type: PreVote, Term: r.term + 1, Index: r.log.lastIndex(), LogTerm: r.log.lastTerm()}
	r.role = PreCandidate
	if !pre {
		r.role = Candidate
		r.term++
		r.vote, r.received = r.cfg.ID, 0
		r.failedElections++
		r.votedAt = now
		request.Type = Vote
		r.resetElection(now)
	}
	for _, id := range r.members.current().Voters {
		if id != r.cfg.ID {
			request.To = id
			r.send(request)
		}
	}
	r.countVotes(now)
}

// countVotes starts the election after a won pre-vote, and makes a candidate the leader once
// a majority of the voters has voted for it.
func (r *Raft) countVotes(now time.Duration) {
	granted := 0
	voters := r.members.current().Voters
	for _, id := range voters {
		if r.votes[id] {
			granted++
		}
	}
	if granted <= len(voters)/2 {
		return
	}
	if r.role == PreCandidate {
		r.campaign(now, false)
		return
	}
	r.becomeLeader(now)
}

func (r *Raft) onVoteRequest(now time.Duration, m Message) {
	response := Message{Type: VoteResponse, To: m.From}
	if m.Type == PreVote {
		response.Type = PreVoteResponse
	}
	if m.Term < r.term {
		response.Reject = true
		r.send(response)
		return
	}
	// Leases depend on this rule: a member grants no vote while a leader may hold a lease that
	// is based on this member's responses.
	if r.role == Leader || now < r.lastContact+r.cfg.ElectionMin {
		return
	}
	if m.Type == PreVote && r.electionUnderWay(now) {
		return
	}
	if m.Type == Vote && m.Term > r.term {
		r.becomeFollower(now, m.Term, 0)
	}
	if !r.canGrantVote(m) {
		response.Reject = true
		r.send(response)
		return
	}
	if m.Type == Vote {
		r.votedAt = now
		r.vote = m.From
		r.resetElection(now)
	}
	response.Term = m.Term
	r.send(response)
}

// electionUnderWay reports whether this member has voted a moment ago, or syncs its vote. Another election would
// interrupt the first, again and again if syncs take longer than election timeouts.
func (r *Raft) electionUnderWay(now time.Duration) bool {
	return r.voteUnsynced() || now < r.votedAt+r.cfg.ElectionMin
}

// canGrantVote applies Raft's voting rules to a vote request of the current or a later term.
func (r *Raft) canGrantVote(m Message) bool {
	if !r.log.isUpToDate(m.Index, m.LogTerm) {
		return false
	}
	if m.Type == PreVote {
		return m.Term > r.term
	}
	return r.vote == 0 || r.vote == m.From
}

func (r *Raft) onVoteResponse(now time.Duration, m Message) {
	if m.Reject && m.Term > r.term {
		r.becomeFollower(now, m.Term, 0)
		return
	}
	if m.Reject {
		return
	}
	pre := m.Type == PreVoteResponse && r.role == PreCandidate && m.Term == r.term+1
	real := m.Type == VoteResponse && r.role == Candidate && m.Term == r.term
	if pre || real {
		r.votes[m.From] = true
		r.countVotes(now)
	}
}

func (r *Raft) becomeLeader(now time.Duration) {
	r.role, r.leader = Leader, r.cfg.ID
	r.failedElections = 0
	r.votes = nil
	r.leaderSince = now
	r.peers = make(map[uint64]*progress)
	r.syncPeers()
	// Entries of earlier terms are committed only together with a later entry of this term.
	r.appendAsLeader(Entry{Type: Noop})
	r.startRound(now)
}

// syncPeers adds the replication state of new members and drops that of removed ones.
func (r *Raft) syncPeers() {
	members := r.members.current()
	for id := range r.peers {
		if !members.IsVoter(id) && !members.IsLearner(id) {
			delete(r.peers, id)
		}
	}
	for _, id := range members.allIDs() {
		if _, known := r.peers[id]; !known && id != r.cfg.ID {
			r.peers[id] = &progress{next: r.log.lastIndex() + 1, probing: true, ackedSentAt: distantPast, lastSend: distantPast}
		}
	}
}
