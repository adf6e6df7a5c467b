package integration

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/internal/cluster"
)

// intruder marks values that a caller puts into internal headers.
const intruder = "31337"

// forgedHeaders returns every internal header, some spelt unusually, with values of a caller.
func forgedHeaders() http.Header {
	h := http.Header{}
	for _, name := range []string{
		api.HeaderOrganisation, api.HeaderAttempt, api.HeaderEpoch, api.HeaderPartition, api.HeaderService,
		api.HeaderDeadlineMs, api.HeaderAttemptsLeft, api.HeaderHop, api.HeaderCold, api.HeaderShed,
		"Zinnia-Target", "Zinnia-Key", "Zinnia-Idempotent",
		"Zinnia-Error", "Zinnia-Not-Run", "Zinnia-Map-Version", "Zinnia-Anything",
	} {
		h.Set(name, intruder)
	}
	// Keys that are not canonical go over the wire as they are.
	h["zinnia-organisation"] = []string{intruder}
	h["ZINNIA-EPOCH"] = []string{intruder}
	h["X-Kept"] = []string{"kept"}
	return h
}

// TestInternalHeadersOfCallers guards against a caller that takes another organisation, owner
// or attempt by sending internal headers, and against an organisation key that reaches a target.
func TestInternalHeadersOfCallers(t *testing.T) {
	c, key := start(t, cluster.Options{Hosts: hosts("a", "b"), EditTarget: warmTargets})
	c.AddOrganisation(intruder, 100, 100)
	local, hops := 0, 0
	for i, path := range forgedPaths() {
		for _, n := range c.Nodes {
			a := request(t, n, cluster.Request{Method: "POST", Path: path, OrganisationKey: key, Header: forgedHeaders()})
			if a.Status != http.StatusOK {
				t.Errorf("request %d to %s: status %d %s", i, path, a.Status, a.Kind)
				continue
			}
			checkHeadersAtTarget(t, path, key, a)
			if a.Echo.Zone == n.Settings.Zone {
				local++
			} else {
				hops++
			}
		}
	}
	t.Logf("measure: forged_requests_local=%d requests", local)
	t.Logf("measure: forged_requests_over_a_hop=%d requests", hops)
	is.New(t).True(local > 5 && hops > 5)
}

func forgedPaths() []string {
	paths := []string{"/orders", "/orders/1", "/open/page", "/open/other"}
	for i := range 16 {
		paths = append(paths, fmt.Sprintf("/quotes/lamp-%d", i))
	}
	return paths
}

// checkHeadersAtTarget looks at what the target saw.
func checkHeadersAtTarget(t *testing.T, path, key string, a *cluster.Answer) {
	t.Helper()
	want := string(organisation)
	if strings.HasPrefix(path, "/open") {
		want = "" // an open route has no organisation, whatever the caller says
	}
	if a.Echo.Organisation != want {
		t.Errorf("%s ran for organisation %q instead of %q", path, a.Echo.Organisation, want)
	}
	for name, values := range a.Echo.Headers {
		for _, v := range values {
			if strings.Contains(v, key) {
				t.Errorf("%s: the target saw the organisation key in %s", path, name)
			}
			if v == intruder {
				t.Errorf("%s: the target saw %s: %s of the caller", path, name, v)
			}
		}
	}
	// The caller's deadline of 31.337 s may not lift the service's limit of 10 s.
	if ms, err := strconv.Atoi(a.Echo.Headers.Get(api.HeaderDeadlineMs)); err != nil || ms > 10_000 {
		t.Errorf("%s: deadline %q at the target", path, a.Echo.Headers.Get(api.HeaderDeadlineMs))
	}
	if a.Echo.Headers.Get("X-Kept") != "kept" {
		t.Errorf("%s: the target did not see the caller's own header", path)
	}
}
