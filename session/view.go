package session

import (
	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// maxPartition bounds the partition numbers in a reply, so that a faulty reply cannot make the node
// allocate memory without limit.
const maxPartition = 1 << 20

// emptyView returns the view of a new session, without lease, configuration and assignments.
func emptyView(zone string, withoutLease bool) *api.View {
	v := &api.View{Session: api.SessionID(api.NewID()), Zone: zone, WithoutLease: withoutLease}
	v.Index = api.NewViewIndex(v)
	return v
}

// configVersion returns the version of the view's configuration, or 0 without one.
func configVersion(v *api.View) uint64 {
	if v.Configuration == nil {
		return 0
	}
	return v.Configuration.Version
}

// replyConfiguration returns the configuration that the reply brings and its AccessHash, or nil when it
// brings none. Errors: Invalid if the reply is based on another configuration than the node has.
func replyConfiguration(v *api.View, r *api.HeartbeatReply) (*api.Configuration, uint64, error) {
	if r.SplitsBase == 0 {
		return r.Configuration.Unpack(v.Configuration, v.AccessHash)
	}
	if r.SplitsBase != configVersion(v) {
		return nil, 0, errkind.New(errkind.Invalid, "reply with splits since configuration %d, but the node has %d", r.SplitsBase, configVersion(v))
	}
	return v.Configuration.WithSplits(r.ConfigVersion, r.Splits), v.AccessHash, nil
}

// checkReply rejects a malformed reply, one that is older than the view, and one that would renew the
// lease without bringing the configuration that it names. c is the configuration in the reply, or nil.
func checkReply(v *api.View, r *api.HeartbeatReply, c *api.Configuration) error {
	if r.Term < v.Term {
		return errkind.New(errkind.NotLeader, "reply of term %d after term %d", r.Term, v.Term)
	}
	if r.ConfigVersion < configVersion(v) || r.MapVersion < v.MapVersion {
		return errkind.New(errkind.Invalid, "reply with a lower configuration or map version than the node has")
	}
	if r.ConfigVersion > configVersion(v) && c == nil {
		return errkind.New(errkind.Invalid, "reply names configuration %d without including it", r.ConfigVersion)
	}
	if c != nil && c.Version != r.ConfigVersion {
		return errkind.New(errkind.Invalid, "reply includes configuration %d but names %d", c.Version, r.ConfigVersion)
	}
	if !r.PeersFull && r.PeersBase != v.PeersVersion {
		return errkind.New(errkind.Invalid, "reply with changes since version %d of the list of nodes, but the node has version %d", r.PeersBase, v.PeersVersion)
	}
	if r.Lease <= 0 {
		return errkind.New(errkind.Invalid, "reply without a lease")
	}
	for i := range r.Map.List {
		if p := r.Map.List[i].Partition; p < 0 || p > maxPartition {
			return errkind.New(errkind.Invalid, "reply with invalid partition number %d", p)
		}
	}
	return nil
}

// mergeReply returns the view after the reply. Unchanged parts are shared with the old view.
func mergeReply(old *api.View, r *api.HeartbeatReply, c *api.Configuration, accessHash uint64) *api.View {
	next := *old
	next.Term = r.Term
	configurationChanged := c != nil && r.ConfigVersion > configVersion(old)
	if configurationChanged {
		next.Configuration, next.AccessHash = c, accessHash
	}
	if r.PeersDiffer() {
		next.Peers = api.MergePeers(old.Peers, r)
	}
	next.PeersVersion = r.PeersVersion
	next.MapVersion = r.MapVersion
	next.Assignments = mergeAssignments(old.Assignments, r)
	if configurationChanged || r.PeersDiffer() {
		next.Index = old.Index.Reindexed(&next, next.AccessHash != old.AccessHash, configurationChanged, r.PeersDiffer())
	}
	return &next
}

// mergeAssignments returns the assignments after the full or partial map of the reply.
func mergeAssignments(old api.AssignmentTable, r *api.HeartbeatReply) api.AssignmentTable {
	if r.MapFull {
		old = nil
	}
	return old.With(r.Map.List)
}
