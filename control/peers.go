package control

import (
	"cmp"
	"reflect"
	"slices"

	"github.com/zinniapier/zinniapier/api"
)

// goneKept bounds the removals that are remembered; a node that misses more gets the full list. A
// fleet of 18,000 nodes loses fewer between two heartbeats.
const goneKept = 4096

// peerList is the list of nodes that heartbeats carry. It knows in which version each entry changed
// last, so that a heartbeat carries only what its node does not have.
type peerList struct {
	peers   []api.Peer // sorted by session; published lists are not modified
	version uint64
	changed map[api.SessionID]uint64
	gone    []goneNode // by version
	// complete is the version after which gone holds every removal.
	complete uint64
}

type goneNode struct {
	session api.SessionID
	version uint64
}

// newPeerList returns an empty list. Its versions differ from those of other terms.
func newPeerList(term uint64) *peerList {
	first := term << 32
	return &peerList{version: first, complete: first + 1, changed: make(map[api.SessionID]uint64)}
}

// update replaces the list by one that is sorted by session. The first call always makes a version.
func (p *peerList) update(peers []api.Peer) {
	next := p.version + 1
	differs := p.version < p.complete
	old := p.peers
	for _, peer := range peers {
		for len(old) > 0 && old[0].Session < peer.Session {
			p.remove(old[0].Session, next)
			old, differs = old[1:], true
		}
		if len(old) > 0 && old[0].Session == peer.Session {
			same := reflect.DeepEqual(old[0], peer)
			old = old[1:]
			if same {
				continue
			}
		}
		p.changed[peer.Session] = next
		differs = true
	}
	for _, peer := range old {
		p.remove(peer.Session, next)
		differs = true
	}
	if !differs {
		return
	}
	p.peers, p.version = peers, next
	if over := len(p.gone) - goneKept; over > 0 {
		p.complete = p.gone[over-1].version
		p.gone = slices.Delete(p.gone, 0, over)
	}
}

func (p *peerList) remove(id api.SessionID, version uint64) {
	delete(p.changed, id)
	p.gone = append(p.gone, goneNode{id, version})
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
	for _, peer := range p.peers {
		if p.changed[peer.Session] > known {
			r.Peers = append(r.Peers, peer)
		}
	}
	from, _ := slices.BinarySearchFunc(p.gone, known+1, func(g goneNode, v uint64) int { return cmp.Compare(g.version, v) })
	for _, g := range p.gone[from:] {
		r.PeersGone = append(r.PeersGone, g.session)
	}
}
