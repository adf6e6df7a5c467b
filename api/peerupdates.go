package api

import "encoding/binary"

// PeerUpdates are new or changed nodes. On the wire they are packed like AssignmentUpdates.
type PeerUpdates struct {
	List []Peer
	// packed is the encoded list, which the replies to many nodes share; nil before it is needed.
	packed []byte
}

// PackPeers returns updates that are encoded once for all replies that carry them.
func PackPeers(list []Peer) (PeerUpdates, error) {
	packed, err := packPeers(list)
	return PeerUpdates{List: list, packed: packed}, err
}

// GobEncode implements gob.GobEncoder.
func (u PeerUpdates) GobEncode() ([]byte, error) {
	if u.packed != nil {
		return u.packed, nil
	}
	return packPeers(u.List)
}

func packPeers(list []Peer) ([]byte, error) {
	texts := &textTable{places: make(map[string]uint64)}
	var rows []byte
	text := func(s string) { rows = binary.AppendUvarint(rows, texts.place(s)) }
	for i := range list {
		p := &list[i]
		for _, s := range []string{string(p.Session), p.Name, p.Zone, p.InternalAddr, p.FateAddr, p.CallerAddr} {
			text(s)
		}
		rows = binary.AppendUvarint(rows, uint64(len(p.Targets)))
		for _, t := range p.Targets {
			for _, s := range []string{string(t.ID), t.Service, t.Version, string(t.State)} {
				text(s)
			}
			rows = binary.AppendVarint(rows, int64(t.Slots))
			rows = appendBool(rows, t.Out)
		}
	}
	return texts.pack(len(list), rows)
}

// GobDecode implements gob.GobDecoder. It fails for data that GobEncode does not write.
func (u *PeerUpdates) GobDecode(data []byte) error {
	r, err := newUpdatesReader(data)
	if err != nil {
		return err
	}
	list := make([]Peer, r.count())
	for i := range list {
		p := &list[i]
		p.Session, p.Name, p.Zone = SessionID(r.entry()), r.entry(), r.entry()
		p.InternalAddr, p.FateAddr, p.CallerAddr = r.entry(), r.entry(), r.entry()
		for range r.count() {
			t := PeerTarget{ID: TargetID(r.entry()), Service: r.entry(), Version: r.entry(), State: TargetState(r.entry())}
			t.Slots, t.Out = int(r.signed()), r.number() == 1
			p.Targets = append(p.Targets, t)
		}
	}
	if err := r.end(); err != nil {
		return err
	}
	*u = PeerUpdates{List: list}
	return nil
}

func appendBool(rows []byte, b bool) []byte {
	if b {
		return binary.AppendUvarint(rows, 1)
	}
	return binary.AppendUvarint(rows, 0)
}
