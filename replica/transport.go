package replica

import (
	"context"
	"crypto/tls"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/zinniapier/zinniapier/raft"
	"github.com/zinniapier/zinniapier/rpc"
	"github.com/zinniapier/zinniapier/telemetry"
)

const (
	// linkQueue bounds the messages waiting for one member; more are dropped.
	linkQueue = 128
	// batchBytes is the entry data after which a call is closed for further messages.
	batchBytes = 2 << 20
	// chunkBytes bounds the part of a snapshot in one call.
	chunkBytes = 1 << 20
)

const (
	eventSendDropped  = "raft_send_dropped"
	eventInboxDropped = "raft_inbox_dropped"
	eventCallFailed   = "raft_call_failed"
)

// transport sends raft messages to the other members, each over its own connection.
type transport struct {
	ctx  context.Context
	log  *logrus.Entry
	tls  *tls.Config
	self identity
	from string

	wait  sync.WaitGroup
	mu    sync.Mutex
	links map[uint64]*link
	// learned are addresses from received messages; a new member has no others.
	learned map[uint64]string
}

// link is the way to one member. Snapshots have their own connection, so that they do
// not hold up heartbeats.
type link struct {
	transport *transport
	to        uint64
	address   string
	stop      context.CancelFunc
	messages  chan raft.Message
	snapshots chan raft.Message
}

func newTransport(ctx context.Context, log *logrus.Entry, o Options, self identity) *transport {
	return &transport{
		ctx: ctx, log: log, tls: o.TLS, self: self, from: o.Address,
		links: make(map[uint64]*link), learned: make(map[uint64]string),
	}
}

// learn notes the address of a member that has sent messages.
func (t *transport) learn(id uint64, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.learned[id] = address
}

// send queues messages; those to members without a known address are dropped.
func (t *transport) send(messages []raft.Message, members roster) {
	for _, m := range messages {
		l := t.link(m.To, members)
		if l == nil {
			continue
		}
		queue := l.messages
		if m.Type == raft.InstallSnapshot {
			queue = l.snapshots
		}
		select {
		case queue <- m:
		default:
			telemetry.CountEvent(eventSendDropped, 1)
		}
	}
}

// link returns the link to a member, replaced when its address has changed.
func (t *transport) link(id uint64, members roster) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	address := t.learned[id]
	if m, ok := members.find(id); ok {
		address = m.Address
	}
	l, ok := t.links[id]
	if ok && l.address == address {
		return l
	}
	if ok {
		l.stop()
		delete(t.links, id)
	}
	if address == "" {
		return nil
	}
	t.links[id] = t.open(id, address)
	return t.links[id]
}

// retain closes the links to members that are not in the roster and were not heard of
// since the last call.
func (t *transport) retain(members roster) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, l := range t.links {
		_, member := members.find(id)
		if _, heard := t.learned[id]; !member && !heard {
			l.stop()
			delete(t.links, id)
		}
	}
	clear(t.learned)
}

func (t *transport) open(id uint64, address string) *link {
	ctx, stop := context.WithCancel(t.ctx)
	l := &link{
		transport: t, to: id, address: address, stop: stop,
		messages: make(chan raft.Message, linkQueue), snapshots: make(chan raft.Message, 1),
	}
	t.wait.Go(func() { l.sendMessages(ctx) })
	t.wait.Go(func() { l.sendSnapshots(ctx) })
	return l
}

func (l *link) sendMessages(ctx context.Context) {
	client := rpc.NewClient(l.address, l.transport.tls)
	defer client.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.messages:
			// One call at a time keeps the order; messages that wait meanwhile share the next.
			l.call(ctx, client, "Deliver", l.batch(l.collect(m), 0))
		}
	}
}

func (l *link) collect(m raft.Message) []raft.Message {
	messages := []raft.Message{m}
	size := entryBytes(m)
	for size < batchBytes {
		select {
		case m = <-l.messages:
			messages = append(messages, m)
			size += entryBytes(m)
		default:
			return messages
		}
	}
	return messages
}

func entryBytes(m raft.Message) (size int) {
	for _, e := range m.Entries {
		size += len(e.Data)
	}
	return size
}

func (l *link) batch(messages []raft.Message, snapshotBytes int) Batch {
	self := l.transport.self
	return Batch{
		Cluster: self.Cluster, From: self.ID, To: l.to, FromAddress: l.transport.from,
		Messages: messages, SnapshotBytes: snapshotBytes,
	}
}

func (l *link) sendSnapshots(ctx context.Context) {
	client := rpc.NewClient(l.address, l.transport.tls)
	defer client.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.snapshots:
			l.sendSnapshot(ctx, client, m)
		}
	}
}

func (l *link) sendSnapshot(ctx context.Context, client *rpc.Client, m raft.Message) {
	data := m.Snapshot.Data
	for offset := 0; offset < len(data); offset += chunkBytes {
		self := l.transport.self
		c := Chunk{
			Cluster: self.Cluster, From: self.ID, To: l.to, Index: m.Snapshot.Index, Term: m.Snapshot.Term,
			Offset: offset, Data: data[offset:min(offset+chunkBytes, len(data))],
		}
		if !l.call(ctx, client, "Chunk", c) {
			return // the core sends the snapshot again
		}
	}
	snap := *m.Snapshot
	snap.Data = nil
	m.Snapshot = &snap
	if !l.call(ctx, client, "Deliver", l.batch([]raft.Message{m}, len(data))) {
		return
	}
	select {
	case <-l.snapshots: // a repetition that the core asked for during a long transfer
	default:
	}
}

func (l *link) call(ctx context.Context, client *rpc.Client, method string, args any) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := client.Call(ctx, receiverName+"."+method, args, &Empty{})
	if err != nil {
		telemetry.CountEvent(eventCallFailed, 1)
		l.transport.log.WithError(err).WithField("member", l.address).Debug("Call to member failed.")
	}
	return err == nil
}
