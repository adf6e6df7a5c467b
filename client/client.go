// Package client is the library for callers of the router: it learns the map from any
// node and sends each request straight to the node beside the owner of its key, which
// saves the hop. Without a map, or when it is stale, any node still serves the request.
package client

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
)

const (
	// defaultAttempts is the number of nodes to which a request is sent at most.
	defaultAttempts = 3
	// refreshTimeout bounds one fetch of the map.
	refreshTimeout = 2 * time.Second
	// refreshInterval is the least time between two fetches, so that a moving map does
	// not have every request fetch it.
	refreshInterval = 100 * time.Millisecond
	// mapSize bounds in bytes the map that a node may send.
	mapSize = 64 << 20
	// idleConns is the number of idle connections kept to one node.
	idleConns = 64
)

// ErrNoNodes is the cause of the error that New returns when it is given no node.
const ErrNoNodes = errors.ConstError("no nodes given")

// Options configure a client.
type Options struct {
	// Nodes are the caller addresses of some nodes, host:port. At least one is needed.
	Nodes []string
	// OrganisationKey authenticates the map and each request that has no Authorization.
	OrganisationKey string
	// Scheme is http (default) or https.
	Scheme string
	// Transport sends the requests; nil means one of the client's own. It must not
	// resend requests by itself.
	Transport http.RoundTripper
	// Attempts is the greatest number of nodes that a request is sent to. Default 3.
	Attempts int
}

// Client sends requests to the nodes of the router. It is safe for concurrent use.
type Client struct {
	options   Options
	transport http.RoundTripper
	current   atomic.Pointer[routing]
	next      atomic.Uint64 // rotates over the nodes

	mu        sync.Mutex
	fetching  bool
	fetchedAt time.Time
}

// New returns a client. It does not connect: the map is fetched with the first request.
func New(o Options) (*Client, error) {
	if len(o.Nodes) == 0 {
		return nil, errors.Trace(ErrNoNodes)
	}
	if o.Scheme == "" {
		o.Scheme = "http"
	}
	if o.Attempts <= 0 {
		o.Attempts = defaultAttempts
	}
	c := &Client{options: o, transport: o.Transport}
	if c.transport == nil {
		c.transport = &http.Transport{
			MaxIdleConnsPerHost: idleConns,
			IdleConnTimeout:     10 * time.Second,
			DisableCompression:  true,
		}
	}
	c.current.Store(newRouting(&api.PublicMap{}, o.Nodes))
	return c, nil
}

// MapVersion returns the version of the map in use; 0 before the first fetch.
func (c *Client) MapVersion() uint64 { return c.current.Load().public.Version }
