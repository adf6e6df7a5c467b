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
	// discoveryInterval is the pause between two rounds of questions to the peers.
	discoveryInterval = 100 * time.Millisecond
	// joinInterval is the pause between two requests to join.
	joinInterval = 200 * time.Millisecond
)

// discover finds or founds the group of a member with an empty disk. It returns once the
// member's identity names the group.
func (r *Replica) discover(ctx context.Context) error {
	for r.self().Cluster == 0 {
		replies := r.queryPeers(ctx)
		cluster, err := clusterOf(replies)
		switch {
		case err != nil:
			r.log.WithError(err).Error("Peers disagree.")
		case cluster != 0:
			return r.adopt(cluster)
		case len(replies) == len(r.others()) && r.mayFound():
			return r.found(replies)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(discoveryInterval):
		}
	}
	return nil
}

// queryPeers asks all peers at once and returns the answers of those that are who the
// settings say.
func (r *Replica) queryPeers(ctx context.Context) []QueryReply {
	var wait sync.WaitGroup
	var mu sync.Mutex
	var replies []QueryReply
	for _, p := range r.others() {
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

func clusterOf(replies []QueryReply) (uint64, error) {
	var cluster uint64
	for _, reply := range replies {
		if reply.Cluster == 0 {
			continue
		}
		if cluster != 0 && cluster != reply.Cluster {
			return 0, errors.Errorf("peers belong to the groups %x and %x", cluster, reply.Cluster)
		}
		cluster = reply.Cluster
	}
	return cluster, nil
}

// others returns the members to ask at the start: the peers, or the seeds, which have no names.
func (r *Replica) others() []Peer {
	if r.o.Seeds == nil {
		return r.o.others()
	}
	var list []Peer
	for _, address := range r.o.Seeds() {
		if address != r.o.Address {
			list = append(list, Peer{Address: address})
		}
	}
	return list
}

// mayFound says whether it is this member that founds the group: the peer with the lowest
// name, or the seed with the lowest address.
func (r *Replica) mayFound() bool {
	if r.o.Seeds != nil {
		seeds := r.o.Seeds()
		return r.o.Bootstrap && len(seeds) > 0 && r.o.Address == slices.Min(seeds)
	}
	for _, p := range r.o.others() {
		if p.Name < r.o.Name {
			return false
		}
	}
	return true
}

// adopt notes the group; its leader then sends the log, once this member is in it. The log
// gets its first record before the identity names the group, so that a log that is missing
// later is recognised as lost.
func (r *Replica) adopt(cluster uint64) error {
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
	r.log.WithField("group", cluster).Info("Member belongs to a group.")
	return nil
}

// found writes the first membership. The other members get it from this member's log: they
// ask again, learn the group, and vote for the only member that has a log.
func (r *Replica) found(replies []QueryReply) error {
	members := roster{Cluster: api.NewUint64()}
	members = members.put(r.record())
	for _, reply := range replies {
		members = members.put(recordOf(reply))
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
	return r.adopt(members.Cluster)
}

func (r *Replica) record() record {
	return record{
		ID: r.self().ID, Name: r.o.Name, Address: r.o.Address, OperatorAddress: r.o.OperatorAddress, Zone: r.o.Zone,
	}
}

func recordOf(q QueryReply) record {
	return record{ID: q.ID, Name: q.Name, Address: q.Address, OperatorAddress: q.OperatorAddress, Zone: q.Zone}
}

// keepJoined asks to be added for as long as the membership that this member knows does
// not list it under its present addresses, or no leader is heard of.
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
		// A member that was removed while it was away still lists itself, but hears of no leader.
		if known, ok := p.roster.find(r.self().ID); ok && known == r.record() && p.status.Leader != 0 {
			continue
		}
		if removed := r.requestJoin(ctx); removed {
			return r.forget()
		}
	}
}

// forget empties the disk of a member whose id was removed from the group, so that the next
// start joins under a new id. It returns an error that ends the member.
func (r *Replica) forget() error {
	r.log.Warn("The member was removed while it was away. It joins again under a new id.")
	if err := wal.Erase(r.o.DataDir); err != nil {
		return errors.Annotate(err, "empty the disk of a removed member")
	}
	return errors.New("the member was removed from the group")
}

// requestJoin asks to be added, and says whether the id was removed from the group.
func (r *Replica) requestJoin(ctx context.Context) (removed bool) {
	addresses := []string{}
	for _, p := range r.others() {
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
			r.log.WithError(err).WithField("member", addresses[i]).Debug("Request to join failed.")
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
	err := client.Call(ctx, receiverName+".Join", request, &reply)
	return reply, err
}
