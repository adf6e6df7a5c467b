package replica

import (
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/raft"
	"github.com/zinniapier/zinniapier/telemetry"
)

// maxSnapshotBytes is the maximum size of a snapshot that is received in chunks.
const maxSnapshotBytes = 1 << 30

// partialSnapshot is the part of a snapshot that has been received in chunks.
type partialSnapshot struct {
	from, index, term uint64
	data              []byte
}

// checkRecipient returns an error for messages to another group or another id. A sender may know
// this host under the id that it had before its disk was wiped.
func (r *Replica) checkRecipient(cluster, to uint64) error {
	self := r.self()
	if self.Cluster == 0 || cluster != self.Cluster || to != self.ID {
		return errkind.New(errkind.UnknownMember, "this member is %x of group %x", self.ID, self.Cluster)
	}
	return nil
}

func (r *Replica) deliver(b Batch) error {
	if err := r.checkRecipient(b.Cluster, b.To); err != nil {
		return err
	}
	t := r.transport.Load()
	if t == nil {
		return errkind.New(errkind.UnknownMember, "the member is starting")
	}
	t.recordAddress(b.From, b.FromAddress)
	for _, m := range b.Messages {
		if m.From != b.From || m.To != b.To {
			return errkind.New(errkind.BadRequest, "message from %x in a batch from %x", m.From, b.From)
		}
		if m.Type == raft.InstallSnapshot && b.SnapshotBytes > 0 && !r.attachSnapshotData(&m, b.SnapshotBytes) {
			continue
		}
		select {
		case r.inbox <- m:
		default:
			telemetry.CountEvent(eventInboxDropped, 1)
		}
	}
	return nil
}

// storeChunk appends a chunk to the partial snapshot. A chunk out of order is an error; the sender
// starts again after a lost chunk.
func (r *Replica) storeChunk(c Chunk) error {
	if err := r.checkRecipient(c.Cluster, c.To); err != nil {
		return err
	}
	r.partialSnapshotMu.Lock()
	defer r.partialSnapshotMu.Unlock()
	if c.Offset == 0 {
		r.partialSnapshot = partialSnapshot{from: c.From, index: c.Index, term: c.Term}
	}
	s := &r.partialSnapshot
	if s.from != c.From || s.index != c.Index || s.term != c.Term || c.Offset != len(s.data) {
		return errkind.New(errkind.Conflict, "chunk at %d does not continue the snapshot", c.Offset)
	}
	if c.Offset+len(c.Data) > maxSnapshotBytes {
		return errkind.New(errkind.TooLarge, "snapshot exceeds %d bytes", maxSnapshotBytes)
	}
	s.data = append(s.data, c.Data...)
	return nil
}

// attachSnapshotData adds the received chunks to an InstallSnapshot message. It reports whether all
// chunks, of size bytes together, have been received.
func (r *Replica) attachSnapshotData(m *raft.Message, size int) bool {
	r.partialSnapshotMu.Lock()
	defer r.partialSnapshotMu.Unlock()
	s := r.partialSnapshot
	if m.Snapshot == nil || s.from != m.From || s.index != m.Snapshot.Index || s.term != m.Snapshot.Term || len(s.data) != size {
		return false
	}
	r.partialSnapshot = partialSnapshot{}
	m.Snapshot.Data = s.data
	return true
}
