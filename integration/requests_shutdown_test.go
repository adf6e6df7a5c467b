package integration

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/internal/cluster"
	"github.com/zinniapier/zinniapier/target"
)

// leaveWait bounds a graceful leave: the drain limit of 2 s and the hand-over of the partitions.
const leaveWait = 12 * time.Second

// TestShutdownCutsOffNoRequest guards against a node that ends by SIGTERM and cuts off a request
// that it has accepted: of its own callers, for targets here and across a hop, of callers at
// another node, and while a large answer is being read slowly.
func TestShutdownCutsOffNoRequest(t *testing.T) {
	is := is.New(t)
	c, key := start(t, cluster.Options{Hosts: hosts("a", "b", "c"), EditTarget: warmTargets})
	leaving := c.Nodes[1]
	far := targetsOf(c, "quotes")[0]
	awaitSettled(t, c)
	path := keyOwnedBy(t, leaving, key, instanceOf(far))
	behaviour(c, target.Behaviour{AnswerBytes: hugeAnswer})
	reading, finish := readSlowly(t, leaving, path, key)
	<-reading
	behaviour(c, target.Behaviour{WorkMs: 300})

	s := &sender{key: key, method: "POST", deadline: 5000}
	stop := s.load(c.Nodes, 8, mixedPath)
	time.Sleep(500 * time.Millisecond)
	before := running(c)
	t.Logf("measure: running_at_shutdown=%d requests", before)
	time.AfterFunc(500*time.Millisecond, finish)
	began := time.Now()
	leaving.Terminate(leaveWait)
	t.Logf("measure: shutdown_took=%d ms", time.Since(began).Milliseconds())
	time.Sleep(faultPause)
	stop()

	list := s.outcomes(t)
	logKinds(t, "shutdown", list)
	var all []target.Counters
	for _, k := range c.Targets {
		all = append(all, counters(k))
	}
	ran := runs(all...)
	checkOnce(t, list, ran)
	checkNoneCutOff(t, list, ran)
	is.True(before >= 10)
}

// running returns the number of requests at work at the targets.
func running(c *cluster.Cluster) (n int64) {
	for _, t := range c.Targets {
		k := counters(t)
		n += k.Runs - k.Completed - k.Cancelled
	}
	return n
}

// closeRace is the longest time for a request that meets the close of an idle connection: it was
// not accepted. One that was under way for longer had been.
const closeRace = 100 * time.Millisecond

// checkNoneCutOff fails the test for requests that were accepted and whose caller did not get
// the whole answer. Those that were refused as not run were not accepted.
func checkNoneCutOff(t *testing.T, list []outcome, ran map[string]int) {
	t.Helper()
	cut := 0
	for _, o := range list {
		if o.kind != outcomeWhole && ran[o.id] > 0 {
			cut++
			t.Errorf("%s ran, and its caller got %s after %v", o.id, o.kind, o.took)
		}
		late := o.kind == outcomeBroken && o.took > closeRace
		failed := o.kind != outcomeWhole && o.kind != outcomeBroken && o.kind != outcomeNoNode && !o.notRun
		if late || failed {
			cut++
			t.Errorf("%s was accepted and ended with %s after %v", o.id, o.kind, o.took)
		}
	}
	t.Logf("measure: cut_off_by_shutdown=%d requests", cut)
}

// readSlowly fetches a huge answer and stops in the middle until finish is called. The test
// fails unless the answer then arrives whole.
func readSlowly(t *testing.T, n *cluster.Node, path, key string) (reading <-chan struct{}, finish func()) {
	t.Helper()
	begun, goOn, done := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		a := fetch(n, path, key, "slow", func([]byte) {
			close(begun)
			<-goOn
		})
		if a.check(t, "slow", hugeAnswer) {
			t.Errorf("the large answer was cut off after %d bytes: %v %s", len(a.body), a.err, a.kind())
		}
	}()
	finish = sync.OnceFunc(func() { close(goOn) })
	t.Cleanup(func() {
		finish()
		<-done
	})
	return begun, finish
}
