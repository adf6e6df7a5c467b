package ctl

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// TestExplain guards against a command that asks about another request than its flags describe, that prints the
// organisation key, or that hides the refusal.
func TestExplain(t *testing.T) {
	is := is.New(t)
	var got api.ExplainRequest
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.Method+" "+r.URL.Path, "POST "+api.PathExplain)
		got = api.ExplainRequest{}
		is.NoErr(json.NewDecoder(r.Body).Decode(&got))
		if got.Path == "bad" {
			errkind.WriteHTTP(w, errkind.New(errkind.BadRequest, "bad path"))
			return
		}
		_ = json.NewEncoder(w).Encode(api.Explanation{Node: "host-a1", Service: "quotes", Route: &api.ExplainedRoute{Prefix: "/quotes"},
			Choices: []api.ExplainedChoice{{Policy: "near", Selected: "t1", Compared: []api.ExplainedCandidate{{Target: "t1", Cost: 0.4}}}},
			Gate:    &api.ExplainedGate{Decision: "refused"}, Refusal: errkind.New(errkind.Overloaded, "queue of 256 is full")})
	}))
	defer node.Close()
	address := "--node=" + strings.TrimPrefix(node.URL, "http://")
	ask := []string{"explain", address, "--host=h", "--path=/quotes/k?x=1", "--method=POST", "--header", "Authorization: Bearer s3cret", "--body-bytes=70000"}
	code, out, _ := run(ask...)
	is.Equal(code, ExitOK)
	is.Equal(got, api.ExplainRequest{Method: "POST", Host: "h", Path: "/quotes/k?x=1", BodyBytes: 70000,
		Header: http.Header{"Authorization": {"Bearer s3cret"}}})
	for _, want := range []string{"host-a1", "near selects t1", "overloaded (not run): queue of 256 is full"} {
		is.True(strings.Contains(out, want)) // the text form
	}
	code, jsonOut, _ := run(append(ask, "--json")...)
	is.Equal(code, ExitOK)
	is.True(json.Valid([]byte(jsonOut)) && strings.Contains(jsonOut, `"error": "overloaded"`))
	is.True(!strings.Contains(out+jsonOut, "s3cret"))

	for want, line := range map[int][]string{
		ExitRefused:  {address, "--host=h", "--path=bad"},
		ExitUsage:    {address, "--host=h"},
		ExitNoAnswer: {"--node=127.0.0.1:1", "--timeout=200ms", "--host=h", "--path=/"},
	} {
		code, _, _ := run(append([]string{"explain"}, line...)...)
		is.Equal(code, want)
	}
	code, _, stderr := run("explain", address, "--host=h", "--path=/", "--header", "Bearer s3cret")
	is.Equal(code, ExitUsage)
	is.True(!strings.Contains(stderr, "s3cret"))
}
