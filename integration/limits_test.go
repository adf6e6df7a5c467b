package integration

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/cluster"
	"github.com/zinniapier/zinniapier/target"
)

// steadyLoad is what callers of an organisation got.
type steadyLoad struct{ served, limited, other atomic.Int64 }

// send posts orders at a fixed rate per second, to the nodes in turn, until ctx ends.
func (tr *steadyLoad) send(ctx context.Context, wg *sync.WaitGroup, key string, rate float64, nodes ...*cluster.Node) {
	wg.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				wg.Go(func() { tr.request(nodes[i%len(nodes)], key) })
			}
		}
	})
}

func (tr *steadyLoad) request(n *cluster.Node, key string) {
	ctx, cancel := context.WithTimeout(context.Background(), requestLimit)
	defer cancel()
	a, err := n.Do(ctx, cluster.Request{Method: "POST", Path: "/orders", OrganisationKey: key})
	switch {
	case err == nil && a.Status == http.StatusOK:
		tr.served.Add(1)
	case err == nil && a.Kind == errkind.RateLimited:
		tr.limited.Add(1)
	default:
		tr.other.Add(1)
	}
}

// reading is the number of requests that all targets together had started between two times.
type reading struct {
	before, after time.Time
	runs          int64
}

func read(c *cluster.Cluster) reading {
	r := reading{before: time.Now()}
	for _, t := range c.Targets {
		var counters target.Counters
		t.Counters(&counters)
		r.runs += counters.Runs
	}
	r.after = time.Now()
	return r
}

// watch reads the counters until ctx ends.
func watch(ctx context.Context, c *cluster.Cluster) []reading {
	list := []reading{read(c)}
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		list = append(list, read(c))
	}
	return list
}

// excess returns by how much the worst window exceeds burst + rate x t. A window counts from
// before its first reading to after its last one, so the slowness of readings does no harm.
func excess(readings []reading, rate, burst float64) float64 {
	worst := -burst
	for i, first := range readings {
		for _, last := range readings[i:] {
			span := last.after.Sub(first.before).Seconds()
			worst = max(worst, float64(last.runs-first.runs)-burst-rate*span)
		}
	}
	return worst
}

// TestLimitHoldsUnderLosses guards against admission beyond burst + rate x t over all nodes
// when a node and then the control leader are lost while an organisation sends four times its rate.
func TestLimitHoldsUnderLosses(t *testing.T) {
	const rate, burst = 25, 40
	is := is.New(t)
	c, _ := start(t, cluster.Options{Control: 3, Hosts: hosts("a", "b", "c")})
	key := c.AddOrganisation("tide", rate, burst)
	awaitGranted(t, c, readyLimit)
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	var got steadyLoad
	got.send(ctx, &wg, key, 4*rate, c.Nodes...)
	var readings []reading
	wg.Go(func() { readings = watch(ctx, c) })
	time.Sleep(1500 * time.Millisecond)
	c.Nodes[2].Kill()
	time.Sleep(1500 * time.Millisecond)
	leader(t, c).Kill()
	wg.Wait()
	worst := excess(readings, rate, burst)
	t.Logf("worst window: %.1f against the bound; served %d, rate limited %d, other %d",
		worst, got.served.Load(), got.limited.Load(), got.other.Load())
	is.True(worst <= 0)
	is.True(got.served.Load() > burst+2*rate) // it is not safe only because it admits nothing
	is.True(got.limited.Load() > 0)
}

// TestExcessOfOneLeavesOthersAlone guards against refusals of an organisation within its rate,
// wherever its requests arrive, while another one sends four times its own.
func TestExcessOfOneLeavesOthersAlone(t *testing.T) {
	const rate, burst = 25, 25
	const seconds = 5
	is := is.New(t)
	c, _ := start(t, cluster.Options{Control: 3, Hosts: hosts("a", "b", "c")})
	quietKey := c.AddOrganisation("quiet", rate, burst)
	loudKey := c.AddOrganisation("loud", rate, burst)
	awaitGranted(t, c, readyLimit)
	ctx, cancel := context.WithTimeout(context.Background(), seconds*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	var quiet, loud steadyLoad
	loud.send(ctx, &wg, loudKey, 4*rate, c.Nodes...)
	quiet.send(ctx, &wg, quietKey, 0.4*rate, c.Nodes...)
	quiet.send(ctx, &wg, quietKey, 0.4*rate, c.Nodes[1])
	wg.Wait()
	t.Logf("quiet: served %d, limited %d, other %d; loud: served %d, limited %d, other %d",
		quiet.served.Load(), quiet.limited.Load(), quiet.other.Load(),
		loud.served.Load(), loud.limited.Load(), loud.other.Load())
	is.Equal(quiet.limited.Load(), int64(0))
	is.True(quiet.served.Load() > rate*seconds*7/10)
	is.True(loud.limited.Load() > 0)
	is.True(loud.served.Load() > rate*seconds*8/10) // the loud one still gets its rate
}

// TestWithdrawnKeyStops guards against an organisation key that works for more than 3 s after
// its withdrawal: on open connections, and at a node that is cut off from control.
func TestWithdrawnKeyStops(t *testing.T) {
	const limit = 3 * time.Second
	is := is.New(t)
	c, _ := start(t, cluster.Options{Control: 3, Hosts: hosts("a", "b", "c")})
	secret := api.NewID()
	key := &api.OrganisationKey{ID: "lent", Organisation: organisation, Digest: api.DigestKey(secret)}
	c.Change(api.Change{Kind: api.GrantKey, Key: key})
	awaitGranted(t, c, readyLimit)
	for _, n := range c.Nodes {
		is.Equal(request(t, n, cluster.Request{Path: "/quotes/a", OrganisationKey: secret}).Status, http.StatusOK)
	}
	var control []*cluster.Process
	for _, m := range c.Control {
		control = append(control, &m.Process)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit+2*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	last := make([]time.Time, len(c.Nodes))
	for i, n := range c.Nodes {
		wg.Go(func() { last[i] = lastServed(ctx, n, secret) })
	}
	time.Sleep(300 * time.Millisecond)
	heal := cluster.CutAll(c.Between([]*cluster.Process{&c.Nodes[0].Process}, control))
	defer heal()
	c.Change(api.Change{Kind: api.WithdrawKey, Name: "lent"})
	withdrawn := time.Now()
	wg.Wait()
	for i, n := range c.Nodes {
		t.Logf("%s served it last %v after the withdrawal", n.Name, last[i].Sub(withdrawn))
		is.True(!last[i].IsZero())
		is.True(last[i].Sub(withdrawn) < limit)
	}
}

// lastServed sends requests over open connections until ctx ends and returns the time of the
// last one that was served.
func lastServed(ctx context.Context, n *cluster.Node, key string) (last time.Time) {
	for ctx.Err() == nil {
		one, cancel := context.WithTimeout(context.Background(), time.Second)
		a, err := n.Do(one, cluster.Request{Method: "POST", Path: "/orders", OrganisationKey: key})
		cancel()
		if err == nil && a.Status == http.StatusOK {
			last = time.Now()
		}
		time.Sleep(10 * time.Millisecond)
	}
	return last
}
