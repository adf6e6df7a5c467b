package integration

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/internal/cluster"
	"github.com/zinniapier/zinniapier/operator"
)

// TestExplainOfNodes guards against a status listener of a real node that explains nothing, or that names a target other
// than the one that serves the request.
func TestExplainOfNodes(t *testing.T) {
	is := is.New(t)
	c, key := start(t, cluster.Options{Hosts: hosts("a", "b"), EditTarget: warmTargets})
	for _, n := range c.Nodes {
		client, err := operator.New(operator.Options{Addresses: []string{n.Settings.StatusListen}})
		is.NoErr(err)
		x, err := client.Explain(t.Context(), api.ExplainRequest{Path: "/quotes/k", Header: http.Header{"Authorization": {"Bearer " + key}}})
		is.NoErr(err)
		is.Equal(x.Refusal, nil)
		is.Equal(x.Node, n.Name)
		is.Equal(x.Organisation, organisation)
		is.Equal(x.Gate != nil, x.Target.Local)
		a := request(t, n, cluster.Request{Path: "/quotes/k", OrganisationKey: key})
		is.Equal(a.Status, http.StatusOK)
		is.Equal(a.Echo.Instance, x.Target.ID)
		is.Equal(a.Echo.Zone, x.Target.Zone)
		got, err := n.Do(t.Context(), cluster.Request{Method: http.MethodPost, Path: api.PathExplain})
		is.NoErr(err)
		is.Equal(got.Status, http.StatusNotFound) // the listener for callers does not explain
	}
}
