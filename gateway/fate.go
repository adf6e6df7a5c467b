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
	// fateTimeout bounds a question for the fate of an attempt. Without an answer the
	// outcome is unknown, so a longer wait only delays the caller.
	fateTimeout = 250 * time.Millisecond
	// fateClientsBound is the number of nodes to which connections are kept.
	fateClientsBound = 256
	// fateMethod is the method that the owner's node serves.
	fateMethod = "Node.Fate"
)

// Fate answers another node that lost its hop. It is registered on rpc as "Node". Unless
// the request is a peek, an attempt that has not started is barred for good.
func (g *Gateway) Fate(req api.FateRequest, reply *api.FateReply) error {
	reply.Received, reply.Started = g.started.Peek(req.Attempt)
	if _, own := g.sessions.Load(req.Session); !own && !reply.Received {
		// A former process may have had it. One that this process has received was not sent to another.
		reply.Received, reply.Started, reply.Former = true, true, true
		return nil
	}
	if req.Peek {
		return nil
	}
	reply.Started = g.started.Fence(req.Attempt)
	reply.Received = reply.Started
	return nil
}

// noteSession remembers the sessions of this process. Attempts are kept over a change of session, but
// not over a restart.
func (g *Gateway) noteSession(id api.SessionID) {
	g.sessions.LoadOrStore(id, struct{}{})
}

// fateClients are the connections over which other nodes are asked.
type fateClients struct {
	tls *tls.Config

	mu     sync.Mutex
	byAddr map[string]*rpc.Client
}

func newFateClients(config *tls.Config) *fateClients {
	return &fateClients{tls: config, byAddr: make(map[string]*rpc.Client)}
}

// ask asks once, and once more over a new connection when the first had gone silent.
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
	// The reply is fresh for each call: an abandoned call may still write to it.
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
	if len(f.byAddr) >= fateClientsBound {
		f.dropOne()
	}
	c := rpc.NewClient(addr, f.tls)
	f.byAddr[addr] = c
	return c
}

// dropOne closes any one connection. The caller holds the lock.
func (f *fateClients) dropOne() {
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
