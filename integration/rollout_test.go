package integration

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/internal/cluster"
	"github.com/zinniapier/zinniapier/target"
)

const (
	oldHosts, newHosts = 4, 4
	rolloutDuration    = 10 * time.Second
	// newTargetsAfter is the time after the order at which the targets of the new version start.
	newTargetsAfter = 1200 * time.Millisecond
	// rolloutLimit bounds the wait for the end of a roll-out; a leader that is lost costs some seconds.
	rolloutLimit = rolloutDuration + 5*time.Second
	// canaryShare, canarySlack and rollbackTime are the bounds of what a bad version gets.
	canaryShare, canarySlack = 0.1, 50
	rollbackTime             = 5 * time.Second
)

// rolloutTest is a deployment with hosts for two versions of the service orders, and a steady stream of requests.
type rolloutTest struct {
	*cluster.Cluster
	t   *testing.T
	key string

	mu      sync.Mutex
	answers []rolloutAnswer
}

// rolloutAnswer is how a request ended.
type rolloutAnswer struct {
	sent    time.Time
	status  int
	version string // of the target; empty without a whole answer
	err     error
}

func startRolloutTest(t *testing.T) *rolloutTest {
	t.Helper()
	var list []cluster.Host
	for i := range oldHosts + newHosts {
		list = append(list, cluster.Host{Zone: fmt.Sprint("zone-", i%2), Targets: []string{"orders"}, Later: i >= oldHosts})
	}
	// The lease outlasts a change of the leader, so that nodes go on serving meanwhile.
	c := cluster.New(t, cluster.Options{Control: 3, Hosts: list, Timing: config.Timing{HeartbeatMs: 250, LeaseMs: 5000}, EditTarget: func(i int, s *config.TargetSettings) {
		s.Version, s.RampMs = "v1", 100
		if i >= oldHosts {
			s.Version = "v2"
		}
	}})
	c.Start()
	once := false
	c.Change(api.Change{Kind: api.ApplyServices, Services: &api.Services{Services: []api.Service{
		{Name: "orders", DeadlineMs: 1000, Routes: []api.Route{{Name: "place-order", Prefix: "/orders", Idempotent: &once}}},
	}}})
	w := &rolloutTest{Cluster: c, t: t, key: c.AddOrganisation(organisation, 5000, 5000)}
	cluster.Eventually(t, readyLimit, func() error {
		for _, n := range c.Nodes {
			if a := w.send(n); a.status != http.StatusOK {
				return fmt.Errorf("%s answers %d, %v", n.Name, a.status, a.err)
			}
		}
		return allGranted(status(t, c))
	})
	w.answers = nil
	return w
}

// send sends one request to the node and records how it ends.
func (w *rolloutTest) send(n *cluster.Node) rolloutAnswer {
	ctx, cancel := context.WithTimeout(context.Background(), requestLimit)
	defer cancel()
	a := rolloutAnswer{sent: time.Now()}
	answer, err := n.Do(ctx, cluster.Request{Method: http.MethodPost, Path: "/orders", OrganisationKey: w.key, Body: []byte("{}")})
	if a.err = err; err == nil {
		a.status, a.version = answer.Status, answer.Echo.Version
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers = append(w.answers, a)
	return a
}

// load sends 300 requests per second to all nodes in turn until stop is called, which returns how all ended.
func (w *rolloutTest) load() (stop func() []rolloutAnswer) {
	done, ended := make(chan bool), make(chan bool)
	go func() {
		defer close(ended)
		var running sync.WaitGroup
		tick := time.NewTicker(time.Second / 300)
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-done:
				running.Wait()
				return
			case <-tick.C:
				running.Go(func() { w.send(w.Nodes[i%len(w.Nodes)]) })
			}
		}
	}()
	return func() []rolloutAnswer {
		close(done)
		<-ended
		return w.answers
	}
}

// order orders the roll-out and starts the new targets.
func (w *rolloutTest) order(b target.Behaviour) {
	w.t.Helper()
	w.Change(api.Change{Kind: api.StartRollout, Rollout: &api.RolloutOrder{Service: "orders", Version: "v2", DurationMs: rolloutDuration.Milliseconds()}})
	time.Sleep(newTargetsAfter)
	for _, t := range w.Targets[oldHosts:] {
		t.Start()
		t.SetBehaviour(b)
	}
}

// await waits until the roll-out has the phase, by the member that answers first.
func (w *rolloutTest) await(phase api.RolloutPhase) {
	w.t.Helper()
	cluster.Eventually(w.t, rolloutLimit, func() error {
		s, err := w.Operator().Status(w.t.Context())
		if err != nil {
			return err
		}
		if len(s.Rollouts) != 1 || s.Rollouts[0].Phase != phase {
			return fmt.Errorf("roll-outs %+v, not %s", s.Rollouts, phase)
		}
		return nil
	})
}

// TestRolloutCompletesWithoutItsLeader guards against a roll-out that stops or starts again when the leader dies, and
// against requests that fail when the old targets end at once after the completion.
func TestRolloutCompletesWithoutItsLeader(t *testing.T) {
	is := is.New(t)
	w := startRolloutTest(t)
	stop := w.load()
	w.order(target.Behaviour{WorkMs: 5})
	w.await(api.RolloutCanary)
	leader(t, w.Cluster).Kill()
	w.await(api.RolloutCompleted)
	for _, old := range w.Targets[:oldHosts] {
		old.Kill()
	}
	completed := time.Now()
	time.Sleep(time.Second)
	canaries, after := 0, 0
	for _, a := range stop() {
		is.NoErr(a.err)
		is.Equal(a.status, http.StatusOK)
		switch {
		case a.sent.After(completed):
			is.Equal(a.version, "v2")
			after++
		case a.version == "v2":
			canaries++
		}
	}
	is.True(canaries > 0)
	is.True(after > 0)
}

// TestBadRolloutIsRolledBack guards against a version that fails a third of its requests and gets more than its share
// of them, or any after the rollback.
func TestBadRolloutIsRolledBack(t *testing.T) {
	is := is.New(t)
	w := startRolloutTest(t)
	stop := w.load()
	w.order(target.Behaviour{WorkMs: 5, FailShare: 1.0 / 3})
	w.await(api.RolloutRolledBack)
	rolledBack := time.Now()
	time.Sleep(rollbackTime + time.Second)
	answers := stop()
	bad, after := 0, 0
	for _, a := range answers {
		is.NoErr(a.err)
		failed := a.status == http.StatusInternalServerError
		is.True(a.status == http.StatusOK || failed)
		if a.version == "v2" || failed {
			bad++
		}
		if a.sent.After(rolledBack.Add(rollbackTime)) {
			is.Equal(a.version, "v1")
			after++
		}
	}
	is.True(bad > 0)
	is.True(float64(bad) <= canaryShare*float64(len(answers))+canarySlack)
	is.True(after > 0)
	r := status(t, w.Cluster).Rollouts[0]
	is.True(r.Reason != "")
	t.Logf("%d of %d requests at the new version; %s", bad, len(answers), r.Reason)
}
