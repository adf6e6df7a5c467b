package raft

import (
	"time"

	"github.com/juju/errors"
)

// onLeaderMessage handles an Append, Heartbeat or InstallSnapshot message and responds to it.
func (r *Raft) onLeaderMessage(now time.Duration, m Message) error {
	response := Message{Type: AppendResponse, To: m.From, SentAt: m.SentAt, Index: m.Index}
	if m.Type == Heartbeat {
		response.Type = HeartbeatResponse
	}
	if m.Term < r.term {
		// The higher term in the response makes the leader of an older term step down. The response
		// echoes nothing: the sender may have restarted, and may lead in the higher term by now.
		r.send(Message{Type: HeartbeatResponse, To: m.From, Reject: true})
		return nil
	}
	if r.role == Leader && m.Term == r.term {
		return errors.Errorf("two leaders in term %d: members %x and %x", m.Term, r.cfg.ID, m.From)
	}
	r.failedElections = 0
	r.becomeFollower(now, m.Term, m.From)
	r.lastContact = now
	switch m.Type {
	case Heartbeat:
		r.commitTo(min(m.Commit, r.log.lastIndex()))
		response.Hint = r.received
		if r.unsavedSnapshot == nil {
			response.Index = min(r.received, r.log.stable)
		}
	case Append:
		if err := r.onAppend(m, &response); err != nil {
			return err
		}
	case InstallSnapshot:
		if m.Snapshot == nil {
			return errors.Errorf("InstallSnapshot message from member %x has no snapshot", m.From)
		}
		response.Index = r.onSnapshot(*m.Snapshot)
	}
	if m.Type != Heartbeat && !response.Reject {
		r.received = max(r.received, response.Index)
	}
	r.send(response)
	return nil
}

func (r *Raft) onAppend(m Message, response *Message) error {
	last := m.Index + uint64(len(m.Entries))
	if last <= r.log.commit {
		response.Index = r.log.commit
		return nil
	}
	if m.Index < r.log.baseIndex {
		skip := r.log.baseIndex - m.Index
		m.Entries = m.Entries[skip:]
	} else if !r.log.matches(m.Index, m.LogTerm) {
		response.Reject = true
		response.Hint = r.log.rejectionHint(m.Index)
		return nil
	}
	newEntries := m.Entries[r.log.firstConflict(m.Entries):]
	if err := r.replaceTail(newEntries); err != nil {
		return err
	}
	r.commitTo(min(m.Commit, last))
	response.Index = last
	return nil
}

// replaceTail truncates the log before the first of entries and appends them. It returns an
// error if that would replace a committed entry.
func (r *Raft) replaceTail(entries []Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if entries[0].Index <= r.log.commit {
		return errors.Errorf("entry %d conflicts with a committed entry", entries[0].Index)
	}
	members := r.members.truncated(entries[0].Index)
	members = members[:len(members):len(members)]
	var err error
	for _, e := range entries {
		if members, err = members.withEntry(e); err != nil {
			return err
		}
	}
	r.members = members
	r.log.append(entries...)
	return nil
}

func (r *Raft) commitTo(index uint64) { r.log.commit = max(r.log.commit, index) }

// onSnapshot replaces the log with a snapshot unless the log already holds the snapshot's
// last entry. It returns the index up to which this log then matches the leader's.
func (r *Raft) onSnapshot(s Snapshot) uint64 {
	if s.Index <= r.log.commit {
		return r.log.commit
	}
	if r.log.matches(s.Index, s.Term) {
		r.commitTo(s.Index)
		return s.Index
	}
	r.log.reset(s)
	r.members = membershipHistory{{index: s.Index, Membership: s.Membership}}
	r.unsavedSnapshot = &s
	return s.Index
}
