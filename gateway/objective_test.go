package gateway

import (
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
		org           api.OrganisationID
		organisations bool
		caller        bool
	}{
		{"", false, true},
		{"", true, false}, // as calls by targets are
		{"o", true, true},
	} {
		call := &call{org: c.org, priority: 1}
		call.history.began = time.Now()
		call.setObjective(objective, RequestInfo{}, nil, c.organisations)
		is.Equal(call.priority, map[bool]int{true: 1, false: internalPriority}[c.caller])
		is.Equal(call.objective.Equal(call.history.began.Add(objective)), c.caller)
	}
}
