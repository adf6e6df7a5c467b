package session

import (
	"maps"
	"slices"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// maxPartition bounds the partition numbers in a reply, so that a faulty one cannot make the
// node allocate without limit.
const maxPartition = 1 << 20

func emptyView(zone string, withoutLease bool) *api.View {
	v := &api.View{Session: api.SessionID(api.NewID()), Zone: zone, WithoutLease: withoutLease}
	v.Index = api.NewViewIndex(v)
	return v
}

func configVersion(v *api.View) uint64 {
	if v.Configuration == nil {
		return 0
	}
	return v.Configuration.Version
}

// check refuses a reply that would take the node back, or renew the lease of a node that stays behind
// the configuration named in the reply. c is the configuration in it, nil when there is none.
func check(v *api.View, r *api.HeartbeatReply, c *api.Configuration) error {
	if r.Term < v.Term {
		return errkind.New(errkind.NotLeader, "reply of term %d after term %d", r.Term, v.Term)
	}
	if r.ConfigVersion < configVersion(v) || r.MapVersion < v.MapVersion {
		return errkind.New(errkind.Invalid, "reply with lower versions than the node holds")
	}
	if r.ConfigVersion > configVersion(v) && c == nil {
		return errkind.New(errkind.Invalid, "reply without configuration %d", r.ConfigVersion)
	}
	if c != nil && c.Version != r.ConfigVersion {
		return errkind.New(errkind.Invalid, "configuration %d in a reply that states %d", c.Version, r.ConfigVersion)
	}
	if !r.PeersFull && r.PeersBase != v.PeersVersion {
		return errkind.New(errkind.Invalid, "nodes since version %d in a reply, version %d is held", r.PeersBase, v.PeersVersion)
	}
	if r.Lease <= 0 {
		return errkind.New(errkind.Invalid, "reply without a lease")
	}
	for i := range r.Map {
		if p := r.Map[i].Partition; p < 0 || p > maxPartition {
			return errkind.New(errkind.Invalid, "partition %d in a reply", p)
		}
	}
	return nil
}

// merge returns the view after the reply. Parts that did not change are shared with the old view.
func merge(old *api.View, r *api.HeartbeatReply, c *api.Configuration) *api.View {
	next := *old
	next.Term = r.Term
	reindex := false
	if c != nil && r.ConfigVersion > configVersion(old) {
		next.Configuration = c
		reindex = true
	}
	if r.PeersDiffer() {
		next.Peers = api.MergePeers(old.Peers, r)
		reindex = true
	}
	next.PeersVersion = r.PeersVersion
	next.MapVersion = r.MapVersion
	next.Assignments = mergeMap(old.Assignments, r)
	if reindex {
		next.Index = api.NewViewIndex(&next)
	}
	return &next
}

func mergeMap(old api.Assignments, r *api.HeartbeatReply) api.Assignments {
	if r.MapFull {
		return applyUpdates(make(api.Assignments), nil, r.Map)
	}
	if len(r.Map) == 0 {
		return old
	}
	next := maps.Clone(old)
	if next == nil {
		next = make(api.Assignments)
	}
	return applyUpdates(next, old, r.Map)
}

// applyUpdates changes next; the lists that it shares with old are copied first.
func applyUpdates(next, old api.Assignments, updates []api.AssignmentUpdate) api.Assignments {
	copied := make(map[string]bool)
	for _, u := range updates {
		list := next[u.Service]
		if !copied[u.Service] {
			list = slices.Clone(old[u.Service])
			copied[u.Service] = true
		}
		for len(list) <= u.Partition {
			list = append(list, api.Assignment{})
		}
		list[u.Partition] = u.Assignment
		next[u.Service] = list
	}
	return next
}
