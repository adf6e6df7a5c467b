package integration

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/internal/cluster"
)

// pause is the time for which a process is stopped; leases and grants end well before.
const pause = 3 * time.Second

// ownedBy returns an answer of the instance on the host of a node, which names a partition and
// its epoch.
func ownedBy(t *testing.T, list []*sample, zone string) *sample {
	t.Helper()
	var last *sample
	for _, s := range list {
		if s.ok && s.zone == zone {
			last = s
		}
	}
	if last == nil {
		t.Fatalf("no key is owned in zone %s", zone)
	}
	return last
}

// TestTargetPaused guards against a target that wakes and works under grants that others hold by
// then: orders that renew it have stopped, and its grants have ended on its own clock.
func TestTargetPaused(t *testing.T) {
	is := is.New(t)
	c, key := start(t, quotesOnly(3, "a", "b", "c"))
	tr := startTraffic(t, c, key, keys)
	time.Sleep(settle)
	held := ownedBy(t, tr.snapshot(), "a")
	target := c.Targets[0]
	paused := time.Now()
	target.Freeze()
	time.Sleep(pause)
	// Requests under the old grant wait in the listener's queue while the target is stopped, as
	// those of a node that handed them over before the pause.
	refused := make(chan int, 1)
	go func() { refused <- underGrant(target, held) }()
	time.Sleep(100 * time.Millisecond)
	target.Thaw()
	is.Equal(<-refused, http.StatusMisdirectedRequest) // fenced off by the target itself
	time.Sleep(time.Second)
	list := tr.finish()
	tr.expectUnavailable("target_paused_unavailable", list, paused, paused.Add(pause), servedAgain)
}

// underGrant sends work to a target past its node, with the headers of a grant, and returns the
// status of the answer, or 0.
func underGrant(target *cluster.Target, held *sample) int {
	ctx, cancel := context.WithTimeout(context.Background(), requestLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target.Settings.Listen+"/quotes/"+held.key, nil)
	if err != nil {
		return 0
	}
	req.Header.Set(api.HeaderService, "quotes")
	req.Header.Set(api.HeaderPartition, strconv.Itoa(held.partition))
	req.Header.Set(api.HeaderEpoch, strconv.FormatUint(uint64(held.epoch), 10))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// TestNodePaused guards against a node that wakes and admits requests on a lease that has ended.
// The targets do not check grants, so that only the node stands between a request and the target.
func TestNodePaused(t *testing.T) {
	o := quotesOnly(3, "a", "b", "c")
	edit, unchecked := o.EditTarget, false
	o.EditTarget = func(i int, s *config.TargetSettings) {
		edit(i, s)
		s.ChecksGrants = &unchecked
	}
	c, key := start(t, o)
	tr := startTraffic(t, c, key, keys)
	time.Sleep(settle)
	held := ownedBy(t, tr.snapshot(), "a")
	node := c.Nodes[0]
	tr.without(node)
	paused := time.Now()
	node.Freeze()
	time.Sleep(pause)
	// These wait in the listener's queue and are the first that the node sees when it wakes.
	var waiting sync.WaitGroup
	for range 50 {
		waiting.Go(func() { tr.one(node, held.key) })
	}
	time.Sleep(100 * time.Millisecond)
	node.Thaw()
	waiting.Wait()
	tr.use(c.Nodes...)
	time.Sleep(time.Second)
	list := tr.finish()
	tr.expectUnavailable("node_paused_unavailable", list, paused, paused.Add(pause), servedAgain)
}
