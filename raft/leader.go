package raft

import (
	"slices"
	"time"
)

// snapshotResendTimeouts is how many maximum election timeouts the leader waits for the
// acknowledgement of a snapshot before it sends it again.
const snapshotResendTimeouts = 3

// startRound sends a heartbeat to every peer, and missing entries to those that are behind.
func (r *Raft) startRound(now time.Duration) {
	r.lastRound = now
	for _, id := range r.members.current().allIDs() {
		p, ok := r.peers[id]
		if !ok {
			continue
		}
		r.send(Message{Type: Heartbeat, To: id, Commit: min(p.match, r.log.commit), SentAt: now})
		if p.probing && now >= p.lastSend+r.cfg.ElectionMin && !p.receivedInflight() {
			// The probe or its response was lost.
			p.inflight = nil
		}
		r.replicate(now, id, p)
	}
}

func (r *Raft) replicateAll(now time.Duration) {
	for _, id := range r.members.current().allIDs() {
		if p, ok := r.peers[id]; ok {
			r.replicate(now, id, p)
		}
	}
}

// replicate sends the entries that the peer lacks, or the snapshot if the log does not hold
// them any more, up to the limit on Append messages in flight.
func (r *Raft) replicate(now time.Duration, id uint64, p *progress) {
	for p.next <= r.log.lastIndex() && len(p.inflight) < p.inflightLimit() {
		if p.next <= r.log.baseIndex {
			r.sendSnapshot(now, id, p)
			return
		}
		r.sendEntries(now, id, p)
	}
}

// inflightLimit returns the maximum number of unacknowledged Append messages.
func (p *progress) inflightLimit() int {
	if p.probing {
		return 1
	}
	return maxInflightAppends
}

// receivedInflight reports whether the peer has received all entries in flight and is still syncing them.
func (p *progress) receivedInflight() bool {
	return len(p.inflight) > 0 && p.received >= p.inflight[len(p.inflight)-1]
}

func (r *Raft) sendEntries(now time.Duration, id uint64, p *progress) {
	p.pendingSnapshot = 0
	prev := p.next - 1
	term, _ := r.log.term(prev)
	entries := r.log.slice(p.next, r.log.lastIndex(), MaxEntryBytes)
	last := entries[len(entries)-1].Index
	r.send(Message{
		Type: Append, To: id, Index: prev, LogTerm: term,
		Entries: entries, Commit: r.log.commit, SentAt: now,
	})
	p.lastSend = now
	p.inflight = append(p.inflight, last)
	if !p.probing {
		p.next = last + 1
	}
}

// sendSnapshot sends the snapshot unless one was sent recently and is not acknowledged.
func (r *Raft) sendSnapshot(now time.Duration, id uint64, p *progress) {
	if p.pendingSnapshot != 0 && now < p.snapshotSentAt+snapshotResendTimeouts*r.cfg.ElectionMax {
		return
	}
	snap := r.log.snap
	p.pendingSnapshot, p.snapshotSentAt = snap.Index, now
	r.send(Message{Type: InstallSnapshot, To: id, Snapshot: &snap, SentAt: now})
}

// onFollowerMessage handles a response to a message of this leader.
func (r *Raft) onFollowerMessage(now time.Duration, m Message) {
	if m.Term > r.term {
		r.becomeFollower(now, m.Term, 0)
		return
	}
	if r.role != Leader || m.Term < r.term {
		return
	}
	p, ok := r.peers[m.From]
	if !ok {
		return
	}
	if m.SentAt >= r.leaderSince && m.SentAt <= now {
		// Any other time is of a message of an older term, by the clock of this member before a restart.
		p.ackedSentAt = max(p.ackedSentAt, m.SentAt)
	}
	switch {
	case m.Type == HeartbeatResponse && m.Reject: // response to a message of an older term
	case m.Type == HeartbeatResponse:
		p.received = m.Hint
		if m.Index > p.match {
			r.onAppendAccepted(now, p, m.Index)
		}
		r.detectLostAppend(p, m)
	case m.Reject:
		r.onAppendRejected(p, m)
	default:
		r.onAppendAccepted(now, p, m.Index)
	}
	if r.role == Leader {
		r.replicate(now, m.From, p)
	}
}

// detectLostAppend resumes after the last acknowledged index when the peer has answered a
// heartbeat that was sent after the last Append, and has not received that Append. Links preserve the
// order of messages, so the Append was lost.
func (r *Raft) detectLostAppend(p *progress, m Message) {
	if !p.probing && m.SentAt > p.lastSend && max(p.match, p.received) < p.next-1 {
		p.probe(p.match + 1)
	}
}

// probe continues with the entry at next, one Append at a time until one is accepted.
func (p *progress) probe(next uint64) {
	p.probing, p.next, p.inflight = true, next, nil
}

func (r *Raft) onAppendRejected(p *progress, m Message) {
	if m.Index <= p.match || (p.probing && m.Index != p.next-1) {
		return // response to an older message
	}
	p.probe(max(p.match+1, min(m.Index, m.Hint+1)))
}

func (r *Raft) onAppendAccepted(now time.Duration, p *progress, index uint64) {
	if index > r.log.lastIndex() {
		return // only a faulty peer acknowledges an entry that was not sent
	}
	p.inflight = slices.DeleteFunc(p.inflight, func(last uint64) bool { return last <= index })
	if index > p.match {
		p.match = index
		p.probing = false
		p.pendingSnapshot = 0
	}
	p.next = max(p.next, p.match+1)
	if p.probing && index >= p.next-1 {
		p.probing = false
	}
	r.advanceCommit(now)
}

// advanceCommit raises the commit index to the highest index that a majority of the voters
// has synced, if its entry is of this term.
func (r *Raft) advanceCommit(now time.Duration) {
	voters := r.members.current().Voters
	matches := make([]uint64, 0, len(voters))
	for _, id := range voters {
		matches = append(matches, r.matchIndex(id))
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	if index <= r.log.commit || !r.log.matches(index, r.term) {
		return
	}
	r.log.commit = index
	if current := r.members.current(); index >= current.index && !r.isVoter() {
		// This leader has removed itself; a last round sends the commit index to the others.
		r.startRound(now)
		r.becomeFollower(now, r.term, 0)
	}
}

// matchIndex returns the last index that the member is known to have synced.
func (r *Raft) matchIndex(id uint64) uint64 {
	if id == r.cfg.ID {
		return r.log.stable
	}
	if p, ok := r.peers[id]; ok {
		return p.match
	}
	return 0
}
