package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/operator"
	"github.com/zinniapier/zinniapier/target"
)

// callLimit bounds a helper's call.
const callLimit = 10 * time.Second

// Echo is the answer of a sample target.
type Echo = target.Answer

// Answer is the complete answer to a request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Kind is the kind of a refusal, else empty.
	Kind errkind.Kind
	// NotRun is what a refusal says.
	NotRun bool
	// Echo is the sample target's answer when Status is 200.
	Echo Echo
}

// Request is one request of a caller.
type Request struct {
	Method string // default GET
	Path   string
	// OrganisationKey is sent as the bearer token; empty sends none.
	OrganisationKey string
	Header          http.Header
	Body            []byte
}

// callers keeps connections open between requests, as callers do.
var callers = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// Do sends a request to the node's caller listener. The error says that no complete answer came.
func (n *Node) Do(ctx context.Context, r Request) (*Answer, error) {
	method := r.Method
	if method == "" {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.Settings.CallerListen+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	if r.OrganisationKey != "" {
		req.Header.Set("Authorization", "Bearer "+r.OrganisationKey)
	}
	// Without GetBody the transport does not resend, so that a test counts each of its requests once.
	req.GetBody = nil
	return answer(callers.Do(req))
}

func answer(resp *http.Response, err error) (*Answer, error) {
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	a := &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}
	a.Kind = errkind.Kind(resp.Header.Get(errkind.HeaderKind))
	a.NotRun, _ = strconv.ParseBool(resp.Header.Get(errkind.HeaderNotRun))
	if a.Status == http.StatusOK {
		if err := json.Unmarshal(body, &a.Echo); err != nil {
			return nil, errors.Annotate(err, "answer is not an echo of the sample target")
		}
	}
	return a, nil
}

// SetBehaviour posts v as JSON to the target's behaviour endpoint, past its node.
func (t *Target) SetBehaviour(v any) {
	t.cluster.t.Helper()
	body, err := json.Marshal(v)
	if err == nil {
		err = t.call(http.MethodPost, target.PathBehaviour, body, nil)
	}
	if err != nil {
		t.cluster.t.Fatalf("cluster: behaviour of %s: %v", t.Name, err)
	}
}

// Counters reads the target's counters into v, past its node.
func (t *Target) Counters(v any) {
	t.cluster.t.Helper()
	if err := t.call(http.MethodGet, target.PathCounters, nil, v); err != nil {
		t.cluster.t.Fatalf("cluster: counters of %s: %v", t.Name, err)
	}
}

func (t *Target) call(method, path string, body []byte, reply any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+t.Settings.Listen+path, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := callers.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	if reply == nil {
		return nil
	}
	return errors.Trace(json.NewDecoder(resp.Body).Decode(reply))
}

// Operator returns a client of the operator API of all members, or of the given ones.
func (c *Cluster) Operator(members ...*Control) *operator.Client {
	c.t.Helper()
	if len(members) == 0 {
		members = c.Control
	}
	var addresses []string
	for _, m := range members {
		addresses = append(addresses, m.Settings.OperatorListen)
	}
	pair, err := members[0].Settings.TLS.Load()
	if err != nil {
		c.t.Fatal(err)
	}
	client, err := operator.New(operator.Options{Addresses: addresses, Timeout: callLimit, TLS: pair.Client})
	if err != nil {
		c.t.Fatal(err)
	}
	return client
}

// Change makes an operator change on the current version, and fails the test when it is refused.
func (c *Cluster) Change(change api.Change) uint64 {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*callLimit)
	defer cancel()
	client := c.Operator()
	current, err := client.Configuration(ctx)
	if err != nil {
		c.t.Fatalf("cluster: read the configuration: %v", err)
	}
	change.BaseVersion = current.Version
	version, err := client.Change(ctx, change)
	if err != nil {
		c.t.Fatalf("cluster: %s: %v", change.Kind, err)
	}
	return version
}

// AddOrganisation adds an organisation and returns its organisation key. Rate is in requests per second.
func (c *Cluster) AddOrganisation(id api.OrganisationID, rate, burst float64) string {
	c.t.Helper()
	c.Change(api.Change{Kind: api.PutOrganisation, Organisation: &api.Organisation{ID: id, Rate: rate, Burst: burst, Weight: 1}})
	secret := api.NewID()
	key := &api.OrganisationKey{ID: api.NewID(), Organisation: id, Digest: api.DigestKey(secret)}
	c.Change(api.Change{Kind: api.GrantKey, Key: key})
	return secret
}

// Eventually calls f until it returns nil, and fails the test with its last error after the limit.
func Eventually(t testing.TB, limit time.Duration, f func() error) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("after %v: %v", limit, err)
		}
		time.Sleep(pollInterval)
	}
}
