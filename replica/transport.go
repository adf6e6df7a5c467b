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
	// linkQueueSize is the maximum number of queued messages per member; further ones are dropped.
	linkQueueSize = 128
	// maxBatchBytes is the size of entry data above which no further messages are added to a call.
	maxBatchBytes = 2 << 20
	// chunkBytes is the maximum size of the part of a snapshot in one call.
	chunkBytes = 1 << 20
)

const (
	eventSendDropped  = "raft_send_dropped"
	eventInboxDropped = "raft_inbox_dropped"
	eventCallFailed   = "raft_call_failed"
)

// transport sends raft messages to the other members, over separate connections.
type transport struct {
	ctx         context.Context
	log         *logrus.Entry
	tls         *tls.Config
	self        identity
	selfAddress string

	wait  sync.WaitGroup
	mu    sync.Mutex
	links map[uint64]*link
	// recentSenders holds the addresses in received messages by member id. A new member, which has
	// no membership yet, knows no others.
	recentSenders map[uint64]string
}

// link sends messages to one member. Snapshots have their own connection, so that they do not delay
// heartbeats.
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
		ctx: ctx, log: log, tls: o.TLS, self: self, selfAddress: o.Address,
		links: make(map[uint64]*link), recentSenders: make(map[uint64]string),
	}
}

// recordAddress records the address of a member that has sent messages.
func (t *transport) recordAddress(id uint64, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recentSenders[id] = address
}

// send queues messages. It drops messages to members without a known address or with a full queue.
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

// link returns the link to a member, replacing one with an old address. It returns nil if no address
// is known.
func (t *transport) link(id uint64, members roster) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	address := t.recentSenders[id]
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

// closeStaleLinks closes the links to members that are not in the roster and have sent nothing since
// the last call.
func (t *transport) closeStaleLinks(members roster) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, l := range t.links {
		_, member := members.find(id)
		if _, recentlySeen := t.recentSenders[id]; !member && !recentlySeen {
			l.stop()
			delete(t.links, id)
		}
	}
	clear(t.recentSenders)
}

func (t *transport) open(id uint64, address string) *link {
	ctx, stop := context.WithCancel(t.ctx)
	l := &link{
		transport: t, to: id, address: address, stop: stop,
		messages: make(chan raft.Message, linkQueueSize), snapshots: make(chan raft.Message, 1),
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
	for size < maxBatchBytes {
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
		Cluster: self.Cluster, From: self.ID, To: l.to, FromAddress: l.transport.selfAddress,
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
			return // the core will send the snapshot again
		}
	}
	snap := *m.Snapshot
	snap.Data = nil
	m.Snapshot = &snap
	if !l.call(ctx, client, "Deliver", l.batch([]raft.Message{m}, len(data))) {
		return
	}
	select {
	case <-l.snapshots: // the core sent the snapshot again during a long transfer
	default:
	}
}

func (l *link) call(ctx context.Context, client *rpc.Client, method string, args any) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := client.Call(ctx, rpcServiceName+"."+method, args, &Empty{})
	if err != nil {
		telemetry.CountEvent(eventCallFailed, 1)
		l.transport.log.WithError(err).WithField("member", l.address).Debug("Call to member failed.")
	}
	return err == nil
}
