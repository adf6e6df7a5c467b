package control

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/zinniapier/zinniapier/errkind"
)

const (
	// headerForwarded marks a request that a member has already forwarded.
	headerForwarded = "Zinnia-Forwarded"
	// forwardTimeout exceeds operatorTimeout, so that the leader's response arrives first.
	forwardTimeout = 5 * time.Second
)

// forward sends the request to the leader's operator listener when another member leads, and
// reports whether it has written a response. GET /v1/status is left to this member when there is
// no leader, when the leader cannot be reached, or with a query parameter named local.
func (c *Control) forward(w http.ResponseWriter, r *http.Request, body []byte) bool {
	name, address, self := c.o.Log.Leader()
	status := r.URL.Path == PathStatus
	if self || status && (name == "" || r.URL.Query().Has("local")) {
		return false
	}
	operatorListener := c.operatorAddress(name)
	switch {
	case r.Header.Get(headerForwarded) != "":
		errkind.WriteHTTP(w, errkind.New(errkind.NotLeader, "%s", address))
	case name == "":
		errkind.WriteHTTP(w, errkind.New(errkind.NoQuorum, "no leader is known; retry after an election"))
	case operatorListener == "":
		errkind.WriteHTTP(w, errkind.New(errkind.NotLeader, "operator address of leader %s is unknown", name))
	default:
		err := c.forwardTo(w, r, operatorListener, body)
		if err != nil && status {
			return false
		}
		if err != nil {
			errkind.WriteHTTP(w, errkind.New(errkind.Unknown, "forward request to the leader: %v", err))
		}
	}
	return true
}

// forwardTo sends the request to the operator listener at address and copies the response to w.
// On an error nothing has been written to w.
func (c *Control) forwardTo(w http.ResponseWriter, r *http.Request, address string, body []byte) error {
	scheme := "http://"
	if c.o.OperatorTLS != nil {
		scheme = "https://"
	}
	out, err := http.NewRequestWithContext(r.Context(), r.Method, scheme+address+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return err
	}
	out.Header.Set(headerForwarded, c.o.Name)
	out.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(out)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	for _, h := range []string{"Content-Type", errkind.HeaderKind, errkind.HeaderNotRun} {
		if v := resp.Header.Get(h); v != "" {
			w.Header().Set(h, v)
		}
	}
	w.WriteHeader(resp.StatusCode)
	// The status is already sent, so the client sees a failed copy as a truncated body.
	_, _ = io.Copy(w, resp.Body)
	return nil
}

// operatorAddress returns the host:port of a member's operator listener, or "" when unknown. The
// group's member list takes precedence over the settings, since it includes members that joined
// later.
func (c *Control) operatorAddress(name string) string {
	for _, m := range c.o.Log.Members() {
		if m.Name == name && m.OperatorAddress != "" {
			return m.OperatorAddress
		}
	}
	return c.o.OperatorAddresses[name]
}
