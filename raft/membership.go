package raft

import (
	"slices"
	"time"

	"github.com/juju/errors"
)

// membershipAt is a membership with the log index that set it.
type membershipAt struct {
	index uint64
	Membership
}

// memberships holds the membership of the snapshot and those of later entries. The last
// one is in force as soon as it is in the log, committed or not.
type memberships []membershipAt

func (ms memberships) current() membershipAt { return ms[len(ms)-1] }

// truncated drops memberships set by entries at and after index.
func (ms memberships) truncated(index uint64) memberships {
	for len(ms) > 1 && ms.current().index >= index {
		ms = ms[:len(ms)-1]
	}
	return ms
}

// compacted drops memberships that were replaced at or before index.
func (ms memberships) compacted(index uint64) memberships {
	for len(ms) > 1 && ms[1].index <= index {
		ms = ms[1:]
	}
	return ms
}

func (ms memberships) added(e Entry) (memberships, error) {
	if e.Type != MembershipChange {
		return ms, nil
	}
	m, err := DecodeMembership(e.Data)
	if err != nil {
		return ms, err
	}
	return append(ms, membershipAt{index: e.Index, Membership: m}), nil
}

// Clone returns a deep copy.
func (m Membership) Clone() Membership {
	return Membership{
		Voters:   slices.Clone(m.Voters),
		Learners: slices.Clone(m.Learners),
		Context:  slices.Clone(m.Context),
	}
}

// IsVoter says whether the member votes.
func (m Membership) IsVoter(id uint64) bool { return slices.Contains(m.Voters, id) }

// IsLearner says whether the member only receives the log.
func (m Membership) IsLearner(id uint64) bool { return slices.Contains(m.Learners, id) }

// WithLearner returns the membership with a new learner.
func (m Membership) WithLearner(id uint64) Membership {
	next := m.Clone()
	next.Learners = insert(next.Learners, id)
	return next
}

// WithPromoted returns the membership with the learner as a voter.
func (m Membership) WithPromoted(id uint64) Membership {
	next := m.Without(id)
	next.Voters = insert(next.Voters, id)
	return next
}

// Without returns the membership without the member.
func (m Membership) Without(id uint64) Membership {
	next := m.Clone()
	same := func(other uint64) bool { return other == id }
	next.Voters = slices.DeleteFunc(next.Voters, same)
	next.Learners = slices.DeleteFunc(next.Learners, same)
	return next
}

func (m Membership) all() []uint64 {
	ids := append(slices.Clone(m.Voters), m.Learners...)
	slices.Sort(ids)
	return ids
}

func insert(ids []uint64, id uint64) []uint64 {
	at, found := slices.BinarySearch(ids, id)
	if found {
		return ids
	}
	return slices.Insert(ids, at, id)
}

// checkStep permits exactly one added learner, one promoted learner or one removed
// member, or a change of the context alone. Majorities of consecutive memberships
// then always overlap.
func checkStep(old, next Membership) (promoted uint64, err error) {
	if len(next.Voters) == 0 || !ascending(next) {
		return 0, errors.Annotate(ErrMembershipInvalid, "no voters, or ids not in order")
	}
	changes := 0
	for _, id := range union(old.all(), next.all()) {
		before, after := kind(old, id), kind(next, id)
		if before == after {
			continue
		}
		changes++
		switch {
		case before == learner && after == voter:
			promoted = id
		case before == absent && after == voter, before == voter && after == learner:
			return 0, errors.Annotatef(ErrMembershipInvalid, "member %x must be a learner first", id)
		}
	}
	if changes > 1 {
		return 0, errors.Annotatef(ErrMembershipInvalid, "%d changes at once", changes)
	}
	return promoted, nil
}

type memberKind uint8

const (
	absent memberKind = iota
	learner
	voter
)

func kind(m Membership, id uint64) memberKind {
	switch {
	case m.IsVoter(id):
		return voter
	case m.IsLearner(id):
		return learner
	default:
		return absent
	}
}

func ascending(m Membership) bool {
	for _, ids := range [][]uint64{m.Voters, m.Learners, m.all()} {
		for i := 1; i < len(ids); i++ {
			if ids[i-1] >= ids[i] {
				return false
			}
		}
	}
	return true
}

func union(a, b []uint64) []uint64 {
	ids := append(slices.Clone(a), b...)
	slices.Sort(ids)
	return slices.Compact(ids)
}

// ProposeMembership appends a membership change, which takes effect at once. It
// returns ErrNotLeader, ErrMembershipPending, ErrMembershipInvalid or ErrNotCaughtUp.
func (r *Raft) ProposeMembership(now time.Duration, m Membership) (index, term uint64, err error) {
	if r.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if r.membershipPending() || !r.committedInTerm() {
		return 0, 0, ErrMembershipPending
	}
	promoted, err := checkStep(r.members.current().Membership, m)
	if err != nil {
		return 0, 0, err
	}
	if promoted != 0 && !r.caughtUp(now, promoted) {
		return 0, 0, ErrNotCaughtUp
	}
	index = r.appendOwn(Entry{Type: MembershipChange, Data: EncodeMembership(m)})
	r.replicateAll(now)
	return index, r.term, nil
}

// CaughtUp says whether the leader has seen the learner within reach of the commit index.
func (r *Raft) CaughtUp(now time.Duration, id uint64) bool {
	return r.role == Leader && r.caughtUp(now, id)
}

func (r *Raft) caughtUp(now time.Duration, id uint64) bool {
	p, ok := r.peers[id]
	return ok && p.match > 0 && p.match+catchUpEntries >= r.log.commit && p.acked+r.cfg.ElectionMax > now
}

func (r *Raft) membershipPending() bool { return r.members.current().index > r.log.commit }
