package replica

import (
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/raft"
	"github.com/zinniapier/zinniapier/telemetry"
)

// maxStagedBytes bounds the state of a snapshot received in chunks.
const maxStagedBytes = 1 << 30

// staged is a snapshot that arrives in chunks.
type staged struct {
	from, index, term uint64
	data              []byte
}

// checkAddressee refuses what is meant for another group or another id: the sender knows
// this host under an id that it had before its disk was wiped.
func (r *Replica) checkAddressee(cluster, to uint64) error {
	self := r.self()
	if self.Cluster == 0 || cluster != self.Cluster || to != self.ID {
		return errkind.New(errkind.UnknownMember, "this member is %x of group %x", self.ID, self.Cluster)
	}
	return nil
}

func (r *Replica) deliver(b Batch) error {
	if err := r.checkAddressee(b.Cluster, b.To); err != nil {
		return err
	}
	t := r.transport.Load()
	if t == nil {
		return errkind.New(errkind.UnknownMember, "member is starting")
	}
	t.learn(b.From, b.FromAddress)
	for _, m := range b.Messages {
		if m.From != b.From || m.To != b.To {
			return errkind.New(errkind.BadRequest, "message from %x in a batch from %x", m.From, b.From)
		}
		if m.Type == raft.InstallSnapshot && b.SnapshotBytes > 0 && !r.unstage(&m, b.SnapshotBytes) {
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

// stage keeps a chunk. Only chunks in order count; the sender starts over after a loss.
func (r *Replica) stage(c Chunk) error {
	if err := r.checkAddressee(c.Cluster, c.To); err != nil {
		return err
	}
	r.stagedMu.Lock()
	defer r.stagedMu.Unlock()
	if c.Offset == 0 {
		r.staged = staged{from: c.From, index: c.Index, term: c.Term}
	}
	s := &r.staged
	if s.from != c.From || s.index != c.Index || s.term != c.Term || c.Offset != len(s.data) {
		return errkind.New(errkind.Conflict, "chunk at %d does not continue the snapshot", c.Offset)
	}
	if c.Offset+len(c.Data) > maxStagedBytes {
		return errkind.New(errkind.TooLarge, "snapshot beyond %d bytes", maxStagedBytes)
	}
	s.data = append(s.data, c.Data...)
	return nil
}

// unstage completes a snapshot message with the staged chunks, if they are all there.
func (r *Replica) unstage(m *raft.Message, size int) bool {
	r.stagedMu.Lock()
	defer r.stagedMu.Unlock()
	s := r.staged
	if m.Snapshot == nil || s.from != m.From || s.index != m.Snapshot.Index || s.term != m.Snapshot.Term || len(s.data) != size {
		return false
	}
	r.staged = staged{}
	m.Snapshot.Data = s.data
	return true
}
