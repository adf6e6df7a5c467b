package gateway

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/rpc"
)

const (
	// fateTimeout limits a query for the fate of an attempt. Without a reply the outcome is
	// unknown, so a longer wait only delays the caller.
	fateTimeout = 250 * time.Millisecond
	// maxFateClients is the number of nodes to which connections are kept.
	maxFateClients = 256
	// fateMethod is the RPC method that the owner's node serves.
	fateMethod = "Node.Fate"
)

// Fate reports the fate (the outcome) of an attempt to a node that lost its hop. It is registered
// with net/rpc as "Node". Unless the request is a peek, an attempt that has not started is fenced:
// it will never start.
func (g *Gateway) Fate(req api.FateRequest, reply *api.FateReply) error {
	reply.Received, reply.Started = g.attemptTable.Peek(req.Attempt)
	if _, own := g.sessions.Load(req.Session); !own && !reply.Received {
		// The previous process on this address may have received it. An attempt that this process
		// has received was sent to no other.
		reply.Received, reply.Started, reply.Former = true, true, true
		return nil
	}
	if req.Peek {
		return nil
	}
	reply.Started = g.attemptTable.Fence(req.Attempt)
	reply.Received = reply.Started
	return nil
}

// recordSession remembers the sessions of this process. The table of attempts survives a change of
// session, but not a restart.
func (g *Gateway) recordSession(id api.SessionID) {
	g.sessions.LoadOrStore(id, struct{}{})
}

// fateClients holds the connections for querying other nodes.
type fateClients struct {
	tls *tls.Config

	mu     sync.Mutex
	byAddr map[string]*rpc.Client
}

func newFateClients(config *tls.Config) *fateClients {
	return &fateClients{tls: config, byAddr: make(map[string]*rpc.Client)}
}

// ask sends the query once, and again over a new connection if the first fails.
func (f *fateClients) ask(ctx context.Context, addr string, req api.FateRequest) (api.FateReply, error) {
	reply, err := f.askOnce(ctx, addr, req)
	if err != nil && ctx.Err() == nil {
		reply, err = f.askOnce(ctx, addr, req)
	}
	return reply, err
}

func (f *fateClients) askOnce(ctx context.Context, addr string, req api.FateRequest) (api.FateReply, error) {
	ctx, cancel := context.WithTimeout(ctx, fateTimeout)
	defer cancel()
	// Each call has its own reply, since an abandoned call may still write to it.
	reply := new(api.FateReply)
	if err := f.client(addr).Call(ctx, fateMethod, req, reply); err != nil {
		return api.FateReply{}, err
	}
	return *reply, nil
}

func (f *fateClients) client(addr string) *rpc.Client {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := f.byAddr[addr]; c != nil {
		return c
	}
	if len(f.byAddr) >= maxFateClients {
		f.evictOne()
	}
	c := rpc.NewClient(addr, f.tls)
	f.byAddr[addr] = c
	return c
}

// evictOne closes an arbitrary connection. The caller holds the lock.
func (f *fateClients) evictOne() {
	for addr, c := range f.byAddr {
		c.Close()
		delete(f.byAddr, addr)
		return
	}
}

func (f *fateClients) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.byAddr {
		c.Close()
	}
}
