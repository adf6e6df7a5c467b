package control

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/zinniapier/zinniapier/errkind"
)

const (
	// headerForwarded marks a request that a member has forwarded already.
	headerForwarded = "Zinnia-Forwarded"
	// forwardTimeout is above operatorTimeout, so that the leader's answer arrives first.
	forwardTimeout = 5 * time.Second
)

// forward passes the request to the leader's operator listener when another member leads,
// and returns whether it has answered. GET /v1/status is answered here when there is no
// leader or it cannot be reached, or with the query local=1.
func (c *Control) forward(w http.ResponseWriter, r *http.Request, body []byte) bool {
	name, address, self := c.o.Log.Leader()
	status := r.URL.Path == PathStatus
	if self || status && (name == "" || r.URL.Query().Has("local")) {
		return false
	}
	target := c.operatorAddress(name)
	switch {
	case r.Header.Get(headerForwarded) != "":
		errkind.WriteHTTP(w, errkind.New(errkind.NotLeader, "%s", address))
	case name == "":
		errkind.WriteHTTP(w, errkind.New(errkind.NoQuorum, "no leader is known"))
	case target == "":
		errkind.WriteHTTP(w, errkind.New(errkind.NotLeader, "the operator address of leader %s is not known", name))
	default:
		err := c.send(w, r, target, body)
		if err != nil && status {
			return false
		}
		if err != nil {
			errkind.WriteHTTP(w, errkind.New(errkind.Unknown, "forward to the leader: %v", err))
		}
	}
	return true
}

// send copies the leader's answer to w; on an error nothing has been written.
func (c *Control) send(w http.ResponseWriter, r *http.Request, target string, body []byte) error {
	scheme := "http://"
	if c.o.OperatorTLS != nil {
		scheme = "https://"
	}
	out, err := http.NewRequestWithContext(r.Context(), r.Method, scheme+target+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return err
	}
	out.Header.Set(headerForwarded, c.o.Name)
	out.Header.Set("Content-Type", "application/json")
	answer, err := c.client.Do(out)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	for _, h := range []string{"Content-Type", errkind.HeaderKind, errkind.HeaderNotRun} {
		if v := answer.Header.Get(h); v != "" {
			w.Header().Set(h, v)
		}
	}
	w.WriteHeader(answer.StatusCode)
	// A broken copy shows as a truncated body to the operator's tool.
	_, _ = io.Copy(w, answer.Body)
	return nil
}

// operatorAddress returns host:port of a member's operator listener, or "" when unknown. The
// group's own list wins over the settings, since it also knows members that joined later.
func (c *Control) operatorAddress(name string) string {
	for _, m := range c.o.Log.Members() {
		if m.Name == name && m.OperatorAddress != "" {
			return m.OperatorAddress
		}
	}
	return c.o.OperatorAddresses[name]
}
