package api

import (
	"encoding/binary"

	"github.com/juju/errors"
)

// AssignmentUpdates are changed assignments. On the wire, each text stands once in a table, a row has
// places in it, and the whole is deflated.
type AssignmentUpdates struct {
	List []AssignmentUpdate
	// packed is the encoded list, which the replies to many nodes share; nil before it is needed.
	packed []byte
}

// PackAssignments returns updates that are encoded once for all replies that carry them.
func PackAssignments(list []AssignmentUpdate) (AssignmentUpdates, error) {
	packed, err := packAssignments(list)
	return AssignmentUpdates{List: list, packed: packed}, err
}

// GobEncode implements gob.GobEncoder.
func (u AssignmentUpdates) GobEncode() ([]byte, error) {
	if u.packed != nil {
		return u.packed, nil
	}
	return packAssignments(u.List)
}

func packAssignments(list []AssignmentUpdate) ([]byte, error) {
	texts := &textTable{places: make(map[string]uint64)}
	var rows []byte
	for i := range list {
		a := &list[i]
		for _, text := range []string{a.Service, string(a.State), string(a.Target), string(a.Session), a.Place, a.Handover} {
			rows = binary.AppendUvarint(rows, texts.place(text))
		}
		rows = binary.AppendVarint(rows, int64(a.Partition))
		rows = binary.AppendUvarint(rows, uint64(a.Epoch))
	}
	return texts.pack(len(list), rows)
}

// GobDecode implements gob.GobDecoder. It fails for data that GobEncode does not write.
func (u *AssignmentUpdates) GobDecode(data []byte) error {
	r, err := newUpdatesReader(data)
	if err != nil {
		return err
	}
	list := make([]AssignmentUpdate, r.count())
	for i := range list {
		a := &list[i]
		a.Service, a.State, a.Target = r.entry(), AssignmentState(r.entry()), TargetID(r.entry())
		a.Session, a.Place, a.Handover = SessionID(r.entry()), r.entry(), r.entry()
		a.Partition, a.Epoch = int(r.signed()), Epoch(r.number())
	}
	if err := r.end(); err != nil {
		return err
	}
	*u = AssignmentUpdates{List: list}
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

// pack returns the deflated table, the number of rows and the rows.
func (t *textTable) pack(count int, rows []byte) ([]byte, error) {
	data := binary.AppendUvarint(nil, uint64(len(t.list)))
	for _, text := range t.list {
		data = binary.AppendUvarint(data, uint64(len(text)))
		data = append(data, text...)
	}
	data = binary.AppendUvarint(data, uint64(count))
	return Deflate(append(data, rows...))
}

// updatesReader reads what textTable has packed. Once broken, it returns zero values.
type updatesReader struct {
	texts  []string
	data   []byte
	broken bool
}

// newUpdatesReader returns a reader that has read the table of texts.
func newUpdatesReader(packed []byte) (*updatesReader, error) {
	data, err := Inflate(packed)
	if err != nil {
		return nil, err
	}
	r := &updatesReader{data: data}
	texts := make([]string, 0, r.count())
	for range cap(texts) {
		texts = append(texts, r.text())
	}
	r.texts = texts
	return r, nil
}

// end returns an error unless all data has been read.
func (r *updatesReader) end() error {
	if r.broken || len(r.data) > 0 {
		return errors.New("malformed updates")
	}
	return nil
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

// entry reads a place in the table and returns its text.
func (r *updatesReader) entry() string {
	n := r.number()
	if n >= uint64(len(r.texts)) {
		r.broken = true
		return ""
	}
	return r.texts[n]
}
