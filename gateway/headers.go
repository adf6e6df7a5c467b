package gateway

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/zinniapier/zinniapier/api"
)

// hopByHop are the headers that belong to one connection. Expect is answered by the
// server itself, and trailers are not passed on.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Expect":              true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// requestHeader returns the headers of a caller's request that go to the target: without
// internal headers, the organisation key, and what belongs to the caller's connection.
func (g *Gateway) requestHeader(in http.Header) http.Header {
	out := endToEnd(in)
	for name := range out {
		if g.dialect.IsPrivateHeader(name) {
			delete(out, name)
		}
	}
	if _, ok := out["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		out["User-Agent"] = emptyValue
	}
	return out
}

var emptyValue = []string{""}

// endToEnd copies the headers that are neither internal nor bound to one connection. The
// lists of values are shared with in.
func endToEnd(in http.Header) http.Header {
	listed := connectionListed(in)
	out := make(http.Header, len(in)+10)
	for name, values := range in {
		if hopByHop[name] || isInternal(name) || listed[name] {
			continue
		}
		out[name] = values
	}
	return out
}

// copyAnswerHeader adds the headers of an answer that go to the caller.
func copyAnswerHeader(to, from http.Header) {
	listed := connectionListed(from)
	for name, values := range from {
		if hopByHop[name] || isInternal(name) || listed[name] {
			continue
		}
		to[name] = values
	}
}

func isInternal(name string) bool {
	return len(name) >= len(api.HeaderPrefix) && strings.EqualFold(name[:len(api.HeaderPrefix)], api.HeaderPrefix)
}

// connectionListed returns the names that the Connection header declares as its own.
func connectionListed(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	listed := make(map[string]bool)
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			listed[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return listed
}
