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

// wrappedTarget announces a target to the node whose requests, but not its orders, go through wrap.
func wrappedTarget(t *testing.T, n *cluster.Node, service string, wrap func(http.Handler) http.Handler) api.TargetID {
	t.Helper()
	sample, err := target.NewSample(target.SampleOptions{Service: service, Warm: true, ChecksGrants: true})
	if err != nil {
		t.Fatal(err)
	}
	inner := sample.Handler()
	mux := http.NewServeMux()
	mux.Handle("/zinnia/", inner)
	mux.Handle("/", wrap(inner))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	t.Cleanup(func() { _ = sample.Kill() })
	announcer := &target.Announcer{Node: n.Settings.AnnounceListen, Announcement: func() api.Announcement {
		a := sample.Announcement()
		a.Address = server.Listener.Addr().String()
		return a
	}}
	go func() { _ = announcer.Serve(t.Context()) }()
	return sample.ID()
}

// TestAnswersReachTheirOwnCaller guards against an answer that reaches another caller: the
// target swaps answers of concurrent requests, states another attempt, or answers so late that
// the caller has given up and its connection might serve the next one.
func TestAnswersReachTheirOwnCaller(t *testing.T) {
	is := is.New(t)
	c, key := start(t, cluster.Options{Hosts: hosts("a", "b"), EditTarget: warmTargets})
	swap := &swapper{}
	id := wrappedTarget(t, c.Nodes[1], "quotes", func(inner http.Handler) http.Handler {
		swap.inner = inner
		return swap
	})
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
