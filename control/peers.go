package control

import (
	"cmp"
	"reflect"
	"slices"

	"github.com/zinniapier/zinniapier/api"
)

// maxPeerChanges bounds the changes that are kept; a node that has missed more gets the full list. A
// fleet of 18,000 nodes has fewer changes between two heartbeats.
const maxPeerChanges = 4096

// peerList is the versioned list of nodes that heartbeat replies carry. It keeps recent changes, so
// that a reply carries only what its node lacks.
type peerList struct {
	peers   []api.Peer // sorted by session; published lists are not modified
	version uint64
	changes []peerChange // by version
	// completeSince is the oldest version from which changes holds every later change.
	completeSince uint64
	// packed holds what nodes with older versions lack, by that version; 0 stands for the whole list. When the
	// leader changes, hundreds of nodes need the whole list within one heartbeat interval.
	packed map[uint64]peerDelta
}

// peerDelta is the difference of two versions.
type peerDelta struct {
	updates api.PeerUpdates
	gone    []api.SessionID
}

// peerChange records that a node was added, changed or removed in a version.
type peerChange struct {
	session api.SessionID
	version uint64
}

// newPeerList returns an empty list. Its versions hold the term in the upper 32 bits, so that they
// differ from those of other terms.
func newPeerList(term uint64) *peerList {
	first := term << 32
	return &peerList{version: first, completeSince: first + 1, packed: make(map[uint64]peerDelta)}
}

// update replaces the list; peers must be sorted by session. The version increases if the list has
// changed, and at the first call.
func (p *peerList) update(peers []api.Peer) {
	next := p.version + 1
	before := len(p.changes)
	record := func(id api.SessionID) { p.changes = append(p.changes, peerChange{id, next}) }
	old := p.peers
	for _, peer := range peers {
		for len(old) > 0 && old[0].Session < peer.Session {
			record(old[0].Session)
			old = old[1:]
		}
		same := len(old) > 0 && old[0].Session == peer.Session
		if !same || !reflect.DeepEqual(old[0], peer) {
			record(peer.Session)
		}
		if same {
			old = old[1:]
		}
	}
	for _, peer := range old {
		record(peer.Session)
	}
	if len(p.changes) == before && p.version >= p.completeSince {
		return
	}
	p.peers, p.version = peers, next
	p.packed = make(map[uint64]peerDelta)
	if over := len(p.changes) - maxPeerChanges; over > 0 {
		p.completeSince = p.changes[over-1].version
		p.changes = slices.Delete(p.changes, 0, over)
	}
}

// fill sets in the reply what a node that holds the known version lacks.
func (p *peerList) fill(r *api.HeartbeatReply, known uint64) error {
	r.PeersBase, r.PeersVersion = known, p.version
	if known == p.version {
		return nil
	}
	r.PeersFull = known < p.completeSince || known > p.version
	if r.PeersFull {
		known = 0
	}
	d, cached := p.packed[known]
	if !cached {
		var err error
		if d, err = p.since(known); err != nil {
			return err
		}
		p.packed[known] = d
	}
	r.Peers, r.PeersGone = d.updates, d.gone
	return nil
}

// since returns the changes after a version, or the whole list after version 0.
func (p *peerList) since(known uint64) (d peerDelta, err error) {
	if known == 0 {
		d.updates, err = api.PackPeers(p.peers)
		return d, err
	}
	var changed []api.Peer
	from, _ := slices.BinarySearchFunc(p.changes, known+1, func(c peerChange, v uint64) int { return cmp.Compare(c.version, v) })
	seen := make(map[api.SessionID]bool)
	for _, c := range p.changes[from:] {
		if seen[c.session] {
			continue
		}
		seen[c.session] = true
		if i, found := slices.BinarySearchFunc(p.peers, c.session, bySession); found {
			changed = append(changed, p.peers[i])
		} else {
			d.gone = append(d.gone, c.session)
		}
	}
	if len(changed) > 0 {
		d.updates, err = api.PackPeers(changed)
	}
	return d, err
}

func bySession(p api.Peer, id api.SessionID) int { return cmp.Compare(p.Session, id) }
