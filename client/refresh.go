package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
)

// Refresh fetches the map from the nodes in turn until one answers. It returns the error
// of the last node.
func (c *Client) Refresh(ctx context.Context) error {
	var err error
	for range c.options.Attempts {
		if err = c.fetch(ctx, c.anyNode()); err == nil {
			return nil
		}
	}
	return errors.Annotate(err, "fetch the map")
}

func (c *Client) fetch(ctx context.Context, node string) error {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.options.Scheme+"://"+node+api.PathMap, nil)
	if err != nil {
		return errors.Trace(err)
	}
	c.authorise(req)
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("node %s: status %d", node, resp.StatusCode)
	}
	m := new(api.PublicMap)
	if err := json.NewDecoder(io.LimitReader(resp.Body, mapSize)).Decode(m); err != nil {
		return errors.Annotatef(err, "map of node %s", node)
	}
	c.adopt(m)
	return nil
}

// adopt stores the map unless a newer one has been stored meanwhile.
func (c *Client) adopt(m *api.PublicMap) {
	next := newRouting(m, c.options.Nodes)
	for {
		old := c.current.Load()
		if m.Version < old.public.Version {
			return
		}
		if c.current.CompareAndSwap(old, next) {
			return
		}
	}
}

// noteVersion fetches the map in the background when an answer shows that it is stale.
func (c *Client) noteVersion(h http.Header) {
	version, err := strconv.ParseUint(h.Get(api.HeaderMapVersion), 10, 64)
	if err == nil && version > c.MapVersion() {
		c.refreshSoon()
	}
}

// refreshSoon starts a fetch unless one runs or has just run.
func (c *Client) refreshSoon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fetching || time.Since(c.fetchedAt) < refreshInterval {
		return
	}
	c.fetching = true
	go c.refreshOnce()
}

func (c *Client) refreshOnce() {
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	// A failed fetch leaves the old map, which costs a hop and no more.
	_ = c.Refresh(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fetching = false
	c.fetchedAt = time.Now()
}

// anyNode returns the known nodes in turn.
func (c *Client) anyNode() string {
	nodes := c.current.Load().nodes
	return nodes[c.next.Add(1)%uint64(len(nodes))]
}

func (c *Client) authorise(req *http.Request) {
	if c.options.OrganisationKey != "" && req.Header.Get("Authorization") == "" {
		req.Header.Set("Authorization", "Bearer "+c.options.OrganisationKey)
	}
}
