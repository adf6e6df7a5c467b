package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/cluster"
	"github.com/zinniapier/zinniapier/target"
)

// warmTargets takes the cold start out of tests that are about something else.
func warmTargets(_ int, s *config.TargetSettings) { s.ColdSlots, s.Slots = 20, 20 }

// Kinds of outcomes beside the error kinds.
const (
	outcomeWhole  = "whole"
	outcomeBroken = "broken-connection" // the caller saw an error instead of a complete answer
	outcomeNoNode = "connection-refused"
	// The sample target itself answers 504 when the deadline ends its work; the answer is passed on.
	outcomeTargetGaveUp = "target-gave-up"
)

// refusalPause is the least pause of a worker after a request that was not served.
const refusalPause = 50 * time.Millisecond

// outcome is what the caller of one request learnt.
type outcome struct {
	id     string
	kind   string
	notRun bool
	took   time.Duration
}

// journal collects the outcomes of concurrent requests.
type journal struct {
	mu     sync.Mutex
	list   []outcome
	faults []string
}

func (j *journal) add(o outcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.list = append(j.list, o)
}

// fault records a violation that the caller itself can see.
func (j *journal) fault(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.faults = append(j.faults, fmt.Sprintf(format, args...))
}

// outcomes returns the outcomes so far and fails the test for recorded violations.
func (j *journal) outcomes(t *testing.T) []outcome {
	t.Helper()
	j.mu.Lock()
	defer j.mu.Unlock()
	for i, f := range j.faults {
		if i < 10 {
			t.Error(f)
		}
	}
	return append([]outcome(nil), j.list...)
}

func countKinds(list []outcome) map[string]int {
	counts := make(map[string]int)
	for _, o := range list {
		counts[o.kind]++
	}
	return counts
}

// logKinds prints the number of outcomes of each kind.
func logKinds(t *testing.T, name string, list []outcome) {
	t.Helper()
	for kind, n := range countKinds(list) {
		t.Logf("measure: %s_%s=%d requests", name, kind, n)
	}
}

// sender sends requests and keeps their outcomes.
type sender struct {
	journal
	key    string // organisation key
	method string
	// deadline in milliseconds for each request.
	deadline int
	// pause of a worker after a request that was not served; at least refusalPause.
	pause time.Duration
	last  atomic.Int64
}

// send sends one request with an id of its own and checks that a whole answer is the answer to it.
func (s *sender) send(ctx context.Context, n *cluster.Node, path string) outcome {
	id := "r" + strconv.FormatInt(s.last.Add(1), 10)
	h := http.Header{target.HeaderRequestID: {id}}
	if s.deadline > 0 {
		h.Set(api.HeaderDeadlineMs, strconv.Itoa(s.deadline))
	}
	began := time.Now()
	a, err := n.Do(ctx, cluster.Request{Method: s.method, Path: path, OrganisationKey: s.key, Header: h, Body: []byte("{}")})
	o := outcome{id: id, kind: outcomeBroken, took: time.Since(began)}
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		o.kind = outcomeNoNode
	case err != nil:
	case a.Status == http.StatusOK:
		o.kind = outcomeWhole
		if a.Echo.RequestID != id || a.Echo.Path != path {
			s.fault("%s %s got the answer to %q %s", id, path, a.Echo.RequestID, a.Echo.Path)
		}
	case a.Kind == "" && a.Status == http.StatusGatewayTimeout:
		o.kind = outcomeTargetGaveUp
	default:
		o.kind, o.notRun = string(a.Kind), a.NotRun
		if !a.Kind.Valid() {
			s.fault("%s: status %d without an error kind", id, a.Status)
		}
	}
	s.add(o)
	return o
}

// load sends requests from workers at each node, one after the other, until stop is called,
// which waits for the last answers.
func (s *sender) load(nodes []*cluster.Node, workers int, path func(worker, i int) string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, n := range nodes {
		for w := range workers {
			wg.Go(func() {
				for i := 0; ctx.Err() == nil; i++ {
					o := s.send(context.Background(), n, path(w, i))
					if o.kind != outcomeWhole {
						// Refusals come at once; without a pause the workers take the
						// processor from the proxies in this process.
						time.Sleep(max(s.pause, refusalPause))
					}
				}
			})
		}
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// counters returns the counters of a target process.
func counters(c *cluster.Target) target.Counters {
	var k target.Counters
	c.Counters(&k)
	return k
}

// runs adds up how often each request ran.
func runs(all ...target.Counters) map[string]int {
	sum := make(map[string]int)
	for _, k := range all {
		for id, n := range k.RunsByRequest {
			sum[id] += n
		}
	}
	return sum
}

// checkOnce fails the test for requests that ran twice, that ran although they were refused
// as not run, and that were answered without a run.
func checkOnce(t *testing.T, list []outcome, ran map[string]int) {
	t.Helper()
	twice, lied, invented := 0, 0, 0
	for _, n := range ran {
		if n > 1 {
			twice++
		}
	}
	for _, o := range list {
		switch {
		case o.notRun && ran[o.id] > 0:
			lied++
			if lied < 10 {
				t.Errorf("%s was refused with %s as not run, and ran", o.id, o.kind)
			}
		case o.kind == outcomeWhole && ran[o.id] == 0:
			invented++
		}
	}
	t.Logf("measure: ran_more_than_once=%d requests", twice)
	t.Logf("measure: refused_as_not_run_and_ran=%d requests", lied)
	if twice+lied+invented > 0 {
		t.Errorf("%d requests ran more than once, %d ran although refused as not run, %d were answered and never ran",
			twice, lied, invented)
	}
}

// sampleHere runs a target inside the test process, behind a real node. Its counters outlive its Kill.
func sampleHere(t *testing.T, n *cluster.Node, o target.SampleOptions) *target.Sample {
	t.Helper()
	o.Node, o.Zone = n.Settings.AnnounceListen, n.Settings.Zone
	s, err := target.NewSample(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Serve(ctx)
	}()
	t.Cleanup(func() {
		_ = s.Kill()
		cancel()
		select {
		case <-ended:
		case <-time.After(readyLimit):
			t.Error("the target in the test process does not end")
		}
	})
	return s
}

// rawAnswer is an answer as it comes from the connection. Err is nil only when the answer
// ended as its framing says.
type rawAnswer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (a *rawAnswer) kind() errkind.Kind { return errkind.Kind(a.header.Get(errkind.HeaderKind)) }

// fetch sends a request on a connection of its own. paused runs once the header and the first
// bytes of the answer have arrived; nothing is read meanwhile. The receive buffer is small so
// that the rest of a large answer waits at the sender.
func fetch(n *cluster.Node, path, key, id string, paused func(first []byte)) *rawAnswer {
	dialer := &net.Dialer{Timeout: time.Second}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err == nil {
			_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10)
		}
		return conn, err
	}}
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), requestLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.Settings.CallerListen+path, bytes.NewReader([]byte("{}")))
	if err != nil {
		return &rawAnswer{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set(target.HeaderRequestID, id)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return &rawAnswer{err: err}
	}
	defer resp.Body.Close()
	a := &rawAnswer{status: resp.StatusCode, header: resp.Header}
	if paused != nil {
		first := make([]byte, 16<<10)
		read, err := resp.Body.Read(first)
		a.body = first[:read]
		if err != nil && err != io.EOF {
			a.err = err
		}
		paused(a.body)
	}
	rest, err := io.ReadAll(resp.Body)
	a.body = append(a.body, rest...)
	if a.err == nil {
		a.err = err
	}
	return a
}

// check reports whether the answer is an error that the caller sees, and fails the test when it
// looks complete and is not the whole answer to the request.
func (a *rawAnswer) check(t *testing.T, id string, padding int) (isError bool) {
	t.Helper()
	if a.err != nil || a.kind() != "" {
		return true
	}
	var echo target.Answer
	if err := json.Unmarshal(a.body, &echo); err != nil {
		t.Errorf("%s: %d bytes ended without an error, and are not a whole answer: %v", id, len(a.body), err)
		return false
	}
	if echo.RequestID != id || len(echo.Padding) != padding {
		t.Errorf("%s: got the answer to %q with %d of %d bytes of padding", id, echo.RequestID, len(echo.Padding), padding)
	}
	return false
}

// keyOwnedBy returns a path of the quotes service whose owner is the target instance.
func keyOwnedBy(t *testing.T, n *cluster.Node, key string, instance api.TargetID) string {
	t.Helper()
	for i := range 500 {
		path := fmt.Sprintf("/quotes/search-%d", i)
		a := request(t, n, cluster.Request{Path: path, OrganisationKey: key})
		if a.Status == http.StatusOK && a.Echo.Instance == instance {
			return path
		}
	}
	t.Fatalf("no key is owned by %s", instance)
	return ""
}

// instanceOf returns the instance id of a target process.
func instanceOf(c *cluster.Target) api.TargetID { return api.TargetID(counters(c).Instance) }

// targetsOf returns the targets of a service.
func targetsOf(c *cluster.Cluster, service string) []*cluster.Target {
	var list []*cluster.Target
	for _, t := range c.Targets {
		if t.Settings.Service == service {
			list = append(list, t)
		}
	}
	return list
}

// linksOf returns all links of a kind.
func linksOf(c *cluster.Cluster, kind cluster.Kind) []*cluster.Link {
	seen := make(map[*cluster.Link]bool)
	var list []*cluster.Link
	var ends []*cluster.Process
	for _, m := range c.Control {
		ends = append(ends, &m.Process)
	}
	for _, n := range c.Nodes {
		ends = append(ends, &n.Process)
	}
	for _, p := range ends {
		for _, l := range c.Links(p) {
			if l.Kind == kind && !seen[l] {
				seen[l] = true
				list = append(list, l)
			}
		}
	}
	return list
}

// settledFor is the time without a change of ownership after which no planned move is under way;
// the control loop looks for moves several times within it.
const settledFor = 700 * time.Millisecond

// awaitSettled waits until every partition is granted and none has moved for a while.
func awaitSettled(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	var last uint64
	var since time.Time
	cluster.Eventually(t, 2*readyLimit, func() error {
		status, err := c.Operator().Status(t.Context())
		if err != nil {
			return err
		}
		if err := allGranted(status); err != nil {
			return err
		}
		if status.MapVersion != last || since.IsZero() {
			last, since = status.MapVersion, time.Now()
		}
		if quiet := time.Since(since); quiet < settledFor {
			return fmt.Errorf("the map changed %v ago", quiet)
		}
		return nil
	})
}
