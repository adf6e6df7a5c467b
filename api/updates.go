package api

import (
	"encoding/binary"

	"github.com/juju/errors"
)

// AssignmentUpdates are changed assignments. On the wire, each text stands once in a table and a row
// has places in it: a map of 2,000 partitions takes some 20 KB, a tenth of what it would otherwise.
type AssignmentUpdates []AssignmentUpdate

// GobEncode implements gob.GobEncoder.
func (u AssignmentUpdates) GobEncode() ([]byte, error) {
	texts := &textTable{places: make(map[string]uint64)}
	var rows []byte
	for i := range u {
		a := &u[i]
		for _, text := range []string{a.Service, string(a.State), string(a.Target), string(a.Session), a.Place, a.Handover} {
			rows = binary.AppendUvarint(rows, texts.place(text))
		}
		rows = binary.AppendVarint(rows, int64(a.Partition))
		rows = binary.AppendUvarint(rows, uint64(a.Epoch))
	}
	data := binary.AppendUvarint(nil, uint64(len(texts.list)))
	for _, text := range texts.list {
		data = binary.AppendUvarint(data, uint64(len(text)))
		data = append(data, text...)
	}
	data = binary.AppendUvarint(data, uint64(len(u)))
	return append(data, rows...), nil
}

// GobDecode implements gob.GobDecoder. It fails for data that GobEncode does not write.
func (u *AssignmentUpdates) GobDecode(data []byte) error {
	r := &updatesReader{data: data}
	texts := make([]string, 0, r.count())
	for range cap(texts) {
		texts = append(texts, r.text())
	}
	list := make(AssignmentUpdates, r.count())
	text := func() string { return r.from(texts) }
	for i := range list {
		a := &list[i]
		a.Service, a.State, a.Target = text(), AssignmentState(text()), TargetID(text())
		a.Session, a.Place, a.Handover = SessionID(text()), text(), text()
		a.Partition, a.Epoch = int(r.signed()), Epoch(r.number())
	}
	if r.broken || len(r.data) > 0 {
		return errors.New("malformed assignments")
	}
	*u = list
	return nil
}

// textTable gives each text a place.
type textTable struct {
	list   []string
	places map[string]uint64
}

func (t *textTable) place(text string) uint64 {
	place, known := t.places[text]
	if !known {
		place = uint64(len(t.list))
		t.places[text] = place
		t.list = append(t.list, text)
	}
	return place
}

// updatesReader reads what GobEncode has written. Once broken, it returns zero values.
type updatesReader struct {
	data   []byte
	broken bool
}

func (r *updatesReader) number() uint64 {
	n, size := binary.Uvarint(r.data)
	return uint64(read(r, int64(n), size))
}

func (r *updatesReader) signed() int64 {
	n, size := binary.Varint(r.data)
	return read(r, n, size)
}

func read(r *updatesReader, n int64, size int) int64 {
	if size <= 0 || r.broken {
		r.broken = true
		return 0
	}
	r.data = r.data[size:]
	return n
}

// count reads a number of items, each of which takes at least a byte.
func (r *updatesReader) count() int {
	n := r.number()
	if n > uint64(len(r.data)) {
		r.broken = true
		return 0
	}
	return int(n)
}

func (r *updatesReader) text() string {
	n := r.count()
	text := string(r.data[:n])
	r.data = r.data[n:]
	return text
}

func (r *updatesReader) from(texts []string) string {
	n := r.number()
	if n >= uint64(len(texts)) {
		r.broken = true
		return ""
	}
	return texts[n]
}
