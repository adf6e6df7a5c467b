package integration

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/internal/cluster"
)

const (
	readyLimit   = 15 * time.Second
	requestLimit = 5 * time.Second
	organisation = api.OrganisationID("harbour")
)

func TestMain(m *testing.M) { os.Exit(cluster.Main(m)) }

// services returns quotes divided by key, orders that may not be repeated, and open routes.
func services() *api.Services {
	segment, once := 1, false
	return &api.Services{Services: []api.Service{
		{Name: "quotes", Key: &api.KeySource{PathSegment: &segment}, Partitions: 32,
			// A hot key stays with its first owner for one deadline after it got its own assignment.
			DeadlineMs: 3000,
			Routes:     []api.Route{{Prefix: "/quotes"}, {Prefix: "/lamps", Open: true}}},
		{Name: "orders", Routes: []api.Route{{Prefix: "/orders", Idempotent: &once}}},
		{Name: "open", Routes: []api.Route{{Prefix: "/open", Open: true}}},
	}}
}

// start runs a deployment with the services and one organisation, waits until every partition
// is granted, and returns the organisation key. Services are applied once all targets serve, so
// that partitions are spread at once and not moved off the first target one by one.
func start(t *testing.T, o cluster.Options) (*cluster.Cluster, string) {
	t.Helper()
	c := cluster.New(t, o)
	c.Start()
	awaitTargets(t, c, readyLimit)
	c.Change(api.Change{Kind: api.ApplyServices, Services: services()})
	key := c.AddOrganisation(organisation, 5000, 5000)
	awaitGranted(t, c, readyLimit)
	return c, key
}

func awaitTargets(t *testing.T, c *cluster.Cluster, limit time.Duration) {
	t.Helper()
	cluster.Eventually(t, limit, func() error {
		status, err := c.Operator().Status(context.Background())
		if err != nil {
			return err
		}
		serving := 0
		for _, n := range status.Nodes {
			for _, target := range n.Targets {
				if target.State == api.TargetServing {
					serving++
				}
			}
		}
		if serving < len(c.Targets) {
			return fmt.Errorf("%d of %d targets serve", serving, len(c.Targets))
		}
		return nil
	})
}

func awaitGranted(t *testing.T, c *cluster.Cluster, limit time.Duration) {
	t.Helper()
	cluster.Eventually(t, limit, func() error {
		status, err := c.Operator().Status(context.Background())
		if err != nil {
			return err
		}
		return allGranted(status)
	})
}

// awaitSpread waits until that many targets each own at least half of an even share of the
// service's partitions. The first target that announces itself owns all of them at first.
func awaitSpread(t *testing.T, c *cluster.Cluster, service string, targets int) {
	t.Helper()
	cluster.Eventually(t, readyLimit, func() error {
		status, err := c.Operator().Status(context.Background())
		if err != nil {
			return err
		}
		for _, s := range status.Services {
			if s.Name == service && sharesOf(s, targets) < targets {
				return fmt.Errorf("%s is owned as %v", service, s.Owned)
			}
		}
		return allGranted(status)
	})
}

// sharesOf counts the targets that own at least half of an even share.
func sharesOf(s api.ServiceStatus, targets int) (n int) {
	for _, owned := range s.Owned {
		if owned*targets*2 >= s.Partitions {
			n++
		}
	}
	return n
}

func allGranted(status *api.Status) error {
	for _, s := range status.Services {
		if s.Granted < s.Partitions {
			return fmt.Errorf("%s: %d of %d granted", s.Name, s.Granted, s.Partitions)
		}
	}
	for _, n := range status.Nodes {
		if n.ConfigVersion < status.Version || n.MapVersion < status.MapVersion {
			return fmt.Errorf("%s is behind", n.Name)
		}
	}
	return nil
}

func hosts(zones ...string) []cluster.Host {
	list := make([]cluster.Host, 0, len(zones))
	for _, z := range zones {
		list = append(list, cluster.Host{Zone: z, Targets: []string{"quotes", "orders", "open"}})
	}
	return list
}

func request(t *testing.T, n *cluster.Node, r cluster.Request) *cluster.Answer {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), requestLimit)
	defer cancel()
	a, err := n.Do(ctx, r)
	if err != nil {
		t.Fatalf("%s %s: %v", r.Method, r.Path, err)
	}
	return a
}

// TestOwnerAnswersFromAnyNode guards against requests that run at a target other than the owner
// of their key when they arrive at the wrong node.
func TestOwnerAnswersFromAnyNode(t *testing.T) {
	is := is.New(t)
	c, key := start(t, cluster.Options{Control: 3, Hosts: hosts("a", "b", "c")})
	awaitSpread(t, c, "quotes", 3)
	owners := make(map[string]bool)
	for i := range 20 {
		path := fmt.Sprintf("/quotes/tower-%d", i)
		first := request(t, c.Nodes[0], cluster.Request{Path: path, OrganisationKey: key})
		is.Equal(first.Status, http.StatusOK)
		owners[string(first.Echo.Instance)] = true
		for _, n := range c.Nodes[1:] {
			again := request(t, n, cluster.Request{Path: path, OrganisationKey: key})
			is.Equal(again.Status, http.StatusOK)
			is.Equal(again.Echo.Instance, first.Echo.Instance) // the same owner from every node
		}
	}
	is.True(len(owners) > 1) // keys are spread over targets

	order := request(t, c.Nodes[1], cluster.Request{Method: "POST", Path: "/orders", OrganisationKey: key, Body: []byte("{}")})
	is.Equal(order.Status, http.StatusOK)
	is.Equal(order.Echo.Organisation, string(organisation))
	is.Equal(order.Echo.Headers.Get("Authorization"), "") // no target sees the organisation key
	open := request(t, c.Nodes[2], cluster.Request{Path: "/open/page"})
	is.Equal(open.Status, http.StatusOK)
	refused := request(t, c.Nodes[2], cluster.Request{Path: "/quotes/tower-1"})
	is.Equal(refused.Status, http.StatusUnauthorized)
	is.True(refused.NotRun)
}
