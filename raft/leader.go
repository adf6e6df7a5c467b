package raft

import (
	"slices"
	"time"
)

// snapshotRetry is the number of maximum election timeouts after which a snapshot that
// was not acknowledged is sent again.
const snapshotRetry = 3

// round sends a heartbeat to every peer, and entries to those that lack some.
func (r *Raft) round(now time.Duration) {
	r.lastRound = now
	for _, id := range r.members.current().all() {
		p, ok := r.peers[id]
		if !ok {
			continue
		}
		r.send(Message{Type: Heartbeat, To: id, Commit: min(p.match, r.log.commit), SentAt: now})
		if p.probing && now >= p.lastSend+r.cfg.ElectionMin {
			// The probe or its answer was lost.
			p.inflight = nil
		}
		r.replicate(now, id, p)
	}
}

func (r *Raft) replicateAll(now time.Duration) {
	for _, id := range r.members.current().all() {
		if p, ok := r.peers[id]; ok {
			r.replicate(now, id, p)
		}
	}
}

// replicate sends what the peer lacks, within the bound on messages in flight.
func (r *Raft) replicate(now time.Duration, id uint64, p *progress) {
	for p.next <= r.log.lastIndex() && len(p.inflight) < p.window() {
		if p.next <= r.log.baseIndex {
			r.sendSnapshot(now, id, p)
			return
		}
		r.sendEntries(now, id, p)
	}
}

func (p *progress) window() int {
	if p.probing {
		return 1
	}
	return maxInflight
}

func (r *Raft) sendEntries(now time.Duration, id uint64, p *progress) {
	p.snapshot = 0
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

func (r *Raft) sendSnapshot(now time.Duration, id uint64, p *progress) {
	if p.snapshot != 0 && now < p.snapshotAt+snapshotRetry*r.cfg.ElectionMax {
		return
	}
	snap := r.log.snap
	p.snapshot, p.snapshotAt = snap.Index, now
	r.send(Message{Type: InstallSnapshot, To: id, Snapshot: &snap, SentAt: now})
}

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
	p.acked = max(p.acked, m.SentAt)
	switch {
	case m.Type == HeartbeatResponse:
		r.checkLost(p, m)
	case m.Reject:
		r.onReject(p, m)
	default:
		r.onAcknowledged(now, p, m.Index)
	}
	if r.role == Leader {
		r.replicate(now, m.From, p)
	}
}

// checkLost goes back to the acknowledged index when a heartbeat sent after the last
// append is answered before it. Links keep the order of messages unless they lose some.
func (r *Raft) checkLost(p *progress, m Message) {
	if !p.probing && m.SentAt > p.lastSend && p.match < p.next-1 {
		p.probe(p.match + 1)
	}
}

func (p *progress) probe(next uint64) {
	p.probing, p.next, p.inflight = true, next, nil
}

func (r *Raft) onReject(p *progress, m Message) {
	if m.Index <= p.match || (p.probing && m.Index != p.next-1) {
		return // answers an older message
	}
	p.probe(max(p.match+1, min(m.Index, m.Hint+1)))
}

func (r *Raft) onAcknowledged(now time.Duration, p *progress, index uint64) {
	if index > r.log.lastIndex() {
		return // only a faulty peer acknowledges what was not sent
	}
	p.inflight = slices.DeleteFunc(p.inflight, func(last uint64) bool { return last <= index })
	if index > p.match {
		p.match = index
		p.probing = false
		p.snapshot = 0
	}
	p.next = max(p.next, p.match+1)
	if p.probing && index >= p.next-1 {
		p.probing = false
	}
	r.advanceCommit(now)
}

// advanceCommit commits up to the highest index of this term that a majority has synced.
func (r *Raft) advanceCommit(now time.Duration) {
	voters := r.members.current().Voters
	matches := make([]uint64, 0, len(voters))
	for _, id := range voters {
		matches = append(matches, r.matchOf(id))
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	if index <= r.log.commit || !r.log.matches(index, r.term) {
		return
	}
	r.log.commit = index
	if current := r.members.current(); index >= current.index && !r.isVoter() {
		// This leader has removed itself; one last round tells the others.
		r.round(now)
		r.becomeFollower(now, r.term, 0)
	}
}

func (r *Raft) matchOf(id uint64) uint64 {
	if id == r.cfg.ID {
		return r.log.stable
	}
	if p, ok := r.peers[id]; ok {
		return p.match
	}
	return 0
}
