package raft

import (
	"slices"
	"time"

	"github.com/juju/errors"
)

// indexedMembership is a membership with the index of the log entry that set it.
type indexedMembership struct {
	index uint64
	Membership
}

// membershipHistory holds the membership of the snapshot and those set by later entries. The
// last one is in force as soon as its entry is in the log, committed or not.
type membershipHistory []indexedMembership

func (ms membershipHistory) current() indexedMembership { return ms[len(ms)-1] }

// truncated returns the history without the memberships set by entries at and after index.
func (ms membershipHistory) truncated(index uint64) membershipHistory {
	for len(ms) > 1 && ms.current().index >= index {
		ms = ms[:len(ms)-1]
	}
	return ms
}

// compacted returns the history without the memberships that were replaced at or before index.
func (ms membershipHistory) compacted(index uint64) membershipHistory {
	for len(ms) > 1 && ms[1].index <= index {
		ms = ms[1:]
	}
	return ms
}

// withEntry returns the history with the membership that e sets, if e is a MembershipChange.
func (ms membershipHistory) withEntry(e Entry) (membershipHistory, error) {
	if e.Type != MembershipChange {
		return ms, nil
	}
	m, err := DecodeMembership(e.Data)
	if err != nil {
		return ms, err
	}
	return append(ms, indexedMembership{index: e.Index, Membership: m}), nil
}

// Clone returns a deep copy.
func (m Membership) Clone() Membership {
	return Membership{
		Voters:   slices.Clone(m.Voters),
		Learners: slices.Clone(m.Learners),
		Context:  slices.Clone(m.Context),
	}
}

// IsVoter reports whether the member is a voter.
func (m Membership) IsVoter(id uint64) bool { return slices.Contains(m.Voters, id) }

// IsLearner reports whether the member is a learner, which receives the log but has no vote.
func (m Membership) IsLearner(id uint64) bool { return slices.Contains(m.Learners, id) }

// WithLearner returns a copy of the membership with a new learner.
func (m Membership) WithLearner(id uint64) Membership {
	next := m.Clone()
	next.Learners = insertSorted(next.Learners, id)
	return next
}

// WithPromoted returns a copy of the membership with the learner as a voter.
func (m Membership) WithPromoted(id uint64) Membership {
	next := m.Without(id)
	next.Voters = insertSorted(next.Voters, id)
	return next
}

// Without returns a copy of the membership without the member.
func (m Membership) Without(id uint64) Membership {
	next := m.Clone()
	same := func(other uint64) bool { return other == id }
	next.Voters = slices.DeleteFunc(next.Voters, same)
	next.Learners = slices.DeleteFunc(next.Learners, same)
	return next
}

// allIDs returns the ids of voters and learners in ascending order.
func (m Membership) allIDs() []uint64 {
	ids := append(slices.Clone(m.Voters), m.Learners...)
	slices.Sort(ids)
	return ids
}

// insertSorted inserts id into a sorted list unless it is there already.
func insertSorted(ids []uint64, id uint64) []uint64 {
	at, found := slices.BinarySearch(ids, id)
	if found {
		return ids
	}
	return slices.Insert(ids, at, id)
}

// validateChange permits the addition of one learner, the promotion of one learner, the
// removal of one member, or a change of the context alone. Majorities of consecutive
// memberships then always overlap. It returns the id of the promoted learner, or 0.
func validateChange(old, next Membership) (promoted uint64, err error) {
	if len(next.Voters) == 0 || !idsAscending(next) {
		return 0, errors.Annotate(ErrMembershipInvalid, "no voters, or ids not in ascending order")
	}
	changes := 0
	for _, id := range union(old.allIDs(), next.allIDs()) {
		before, after := kindOf(old, id), kindOf(next, id)
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
		return 0, errors.Annotatef(ErrMembershipInvalid, "%d members changed at once", changes)
	}
	return promoted, nil
}

type memberKind uint8

const (
	absent memberKind = iota
	learner
	voter
)

func kindOf(m Membership, id uint64) memberKind {
	switch {
	case m.IsVoter(id):
		return voter
	case m.IsLearner(id):
		return learner
	default:
		return absent
	}
}

func idsAscending(m Membership) bool {
	for _, ids := range [][]uint64{m.Voters, m.Learners, m.allIDs()} {
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

// ProposeMembership appends a membership change and returns the index and term of its entry.
// The change takes effect at once, before it is committed. It returns ErrNotLeader,
// ErrMembershipPending, ErrMembershipInvalid or ErrNotCaughtUp.
func (r *Raft) ProposeMembership(now time.Duration, m Membership) (index, term uint64, err error) {
	if r.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if r.membershipPending() || !r.committedInTerm() {
		return 0, 0, ErrMembershipPending
	}
	promoted, err := validateChange(r.members.current().Membership, m)
	if err != nil {
		return 0, 0, err
	}
	if promoted != 0 && !r.caughtUp(now, promoted) {
		return 0, 0, ErrNotCaughtUp
	}
	index = r.appendAsLeader(Entry{Type: MembershipChange, Data: EncodeMembership(m)})
	r.replicateAll(now)
	return index, r.term, nil
}

// CaughtUp reports whether this member leads and the learner is in contact and close enough
// to the commit index to be promoted.
func (r *Raft) CaughtUp(now time.Duration, id uint64) bool {
	return r.role == Leader && r.caughtUp(now, id)
}

func (r *Raft) caughtUp(now time.Duration, id uint64) bool {
	p, ok := r.peers[id]
	return ok && p.match > 0 && p.match+maxPromotionLag >= r.log.commit && p.ackedSentAt+r.cfg.ElectionMax > now
}

func (r *Raft) membershipPending() bool { return r.members.current().index > r.log.commit }
