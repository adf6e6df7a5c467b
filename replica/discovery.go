package replica

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/raft"
	"github.com/zinniapier/zinniapier/rpc"
	"github.com/zinniapier/zinniapier/wal"
)

const (
	// discoveryInterval is the pause between two rounds of queries to all peers.
	discoveryInterval = 100 * time.Millisecond
	// joinInterval is the pause between two join requests.
	joinInterval = 200 * time.Millisecond
)

// discover finds or founds the group of a member with an empty disk. It returns once the member's
// identity holds the id of the group.
func (r *Replica) discover(ctx context.Context) error {
	for r.self().Cluster == 0 {
		replies := r.queryPeers(ctx)
		cluster, err := commonCluster(replies)
		switch {
		case err != nil:
			r.log.WithError(err).Error("Peers belong to different groups.")
		case cluster != 0:
			return r.setGroup(cluster)
		case len(replies) == len(r.otherPeers()) && r.shouldFoundGroup():
			return r.foundGroup(replies)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(discoveryInterval):
		}
	}
	return nil
}

// queryPeers queries all peers at once and returns the replies of those that have the configured
// name.
func (r *Replica) queryPeers(ctx context.Context) []QueryReply {
	var wait sync.WaitGroup
	var mu sync.Mutex
	var replies []QueryReply
	for _, p := range r.otherPeers() {
		wait.Go(func() {
			reply, err := r.query(ctx, p.Address)
			if err != nil || p.Name != "" && reply.Name != p.Name {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, reply)
		})
	}
	wait.Wait()
	return replies
}

// commonCluster returns the id of the group that the replying members belong to, 0 if none belongs
// to one, or an error if they belong to different groups.
func commonCluster(replies []QueryReply) (uint64, error) {
	var cluster uint64
	for _, reply := range replies {
		if reply.Cluster == 0 {
			continue
		}
		if cluster != 0 && cluster != reply.Cluster {
			return 0, errors.Errorf("peers belong to groups %x and %x", cluster, reply.Cluster)
		}
		cluster = reply.Cluster
	}
	return cluster, nil
}

// otherPeers returns the members to query: the initial peers, or the seeds, whose names are empty.
func (r *Replica) otherPeers() []Peer {
	if r.o.Seeds == nil {
		return r.o.otherPeers()
	}
	var list []Peer
	for _, address := range r.o.Seeds() {
		if address != r.o.Address {
			list = append(list, Peer{Address: address})
		}
	}
	return list
}

// shouldFoundGroup reports whether this member is the one that founds the group: the peer with the
// lowest name, or, if Bootstrap is set, the seed with the lowest address.
func (r *Replica) shouldFoundGroup() bool {
	if r.o.Seeds != nil {
		seeds := r.o.Seeds()
		return r.o.Bootstrap && len(seeds) > 0 && r.o.Address == slices.Min(seeds)
	}
	for _, p := range r.o.otherPeers() {
		if p.Name < r.o.Name {
			return false
		}
	}
	return true
}

// setGroup records the id of the group in the identity. The leader sends the log once this member
// has been added. The log gets its first record before the identity is stored, so that a log that
// is missing later is recognised as lost.
func (r *Replica) setGroup(cluster uint64) error {
	if r.recovered.HardState == (raft.HardState{}) {
		r.recovered.HardState = raft.HardState{Term: 1}
		if err := r.store.Save(r.recovered.HardState, nil); err != nil {
			return err
		}
	}
	id := *r.self()
	id.Cluster = cluster
	if err := id.store(r.o.DataDir); err != nil {
		return err
	}
	r.identity.Store(&id)
	r.log.WithField("group", cluster).Info("The member belongs to a group.")
	return nil
}

// foundGroup stores the first membership. The other members query again, learn the group's id and
// vote for this member, the only one with a log, from which they receive the membership.
func (r *Replica) foundGroup(replies []QueryReply) error {
	members := roster{Cluster: api.NewUint64()}
	members = members.withRecord(r.record())
	for _, reply := range replies {
		members = members.withRecord(recordFromReply(reply))
	}
	var first raft.Membership
	for _, m := range members.Members {
		first.Voters = append(first.Voters, m.ID)
	}
	slices.Sort(first.Voters)
	first.Context = members.encode()
	snap := raft.Snapshot{Index: 1, Term: 1, Membership: first}
	hs := raft.HardState{Term: 1, Commit: 1}
	if err := r.store.InstallSnapshot(snap); err != nil {
		return err
	}
	if err := r.store.Save(hs, nil); err != nil {
		return err
	}
	r.recovered.Snapshot, r.recovered.HardState = snap, hs
	return r.setGroup(members.Cluster)
}

func (r *Replica) record() record {
	return record{
		ID: r.self().ID, Name: r.o.Name, Address: r.o.Address, OperatorAddress: r.o.OperatorAddress, Zone: r.o.Zone,
	}
}

func recordFromReply(q QueryReply) record {
	return record{ID: q.ID, Name: q.Name, Address: q.Address, OperatorAddress: q.OperatorAddress, Zone: q.Zone}
}

// keepJoined sends join requests while the latest membership does not list this member with its
// current addresses, or no leader is known.
func (r *Replica) keepJoined(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(joinInterval):
		}
		p := r.published.Load()
		if p == nil {
			continue
		}
		// A member that was removed while it was down still lists itself but knows no leader.
		if known, ok := p.roster.find(r.self().ID); ok && known == r.record() && p.status.Leader != 0 {
			continue
		}
		if removed := r.requestJoin(ctx); removed {
			return r.eraseRemovedMember()
		}
	}
}

// eraseRemovedMember empties the data directory of a member whose id was removed from the group, so
// that it joins under a new id after its next start. It always returns an error, which ends Serve.
func (r *Replica) eraseRemovedMember() error {
	r.log.Warn("The member was removed while it was down. It joins again under a new id.")
	if err := wal.Erase(r.o.DataDir); err != nil {
		return errors.Annotate(err, "empty the data directory of a removed member")
	}
	return errors.New("the member was removed from the group")
}

// requestJoin asks all known members to be added until the leader replies. It reports whether this
// member's id was removed from the group.
func (r *Replica) requestJoin(ctx context.Context) (removed bool) {
	addresses := []string{}
	for _, p := range r.otherPeers() {
		addresses = append(addresses, p.Address)
	}
	for _, m := range r.Members() {
		if m.ID != r.self().ID && !slices.Contains(addresses, m.Address) {
			addresses = append(addresses, m.Address)
		}
	}
	for i := 0; i < len(addresses); i++ {
		reply, err := r.callJoin(ctx, addresses[i])
		if err != nil {
			r.log.WithError(err).WithField("member", addresses[i]).Debug("Join request failed.")
			continue
		}
		if reply.Accepted {
			return reply.Removed
		}
		if reply.LeaderAddress != "" && !slices.Contains(addresses, reply.LeaderAddress) {
			addresses = append(addresses, reply.LeaderAddress)
		}
	}
	return false
}

func (r *Replica) callJoin(ctx context.Context, address string) (JoinReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := rpc.NewClient(address, r.o.TLS)
	defer client.Close()
	m := r.record()
	request := JoinRequest{
		Cluster: r.self().Cluster, ID: m.ID, Name: m.Name, Address: m.Address, OperatorAddress: m.OperatorAddress,
		Zone: m.Zone,
	}
	var reply JoinReply
	err := client.Call(ctx, rpcServiceName+".Join", request, &reply)
	return reply, err
}
