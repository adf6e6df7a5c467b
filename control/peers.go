package control

import (
	"cmp"
	"reflect"
	"slices"

	"github.com/zinniapier/zinniapier/api"
)

// changesKept bounds the changes that are remembered; a node that misses more gets the full list. A
// fleet of 18,000 nodes has fewer between two heartbeats.
const changesKept = 4096

// peerList is the list of nodes that heartbeats carry, with its last changes, so that a heartbeat
// carries only what its node does not have.
type peerList struct {
	peers   []api.Peer // sorted by session; published lists are not modified
	version uint64
	changes []peerChange // by version
	// complete is the version after which changes holds every change.
	complete uint64
}

// peerChange says that a node was added, changed or removed in a version.
type peerChange struct {
	session api.SessionID
	version uint64
}

// newPeerList returns an empty list. Its versions differ from those of other terms.
func newPeerList(term uint64) *peerList {
	first := term << 32
	return &peerList{version: first, complete: first + 1}
}

// update replaces the list by one that is sorted by session. The first call always makes a version.
func (p *peerList) update(peers []api.Peer) {
	next := p.version + 1
	before := len(p.changes)
	note := func(id api.SessionID) { p.changes = append(p.changes, peerChange{id, next}) }
	old := p.peers
	for _, peer := range peers {
		for len(old) > 0 && old[0].Session < peer.Session {
			note(old[0].Session)
			old = old[1:]
		}
		same := len(old) > 0 && old[0].Session == peer.Session
		if !same || !reflect.DeepEqual(old[0], peer) {
			note(peer.Session)
		}
		if same {
			old = old[1:]
		}
	}
	for _, peer := range old {
		note(peer.Session)
	}
	if len(p.changes) == before && p.version >= p.complete {
		return
	}
	p.peers, p.version = peers, next
	if over := len(p.changes) - changesKept; over > 0 {
		p.complete = p.changes[over-1].version
		p.changes = slices.Delete(p.changes, 0, over)
	}
}

// fill adds to a reply what a node lacks that holds the known version.
func (p *peerList) fill(r *api.HeartbeatReply, known uint64) {
	r.PeersBase, r.PeersVersion = known, p.version
	if known == p.version {
		return
	}
	if known < p.complete || known > p.version {
		r.PeersFull, r.Peers = true, p.peers
		return
	}
	from, _ := slices.BinarySearchFunc(p.changes, known+1, func(c peerChange, v uint64) int { return cmp.Compare(c.version, v) })
	seen := make(map[api.SessionID]bool)
	for _, c := range p.changes[from:] {
		if seen[c.session] {
			continue
		}
		seen[c.session] = true
		if i, found := slices.BinarySearchFunc(p.peers, c.session, bySession); found {
			r.Peers = append(r.Peers, p.peers[i])
		} else {
			r.PeersGone = append(r.PeersGone, c.session)
		}
	}
}

func bySession(p api.Peer, id api.SessionID) int { return cmp.Compare(p.Session, id) }
