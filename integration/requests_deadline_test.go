package integration

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/cluster"
	"github.com/zinniapier/zinniapier/target"
)

// cancelLimit bounds the time from the caller's leave to the end of the work at the target.
const cancelLimit = time.Second

// TestDeadlineAndCancellation guards against work that goes on for a caller that has gone and
// keeps its slot, and against a request that waits in the queue beyond its deadline and runs.
func TestDeadlineAndCancellation(t *testing.T) {
	is := is.New(t)
	c, key := start(t, cluster.Options{
		Hosts:      []cluster.Host{{Zone: "a", Targets: []string{"quotes"}}, {Zone: "b"}},
		EditTarget: func(_ int, s *config.TargetSettings) { s.Slots, s.ColdSlots = 1, 1 },
	})
	only := c.Targets[0]
	for i, n := range c.Nodes {
		checkCancelled(t, n, only, key, int64(i+1))
	}
	for i, n := range c.Nodes {
		checkQueuedDeadline(t, n, only, key, "queued-"+strconv.Itoa(i))
	}
	is.Equal(counters(only).MaxConcurrency, 1)
}

// checkCancelled gives up a long request and looks for the end of its work and a free slot.
func checkCancelled(t *testing.T, n *cluster.Node, only *cluster.Target, key string, cancelled int64) {
	t.Helper()
	only.SetBehaviour(target.Behaviour{WorkMs: 8000})
	before := counters(only).Runs
	ctx, giveUp := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := n.Do(ctx, cluster.Request{Method: "POST", Path: "/quotes/hall", OrganisationKey: key, Body: []byte("{}")})
		ended <- err
	}()
	cluster.Eventually(t, requestLimit, func() error { return atLeast("runs", counters(only).Runs, before+1) })
	left := time.Now()
	giveUp()
	if err := <-ended; err == nil {
		t.Error("the request was answered before its caller gave up")
	}
	cluster.Eventually(t, cancelLimit, func() error { return atLeast("cancelled", counters(only).Cancelled, cancelled) })
	t.Logf("measure: cancelled_after_at_%s=%d ms", n.Name, time.Since(left).Milliseconds())

	only.SetBehaviour(target.Behaviour{})
	next := request(t, n, cluster.Request{Method: "POST", Path: "/quotes/hall", OrganisationKey: key})
	took := time.Since(left)
	t.Logf("measure: only_slot_used_again_after_at_%s=%d ms", n.Name, took.Milliseconds())
	if next.Status != http.StatusOK || took > cancelLimit {
		t.Errorf("the slot was not free: status %d %s after %v", next.Status, next.Kind, took)
	}
}

func atLeast(name string, have, want int64) error {
	if have < want {
		return fmt.Errorf("%s is %d, want %d", name, have, want)
	}
	return nil
}

// checkQueuedDeadline sends a request with a short deadline while another one has the only slot.
func checkQueuedDeadline(t *testing.T, n *cluster.Node, only *cluster.Target, key, id string) {
	t.Helper()
	only.SetBehaviour(target.Behaviour{WorkMs: 1200})
	before := counters(only).Runs
	first := make(chan *cluster.Answer, 1)
	go func() {
		a, _ := n.Do(t.Context(), cluster.Request{Method: "POST", Path: "/quotes/hall", OrganisationKey: key})
		first <- a
	}()
	cluster.Eventually(t, requestLimit, func() error { return atLeast("runs", counters(only).Runs, before+1) })
	began := time.Now()
	queued := request(t, n, cluster.Request{
		Method: "POST", Path: "/quotes/hall", OrganisationKey: key,
		Header: http.Header{api.HeaderDeadlineMs: {"200"}, target.HeaderRequestID: {id}},
	})
	took := time.Since(began)
	t.Logf("measure: queued_refused_after_at_%s=%d ms", n.Name, took.Milliseconds())
	if queued.Kind != errkind.DeadlineExceeded && queued.Kind != errkind.Overloaded || !queued.NotRun {
		t.Errorf("queued request beyond its deadline: status %d %s, not run %v", queued.Status, queued.Kind, queued.NotRun)
	}
	if took > time.Second/2 {
		t.Errorf("a request with a deadline of 200 ms was refused only after %v", took)
	}
	if a := <-first; a == nil || a.Status != http.StatusOK {
		t.Errorf("the running request was not answered: %+v", a)
	}
	// A request in the queue of the gate would start now.
	time.Sleep(50 * time.Millisecond)
	if ran := counters(only).RunsByRequest[id]; ran != 0 {
		t.Errorf("%s ran %d times although it was refused as not run", id, ran)
	}
}
