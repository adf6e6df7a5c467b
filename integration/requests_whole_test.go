package integration

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/cluster"
	"github.com/zinniapier/zinniapier/target"
)

const (
	largeAnswer = 4 << 20
	// hugeAnswer is more than the socket buffers of a path hold, so that a paused caller stops
	// it in the middle of every hop.
	hugeAnswer = 48 << 20
)

// TestLargeAnswersAreWhole guards against an answer that ends early and looks complete to the
// caller: the target ends it before its stated length, or dies while it is under way, or the
// owner's node dies, at the caller's node or across a hop.
func TestLargeAnswersAreWhole(t *testing.T) {
	is := is.New(t)
	c, key := start(t, cluster.Options{Hosts: hosts("a", "b"), EditTarget: warmTargets})
	far := targetsOf(c, "quotes")[1]
	dying := sampleHere(t, c.Nodes[1], target.SampleOptions{Service: "quotes", ChecksGrants: true, Warm: true})
	awaitRuns(t, c, key, []*target.Sample{dying})
	path := keyOwnedBy(t, c.Nodes[0], key, instanceOf(far))
	dyingPath := keyOwnedBy(t, c.Nodes[0], key, dying.ID())

	far.SetBehaviour(target.Behaviour{AnswerBytes: largeAnswer})
	for _, n := range c.Nodes {
		a := fetch(n, path, key, "whole", nil)
		is.True(!a.check(t, "whole", largeAnswer)) // a large answer without a fault arrives whole
	}
	far.SetBehaviour(target.Behaviour{AnswerBytes: largeAnswer, ShortAnswer: true})
	errors := 0
	for i := range 10 {
		if fetch(c.Nodes[i%2], path, key, "short", nil).check(t, "short", largeAnswer) {
			errors++
		}
	}
	t.Logf("measure: short_answers_seen_as_error=%d of 10 requests", errors)
	is.Equal(errors, 10)

	far.SetBehaviour(target.Behaviour{})
	is.NoErr(dying.SetBehaviour(target.Behaviour{AnswerBytes: hugeAnswer}))
	is.Equal(cutInFlight(t, c, dyingPath, key, hugeAnswer, func() { is.NoErr(dying.Kill()) }), 2) // target died
	awaitGranted(t, c, readyLimit)
	path = keyOwnedBy(t, c.Nodes[0], key, instanceOf(far)) // the death may have moved the key
	far.SetBehaviour(target.Behaviour{AnswerBytes: hugeAnswer})
	is.Equal(cutInFlight(t, c, path, key, hugeAnswer, c.Nodes[1].Kill), 2) // owner's node died
}

// cutInFlight fetches an answer at each node, breaks something while all are under way, and
// returns how many callers saw an error.
func cutInFlight(t *testing.T, c *cluster.Cluster, path, key string, padding int, breakIt func()) (errors int) {
	t.Helper()
	var arrived, done sync.WaitGroup
	arrived.Add(len(c.Nodes))
	broken := make(chan struct{})
	answers := make([]*rawAnswer, len(c.Nodes))
	for i, n := range c.Nodes {
		done.Go(func() {
			once := sync.OnceFunc(arrived.Done)
			answers[i] = fetch(n, path, key, "cut", func() {
				once()
				<-broken
			})
			once()
		})
	}
	arrived.Wait()
	breakIt()
	close(broken)
	done.Wait()
	for i, a := range answers {
		t.Logf("measure: cut_answer_received_at_node_%d=%d bytes (error: %v)", i+1, len(a.body), a.err)
		if a.status != http.StatusOK {
			t.Errorf("the answer had not begun: status %d, %s", a.status, a.kind())
		}
		if a.check(t, "cut", padding) {
			errors++
		}
	}
	return errors
}

// swapper exchanges the answers of requests that arrive together, as a target does that mixes
// up its callers: header, attempt id and body.
type swapper struct {
	inner   http.Handler
	mu      sync.Mutex
	waiting chan *httptest.ResponseRecorder
	swaps   int
}

// swapWait is how long a request waits for another one to swap answers with.
const swapWait = 50 * time.Millisecond

func (s *swapper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == api.PathOrders || r.URL.Path == api.PathLoad {
		s.inner.ServeHTTP(w, r)
		return
	}
	own := httptest.NewRecorder()
	s.inner.ServeHTTP(own, r)
	given := s.exchange(own)
	for name, values := range given.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(given.Code)
	_, _ = w.Write(given.Body.Bytes())
}

// exchange returns the answer of another request, or own when none comes in time.
func (s *swapper) exchange(own *httptest.ResponseRecorder) *httptest.ResponseRecorder {
	s.mu.Lock()
	if other := s.waiting; other != nil {
		s.waiting = nil
		s.swaps++
		s.mu.Unlock()
		given := <-other
		other <- own
		return given
	}
	// Unbuffered: the other handler takes own and then hands over its answer.
	mine := make(chan *httptest.ResponseRecorder)
	s.waiting = mine
	s.mu.Unlock()
	select {
	case mine <- own:
		return <-mine
	case <-time.After(swapWait):
	}
	s.mu.Lock()
	alone := s.waiting == mine
	if alone {
		s.waiting = nil
	}
	s.mu.Unlock()
	if alone {
		return own
	}
	mine <- own
	return <-mine
}

// swappingTarget announces a target to the node that swaps the answers of its callers.
func swappingTarget(t *testing.T, n *cluster.Node, service string) (*swapper, api.TargetID) {
	t.Helper()
	sample, err := target.NewSample(target.SampleOptions{Service: service, Warm: true, ChecksGrants: true})
	if err != nil {
		t.Fatal(err)
	}
	s := &swapper{inner: sample.Handler()}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	t.Cleanup(func() { _ = sample.Kill() })
	announcer := &target.Announcer{Node: n.Settings.AnnounceListen, Announcement: func() api.Announcement {
		a := sample.Announcement()
		a.Address = server.Listener.Addr().String()
		return a
	}}
	go func() { _ = announcer.Serve(t.Context()) }()
	return s, sample.ID()
}

// TestAnswersReachTheirOwnCaller guards against an answer that reaches another caller: the
// target swaps answers of concurrent requests, states another attempt, or answers so late that
// the caller has given up and its connection might serve the next one.
func TestAnswersReachTheirOwnCaller(t *testing.T) {
	is := is.New(t)
	c, key := start(t, cluster.Options{Hosts: hosts("a", "b"), EditTarget: warmTargets})
	swap, id := swappingTarget(t, c.Nodes[1], "quotes")
	awaitOwner(t, c, key, id)

	// Swapped, late and crossed answers are mixed over both nodes.
	s := &sender{key: key, method: "GET", deadline: 250}
	stop := s.load(c.Nodes, 12, func(w, i int) string { return fmt.Sprintf("/quotes/rail-%d-%d", w, i%40) })
	time.Sleep(time.Second)
	behaviour(c, target.Behaviour{WorkMs: 5, LateAnswerMs: 400})
	time.Sleep(time.Second)
	behaviour(c, target.Behaviour{WorkMs: 5})
	time.Sleep(time.Second)
	stop()
	list := s.outcomes(t)
	logKinds(t, "mixed_answers", list)
	kinds := countKinds(list)
	swap.mu.Lock()
	swaps := swap.swaps
	swap.mu.Unlock()
	t.Logf("measure: swapped_pairs=%d pairs", swaps)
	is.True(swaps > 10)
	is.True(kinds[string(errkind.CrossedAnswer)] >= swaps) // each swap is found out
	is.True(kinds[string(errkind.TargetTimeout)] > 10)     // late answers met callers that had given up
	is.True(kinds[outcomeWhole] > 100)

	// A target that states another attempt is never believed.
	crossed := &sender{key: key, method: "POST", deadline: 1000}
	behaviour(c, target.Behaviour{CrossedAnswer: true})
	for i := range 20 {
		o := crossed.send(t.Context(), c.Nodes[i%2], "/orders")
		is.Equal(o.kind, string(errkind.CrossedAnswer))
		is.True(!o.notRun) // it ran
	}
}

// awaitOwner waits until the instance owns partitions.
func awaitOwner(t *testing.T, c *cluster.Cluster, key string, id api.TargetID) {
	t.Helper()
	cluster.Eventually(t, readyLimit, func() error {
		status, err := c.Operator().Status(t.Context())
		if err != nil {
			return err
		}
		for _, s := range status.Services {
			if s.Owned[id] > 0 {
				return nil
			}
		}
		return fmt.Errorf("%s owns nothing", id)
	})
}
