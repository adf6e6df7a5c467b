package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/zinniapier/zinniapier/api"
)

// buildReply returns the heartbeat reply for the session, from committed state only. replies are the
// token replies of the authority.
func (l *leader) buildReply(view *api.ControlState, s *session, replies map[api.OrganisationID]api.TokenReply, now time.Time) *api.HeartbeatReply {
	r := &api.HeartbeatReply{
		Term:          l.term,
		ConfigVersion: view.Configuration.Version,
		MapVersion:    view.MapVersion,
		Issues:        s.tokens.Synced(),
	}
	if !s.final {
		r.Lease = l.o.Lease
	}
	if s.tokens.Synced() {
		s.tokens.FillReply(r, &s.last, replies)
	} else {
		r.TokensAgain = true
	}
	if s.last.ConfigVersion != view.Configuration.Version {
		l.fillConfiguration(r, view, s)
	}
	if err := l.fillMap(r, view, s.last.MapVersion); err != nil {
		l.log.WithError(err).WithField("version", view.MapVersion).Error("Cannot encode assignments. Nodes keep the previous ones.")
		r.MapVersion = s.last.MapVersion
	}
	l.fillPeers(r, view, s.last.PeersVersion, now)
	for _, m := range l.o.Log.Members() {
		r.Members = append(r.Members, m.Address)
	}
	return r
}

// mapCache holds what nodes with older versions of the map lack, by that version; 0 stands for none.
//
// Load pattern: many targets are replaced at once. The map changes some hundred times a second, and the leader
// encodes each difference for hundreds of nodes whose versions are a few apart.
type mapCache struct {
	version uint64
	deltas  map[uint64]mapDelta
}

// mapDelta is the difference of two versions of the map, or the whole map if full is set.
type mapDelta struct {
	updates api.AssignmentUpdates
	full    bool
}

// fillMap adds the assignments that changed since the known map version, or all of them.
func (l *leader) fillMap(r *api.HeartbeatReply, view *api.ControlState, known uint64) error {
	if known == view.MapVersion {
		return nil
	}
	if l.maps.deltas == nil || l.maps.version != view.MapVersion {
		l.maps = mapCache{version: view.MapVersion, deltas: make(map[uint64]mapDelta)}
	}
	d, err := l.mapSince(view, known)
	if err != nil {
		return err
	}
	r.Map, r.MapFull = d.updates, d.full
	return nil
}

// mapSince returns what a node with the known version lacks, encoded once for all nodes with that version.
func (l *leader) mapSince(view *api.ControlState, known uint64) (d mapDelta, err error) {
	if d, cached := l.maps.deltas[known]; cached {
		return d, nil
	}
	refs, ok := l.o.Machine.Changes(known)
	switch {
	case known == 0:
		d.full = true
		d.updates, err = api.PackAssignments(fullMap(view))
	case !ok || known > view.MapVersion:
		d, err = l.mapSince(view, 0)
	default:
		d.updates, err = api.PackAssignments(changedAssignments(view, refs))
	}
	if err == nil {
		l.maps.deltas[known] = d
	}
	return d, err
}

// changedAssignments returns the assignments of the partitions, each once.
func changedAssignments(view *api.ControlState, refs []api.PartitionRef) []api.AssignmentUpdate {
	var list []api.AssignmentUpdate
	seen := make(map[api.PartitionRef]bool, len(refs))
	for _, ref := range refs {
		// The change history may be ahead of the view by one entry.
		if seen[ref] || ref.Partition >= len(view.Assignments[ref.Service]) {
			continue
		}
		seen[ref] = true
		list = append(list, api.AssignmentUpdate{PartitionRef: ref, Assignment: assignment(view, ref)})
	}
	return list
}

// fullMap returns the assignments of all partitions.
func fullMap(view *api.ControlState) []api.AssignmentUpdate {
	var updates []api.AssignmentUpdate
	for name, list := range view.Assignments {
		for i, a := range list {
			ref := api.PartitionRef{Service: name, Partition: i}
			updates = append(updates, api.AssignmentUpdate{PartitionRef: ref, Assignment: a})
		}
	}
	return updates
}

// fillPeers adds the changes of the list of nodes. A new leader knows only the nodes that have
// reported to it, so until earlier leases have ended it sends its list only to nodes without one.
func (l *leader) fillPeers(r *api.HeartbeatReply, view *api.ControlState, known uint64, now time.Time) {
	if l.peersDirty {
		l.refreshPeers(view)
	}
	if l.earlierLeasesMayHold(now) && known != 0 && known>>32 != l.term {
		r.PeersBase, r.PeersVersion = known, known
		return
	}
	if err := l.peers.fill(r, known); err != nil {
		l.log.WithError(err).WithField("version", l.peers.version).Error("Cannot encode the list of nodes. Nodes keep the previous one.")
		r.PeersBase, r.PeersVersion, r.PeersFull = known, known, false
	}
}

// packedCache holds a configuration as encoded for heartbeat replies: whole, and without the
// organisations and their keys for nodes that hold those with the hash.
type packedCache struct {
	version       uint64
	accessHash    uint64
	whole         api.PackedConfiguration
	withoutAccess api.PackedConfiguration
}

// fillConfiguration adds the splits that the configuration of the node lacks, or the whole configuration if
// there are other differences.
func (l *leader) fillConfiguration(r *api.HeartbeatReply, view *api.ControlState, s *session) {
	if splits, ok := l.splits.since(s.last.ConfigVersion); ok {
		r.Splits, r.SplitsBase = splits, s.last.ConfigVersion
		return
	}
	r.Configuration = l.packedFor(view, s.last.AccessHash)
}

// packedFor returns the encoded configuration for a node that holds organisations and keys with the
// hash. It returns nil when the configuration cannot be encoded; nodes then reject the reply.
//
// Load pattern: operators change the configuration several times a second, in a fleet of hundreds of nodes
// on slow links. Few of these changes concern organisations, whose keys are most of its bytes.
func (l *leader) packedFor(view *api.ControlState, heldHash uint64) api.PackedConfiguration {
	packed, err := l.packed.forNode(view.Configuration, heldHash)
	if err != nil {
		l.log.WithError(err).WithField("configuration", view.Configuration.Version).Error("Cannot encode the configuration. Nodes keep the previous one.")
		return nil
	}
	return packed
}

// forNode encodes each form of a version when the first node needs it.
func (p *packedCache) forNode(c api.Configuration, heldHash uint64) (_ api.PackedConfiguration, err error) {
	if p.accessHash == 0 || p.version != c.Version {
		hash, err := api.AccessHash(&c)
		if err != nil {
			return nil, err
		}
		*p = packedCache{version: c.Version, accessHash: hash}
	}
	if heldHash == p.accessHash {
		if p.withoutAccess == nil {
			p.withoutAccess, err = api.PackWithoutAccess(c, p.accessHash)
		}
		return p.withoutAccess, err
	}
	if p.whole == nil {
		p.whole, err = api.PackConfiguration(c)
	}
	return p.whole, err
}

// refreshPeers rebuilds the list of nodes from the live sessions.
func (l *leader) refreshPeers(view *api.ControlState) {
	l.peersDirty = false
	var peers []api.Peer
	for _, s := range l.sessions {
		if s.lost {
			continue
		}
		p := s.peer
		p.Targets = slices.Clone(p.Targets)
		for i := range p.Targets {
			p.Targets[i].Out = isOut(&view.Configuration, p.Targets[i].ID, p.Zone, s.last.Targets[i].Zone)
		}
		peers = append(peers, p)
	}
	slices.SortFunc(peers, func(x, y api.Peer) int { return cmp.Compare(x.Session, y.Session) })
	l.peers.update(peers)
}

// isOut reports whether operators have taken the target or one of the zones out.
func isOut(c *api.Configuration, id api.TargetID, zones ...string) bool {
	if slices.Contains(c.TargetsOut, id) {
		return true
	}
	return slices.ContainsFunc(zones, func(z string) bool { return slices.Contains(c.ZonesOut, z) })
}
