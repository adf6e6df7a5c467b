package api

import "encoding/binary"

// PeerUpdates are new or changed nodes. On the wire they are packed like AssignmentUpdates.
type PeerUpdates []Peer

// GobEncode implements gob.GobEncoder.
func (u PeerUpdates) GobEncode() ([]byte, error) {
	texts := &textTable{places: make(map[string]uint64)}
	var rows []byte
	text := func(s string) { rows = binary.AppendUvarint(rows, texts.place(s)) }
	for i := range u {
		p := &u[i]
		for _, s := range []string{string(p.Session), p.Name, p.Zone, p.InternalAddr, p.FateAddr, p.CallerAddr} {
			text(s)
		}
		rows = binary.AppendUvarint(rows, uint64(len(p.Targets)))
		for _, t := range p.Targets {
			for _, s := range []string{string(t.ID), t.Service, string(t.State)} {
				text(s)
			}
			rows = binary.AppendVarint(rows, int64(t.Slots))
			rows = appendBool(rows, t.Out)
		}
	}
	return texts.pack(len(u), rows)
}

// GobDecode implements gob.GobDecoder. It fails for data that GobEncode does not write.
func (u *PeerUpdates) GobDecode(data []byte) error {
	r, err := newUpdatesReader(data)
	if err != nil {
		return err
	}
	list := make(PeerUpdates, r.count())
	for i := range list {
		p := &list[i]
		p.Session, p.Name, p.Zone = SessionID(r.entry()), r.entry(), r.entry()
		p.InternalAddr, p.FateAddr, p.CallerAddr = r.entry(), r.entry(), r.entry()
		for range r.count() {
			t := PeerTarget{ID: TargetID(r.entry()), Service: r.entry(), State: TargetState(r.entry())}
			t.Slots, t.Out = int(r.signed()), r.number() == 1
			p.Targets = append(p.Targets, t)
		}
	}
	if err := r.end(); err != nil {
		return err
	}
	*u = list
	return nil
}

func appendBool(rows []byte, b bool) []byte {
	if b {
		return binary.AppendUvarint(rows, 1)
	}
	return binary.AppendUvarint(rows, 0)
}
