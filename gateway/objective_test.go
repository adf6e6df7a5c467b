package gateway

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
)

// Guards against callers of a deployment without organisations that are taken for targets: they then have neither the priority
// nor the objective of their route, and all wait until their deadlines under overload.
func TestCallersWithoutOrganisationsKeepPriorityAndObjective(t *testing.T) {
	is := is.New(t)
	const objective = 800 * time.Millisecond
	for _, c := range []struct {
		remote        string
		org           api.OrganisationID
		organisations bool
		caller        bool
	}{
		{"10.0.0.8:9", "", false, true},
		{"10.0.0.7:9", "", false, false}, // the target of the host itself
		{"10.0.0.8:9", "", true, false},  // an open route, as calls by targets are
		{"10.0.0.7:9", "o", true, true},
	} {
		r := &http.Request{RemoteAddr: c.remote}
		r = r.WithContext(context.WithValue(t.Context(), http.LocalAddrContextKey, &net.TCPAddr{IP: net.IPv4(10, 0, 0, 7), Port: 80}))
		call := &call{incoming: r, org: c.org, priority: 1, offHost: !fromThisHost(r)}
		call.history.began = time.Now()
		call.setObjective(objective, RequestInfo{}, nil, c.organisations)
		is.Equal(call.priority, map[bool]int{true: 1, false: internalPriority}[c.caller])
		is.Equal(call.objective.Equal(call.history.began.Add(objective)), c.caller)
	}
}
