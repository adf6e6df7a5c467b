package replica

import (
	"context"
	"slices"
	"time"

	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/raft"
	"github.com/zinniapier/zinniapier/rpc"
)

// Members returns the members of the group in the latest membership that this member knows.
func (r *Replica) Members() []Member {
	p := r.published.Load()
	if p == nil {
		return nil
	}
	members := make([]Member, 0, len(p.roster.Members))
	for _, m := range p.roster.Members {
		members = append(members, p.describe(m, r.now()))
	}
	return members
}

func (p *published) describe(m record, now time.Duration) Member {
	member := Member{
		Name: m.Name, ID: m.ID, Address: m.Address, OperatorAddress: m.OperatorAddress,
		Voter: p.status.Membership.IsVoter(m.ID), LastContact: -1,
	}
	if m.ID == p.status.ID {
		member.Match, member.LastContact = p.status.LastIndex, 0
	}
	for _, peer := range p.status.Peers {
		if peer.ID == m.ID {
			member.Match = peer.Match
			if peer.LastContact >= 0 {
				member.LastContact = now - peer.LastContact
			}
		}
	}
	return member
}

// runOnLoop runs f on the raft goroutine and waits until it returns.
func (r *Replica) runOnLoop(ctx context.Context, f func(*loop)) error {
	done := make(chan struct{})
	select {
	case r.calls <- func(l *loop) { f(l); close(done) }:
	case <-ctx.Done():
		return errkind.New(errkind.NoQuorum, "not started: %v", ctx.Err())
	case <-r.stopped:
		return errkind.New(errkind.NoQuorum, "not started: the member has stopped")
	}
	select {
	case <-done:
		return nil
	case <-r.stopped:
		return errkind.New(errkind.NoQuorum, "outcome unknown: the member has stopped")
	}
}

// changeMembership proposes the membership that f returns and waits until it is committed. It does
// nothing if f returns false.
func (r *Replica) changeMembership(ctx context.Context, f func(*loop) (raft.Membership, bool, error)) error {
	ctx, cancel := r.withProposeTimeout(ctx)
	defer cancel()
	done := make(chan outcome, 1)
	err := r.runOnLoop(ctx, func(l *loop) {
		m, changed, err := f(l)
		if err != nil || !changed {
			done <- outcome{err: err}
			return
		}
		index, term, err := l.core.ProposeMembership(r.now(), m)
		l.awaitApplied(index, term, err, done)
	})
	if err != nil {
		return err
	}
	_, _, err = r.awaitOutcome(ctx, done)
	return err
}

// AddMember adds a running member with an empty disk as a learner; it is promoted once it
// has caught up. Errors: NotLeader, NoQuorum, NodeUnreachable, Invalid, Conflict.
func (r *Replica) AddMember(ctx context.Context, peer Peer) error {
	if p := r.published.Load(); p == nil || !p.ready {
		return r.notLeaderError()
	}
	reply, err := r.query(ctx, peer.Address)
	if err != nil {
		return err
	}
	if reply.Name != peer.Name {
		return errkind.New(errkind.Invalid, "the member at %s is %q, not %q", peer.Address, reply.Name, peer.Name)
	}
	if reply.Cluster != 0 && reply.Cluster != r.self().Cluster {
		return errkind.New(errkind.Invalid, "member %q belongs to another group", peer.Name)
	}
	return r.changeMembership(ctx, func(l *loop) (raft.Membership, bool, error) { return l.withMember(recordFromReply(reply)) })
}

// RemoveMember removes a member, whose id can never join again. It fails with Conflict if fewer
// than a majority of the remaining voters are in contact. Errors: NotLeader, NoQuorum, NotFound,
// Conflict.
func (r *Replica) RemoveMember(ctx context.Context, id uint64) error {
	return r.changeMembership(ctx, func(l *loop) (raft.Membership, bool, error) {
		if _, known := l.roster.find(id); !known {
			return raft.Membership{}, false, errkind.New(errkind.NotFound, "no member with id %x", id)
		}
		m := l.withoutMember(id)
		if !l.majorityInContact(m) {
			return m, false, errkind.New(errkind.Conflict, "too few of the remaining voters are in contact")
		}
		return m, true, nil
	})
}

// withMember returns the membership with the member added or its record updated, and whether that
// is a change.
func (l *loop) withMember(m record) (raft.Membership, bool, error) {
	next := l.core.Status().Membership
	if slices.Contains(l.roster.Removed, m.ID) {
		return next, false, errkind.New(errkind.UnknownMember, "id %x of %q was removed", m.ID, m.Name)
	}
	old, known := l.roster.find(m.ID)
	if known && old == m {
		return next, false, nil
	}
	if !known {
		next = next.WithLearner(m.ID)
	}
	next.Context = l.roster.withRecord(m).encode()
	return next, true, nil
}

func (l *loop) withoutMember(id uint64) raft.Membership {
	next := l.core.Status().Membership.Without(id)
	next.Context = l.roster.withoutMember(id).encode()
	return next
}

// majorityInContact reports whether a majority of m's voters has answered this leader within the
// maximum election timeout.
func (l *loop) majorityInContact(m raft.Membership) bool {
	status := l.core.Status()
	oldest := l.r.now() - l.r.o.ElectionMax
	count := 0
	for _, id := range m.Voters {
		i := slices.IndexFunc(status.Peers, func(p raft.PeerStatus) bool { return p.ID == id })
		if id == status.ID || (i >= 0 && status.Peers[i].LastContact > oldest) {
			count++
		}
	}
	return count > len(m.Voters)/2
}

// reconcile proposes the next due membership change on the leader: the promotion of a learner that
// has caught up, or the removal of a lost voter or of an id that a host had before its disk was
// wiped.
func (l *loop) reconcile() {
	now := l.r.now()
	if now < l.lastReconciled+reconcileInterval {
		return
	}
	l.lastReconciled = now
	status := l.core.Status()
	if status.Role != raft.Leader || status.MembershipPending || !status.CommittedInTerm {
		return
	}
	next, due := l.nextMembership(status.Membership, now)
	if !due || !l.majorityInContact(next) {
		return
	}
	if _, _, err := l.core.ProposeMembership(now, next); err != nil {
		l.r.log.WithError(err).Warn("Membership change is not possible yet.")
	}
}

func (l *loop) nextMembership(m raft.Membership, now time.Duration) (raft.Membership, bool) {
	if id, ok := l.roster.superseded(m); ok {
		l.r.log.WithField("member", id).Info("Removing the old id of a member that joined under a new one.")
		return l.withoutMember(id), true
	}
	id, ready := l.promotionCandidate(m, now)
	if !ready {
		return m, false
	}
	if limit := l.r.o.MaxVoters; limit > 0 && len(m.Voters) >= limit {
		return l.replaceVoter(m, id, now)
	}
	l.r.log.WithField("member", id).Info("Promoting a learner that has caught up.")
	return m.WithPromoted(id), true
}

// promotionCandidate returns the learner that has caught up and whose zone has the fewest voters.
func (l *loop) promotionCandidate(m raft.Membership, now time.Duration) (id uint64, found bool) {
	fewest := 0
	for _, learner := range m.Learners {
		if !l.core.CaughtUp(now, learner) {
			continue
		}
		if n := l.votersInZone(m, learner); !found || n < fewest {
			id, fewest, found = learner, n, true
		}
	}
	return id, found
}

func (l *loop) votersInZone(m raft.Membership, id uint64) (n int) {
	self, _ := l.roster.find(id)
	for _, voter := range m.Voters {
		if other, _ := l.roster.find(voter); other.Zone == self.Zone {
			n++
		}
	}
	return n
}

// voterLossTimeout is the time without contact after which a learner that has caught up replaces a
// voter. It is longer than the restart of a voter takes.
const voterLossTimeout = 2 * time.Second

// replaceVoter returns the membership without the voter that a learner replaces: the old id of the
// learner's host, or a voter that has been out of contact for voterLossTimeout.
func (l *loop) replaceVoter(m raft.Membership, learner uint64, now time.Duration) (raft.Membership, bool) {
	self, _ := l.roster.find(learner)
	for _, p := range l.core.Status().Peers {
		old, known := l.roster.find(p.ID)
		if !known || !m.IsVoter(p.ID) {
			continue
		}
		returned := old.Name == self.Name
		sinceContact := now - max(p.LastContact, l.leadingSince)
		if !returned && sinceContact < voterLossTimeout {
			continue
		}
		l.r.log.WithField("member", p.ID).WithField("learner", learner).
			WithField("silent", sinceContact.String()).Info("Removing a voter that a learner replaces.")
		return l.withoutMember(p.ID), true
	}
	return m, false
}

// join handles a JoinRequest. Without Seeds, hosts that are neither members nor in Peers must be
// added by an operator through AddMember.
func (r *Replica) join(request JoinRequest, reply *JoinReply) error {
	if request.Cluster != r.self().Cluster || request.Cluster == 0 {
		return errkind.New(errkind.UnknownMember, "join request for group %x, which is not this member's", request.Cluster)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, reply.LeaderAddress, _ = r.Leader()
	m := record{
		ID: request.ID, Name: request.Name, Address: request.Address,
		OperatorAddress: request.OperatorAddress, Zone: request.Zone,
	}
	var result error
	err := r.runOnLoop(ctx, func(l *loop) {
		if l.core.Status().Role != raft.Leader {
			return
		}
		reply.Accepted = true
		reply.Removed = slices.Contains(l.roster.Removed, m.ID)
		if reply.Removed {
			return
		}
		result = l.addOnJoin(m)
	})
	if err != nil {
		return err
	}
	return result
}

func (l *loop) addOnJoin(m record) error {
	if l.r.o.Seeds == nil && !l.roster.hasName(m.Name) && !l.r.o.hasPeer(m.Name) {
		return errkind.New(errkind.UnknownMember, "%q is not a member; add it first", m.Name)
	}
	next, changed, err := l.withMember(m)
	if err != nil || !changed {
		return err
	}
	if _, _, err := l.core.ProposeMembership(l.r.now(), next); err != nil {
		return l.toErrKind(err)
	}
	l.r.log.WithField("member", m.Name).Info("Adding a member.")
	return nil
}

func (r *Replica) query(ctx context.Context, address string) (QueryReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := rpc.NewClient(address, r.o.TLS)
	defer client.Close()
	var reply QueryReply
	err := client.Call(ctx, rpcServiceName+".Query", QueryRequest{}, &reply)
	return reply, err
}
