// Package operator is a client of the control members' operator API.
//
// A client knows the operator addresses of several members and uses the next one when a
// member does not answer or cannot decide. All errors are *errkind.Error:
// NodeUnreachable when no member could be reached, Unknown when a request was sent and
// no member answered, and otherwise the kind of the last refusal.
package operator

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// Paths of the operator API.
const (
	PathStatus        = "/v1/status"
	PathConfiguration = "/v1/configuration"
	PathChanges       = "/v1/changes"
	PathMembers       = "/v1/members"
)

const (
	// DefaultTimeout bounds a call over all members.
	DefaultTimeout = 10 * time.Second
	// attemptTimeout bounds one request to one member, so that a silent member leaves time for the others.
	attemptTimeout = 2 * time.Second
	// roundPause is the wait before all members are tried again; an election takes about 300 ms.
	roundPause = 150 * time.Millisecond
)

// Options of a Client.
type Options struct {
	// Addresses are the operator addresses of control members, host:port.
	Addresses []string
	// Timeout bounds a call over all members. Default DefaultTimeout.
	Timeout time.Duration
	// TLS authenticates both ends; nil means plain HTTP.
	TLS *tls.Config
	// AttemptTimeout bounds one request to one member. Default 2 s.
	AttemptTimeout time.Duration
}

// Client calls the operator API. It is safe for concurrent use.
type Client struct {
	addresses []string
	timeout   time.Duration
	attempt   time.Duration
	scheme    string
	http      *http.Client
}

// New returns a client; without addresses the error is Invalid.
func New(o Options) (*Client, error) {
	if len(o.Addresses) == 0 {
		return nil, errkind.New(errkind.Invalid, "no control address")
	}
	for _, a := range o.Addresses {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return nil, errkind.New(errkind.Invalid, "control address %q: %v", a, err)
		}
	}
	c := &Client{addresses: o.Addresses, timeout: o.Timeout, attempt: o.AttemptTimeout}
	if c.timeout <= 0 {
		c.timeout = DefaultTimeout
	}
	if c.attempt <= 0 {
		c.attempt = attemptTimeout
	}
	c.scheme = "http"
	if o.TLS != nil {
		c.scheme = "https"
	}
	c.http = &http.Client{Transport: &http.Transport{
		TLSClientConfig:     o.TLS,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     time.Minute,
	}}
	return c, nil
}

// Status returns the status that a member reports.
func (c *Client) Status(ctx context.Context) (*api.Status, error) {
	status := new(api.Status)
	if err := c.call(ctx, request{method: http.MethodGet, path: PathStatus, repeatable: true}, status); err != nil {
		return nil, err
	}
	return status, nil
}

// Configuration returns the current configuration.
func (c *Client) Configuration(ctx context.Context) (*api.Configuration, error) {
	configuration := new(api.Configuration)
	err := c.call(ctx, request{method: http.MethodGet, path: PathConfiguration, repeatable: true}, configuration)
	if err != nil {
		return nil, err
	}
	return configuration, nil
}

// Change submits a change and returns the version that it created. A change without an ID
// gets one; resends to other members carry the same ID, so the change is made at most once.
// After Unknown or NoQuorum the caller may call Change again with the same ID.
func (c *Client) Change(ctx context.Context, change api.Change) (uint64, error) {
	if change.ID == "" {
		change.ID = api.NewID()
	}
	var result api.ChangeResult
	r := request{method: http.MethodPost, path: PathChanges, body: change, repeatable: true}
	if err := c.call(ctx, r, &result); err != nil {
		return 0, err
	}
	if result.Error != nil {
		return result.Version, result.Error
	}
	return result.Version, nil
}

// ChangeMembers adds or removes a control member. The request has no id, so it is sent to the
// next member only when the previous one certainly did not act on it.
func (c *Client) ChangeMembers(ctx context.Context, change api.MemberChange) error {
	var ignored any
	return c.call(ctx, request{method: http.MethodPost, path: PathMembers, body: change}, &ignored)
}

// Explain asks the status listener of a node, whose address takes the place of those of the control members, where a
// request would be routed now.
func (c *Client) Explain(ctx context.Context, q api.ExplainRequest) (*api.Explanation, error) {
	x := new(api.Explanation)
	r := request{method: http.MethodPost, path: api.PathExplain, body: q, repeatable: true}
	if err := c.call(ctx, r, x); err != nil {
		return nil, err
	}
	return x, nil
}
