package integration

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/cluster"
)

// Bounds of the design.
const (
	servedAgain = time.Second     // a key is served again after a loss
	inForce     = 4 * time.Second // a configuration is in force everywhere
	shortly     = 3 * time.Second // a zone or target taken out gets no new work
)

const (
	// sendInterval separates two requests for a key; it is the resolution of unavailable time.
	sendInterval = 50 * time.Millisecond
	// settle is the time of undisturbed traffic before a fault.
	settle = time.Second
)

// deadline bounds requests that wait for an owner, well above the time in which one must be found.
var deadline = http.Header{api.HeaderDeadlineMs: {"3000"}}

// sample is one request of the background traffic and what became of it.
type sample struct {
	key        string
	node       string
	start, end time.Time
	// ok says that a target answered; the fields below it are then set.
	ok        bool
	instance  api.TargetID
	zone      string
	partition int
	epoch     api.Epoch
	// A refusal has kind and notRun, a request without an answer err.
	status int
	kind   errkind.Kind
	notRun bool
	err    error
}

func (s *sample) String() string {
	return fmt.Sprintf("%s via %s at %s for %v: ok=%v epoch=%d instance=%.6s kind=%s not-run=%v err=%v", s.key, s.node,
		s.start.Format("05.000"), s.end.Sub(s.start).Round(time.Millisecond), s.ok, s.epoch, s.instance, s.kind, s.notRun, s.err)
}

// traffic sends requests for each key at a steady rate, whether or not earlier ones have
// been answered, through all nodes in turn.
type traffic struct {
	t       *testing.T
	key     string // organisation key
	keys    []string
	nodes   atomic.Pointer[[]*cluster.Node]
	stopped chan struct{}
	running sync.WaitGroup

	mu      sync.Mutex
	samples []*sample
}

// startTraffic sends to count keys until stop or the end of the test. Without an organisation key
// it uses the open route, which takes no tokens: what it measures is ownership alone.
func startTraffic(t *testing.T, c *cluster.Cluster, organisationKey string, count int) *traffic {
	tr := &traffic{t: t, key: organisationKey, stopped: make(chan struct{})}
	for i := range count {
		tr.keys = append(tr.keys, fmt.Sprintf("lamp-%d", i))
	}
	tr.use(c.Nodes...)
	for i, key := range tr.keys {
		tr.running.Go(func() {
			// Spread over the interval, so that the keys together sample every moment.
			time.Sleep(sendInterval * time.Duration(i) / time.Duration(count))
			tr.send(key, i, sendInterval)
		})
	}
	t.Cleanup(func() { tr.stop() })
	return tr
}

// use replaces the nodes that requests are sent to.
func (tr *traffic) use(nodes ...*cluster.Node) { tr.nodes.Store(&nodes) }

// without sends to all nodes but one from now on.
func (tr *traffic) without(nodes ...*cluster.Node) {
	tr.use(slices.DeleteFunc(slices.Clone(*tr.nodes.Load()), func(n *cluster.Node) bool { return slices.Contains(nodes, n) })...)
}

func (tr *traffic) send(key string, turn int, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-tr.stopped:
			return
		case <-ticker.C:
		}
		nodes := *tr.nodes.Load()
		turn++
		tr.running.Go(func() { tr.one(nodes[turn%len(nodes)], key) })
	}
}

func (tr *traffic) one(n *cluster.Node, key string) *sample {
	s := &sample{key: key, node: n.Name, start: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), requestLimit)
	defer cancel()
	path := "/quotes/"
	if tr.key == "" {
		path = "/lamps/"
	}
	a, err := n.Do(ctx, cluster.Request{Path: path + key, OrganisationKey: tr.key, Header: deadline})
	s.end = time.Now()
	s.err = err
	if err == nil {
		s.fill(a)
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.samples = append(tr.samples, s)
	return s
}

func (s *sample) fill(a *cluster.Answer) {
	s.status, s.kind, s.notRun = a.Status, a.Kind, a.NotRun
	if a.Status != http.StatusOK {
		return
	}
	epoch, err := strconv.ParseUint(a.Echo.Headers.Get(api.HeaderEpoch), 10, 64)
	if err != nil {
		s.err = err
		return
	}
	s.ok, s.epoch = true, api.Epoch(epoch)
	s.instance, s.zone = a.Echo.Instance, a.Echo.Zone
	s.partition, _ = strconv.Atoi(a.Echo.Partition)
}

// snapshot returns the requests that have ended so far, in the order of their ends.
func (tr *traffic) snapshot() []*sample {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return byEnd(tr.samples)
}

// stop ends the sending, waits for the answers and returns all requests.
func (tr *traffic) stop() []*sample {
	select {
	case <-tr.stopped:
	default:
		close(tr.stopped)
	}
	tr.running.Wait()
	return tr.snapshot()
}

// finish stops the traffic and checks what holds in every test: no key has two owners, and no
// refusal is anything but an HTTP answer.
func (tr *traffic) finish() []*sample {
	tr.t.Helper()
	list := tr.stop()
	for _, v := range violations(list) {
		tr.t.Error(v)
	}
	tr.summary(list)
	return list
}

func (tr *traffic) summary(list []*sample) {
	kinds := make(map[string]int)
	for _, s := range list {
		switch {
		case s.ok:
			kinds["ok"]++
		case s.err != nil:
			kinds["no answer"]++
		default:
			kinds[fmt.Sprintf("%d %s", s.status, s.kind)]++
		}
	}
	tr.t.Logf("%d requests: %v", len(list), kinds)
}

// violations checks the history of each key as a register that only grows: every answer names
// the epoch and the owner under which the request ran at some moment between start and end.
// The history has an order in real time if and only if no request that started after another
// one was answered ran under an older epoch; and an epoch has one owner.
func violations(list []*sample) []error {
	var found []error
	owners := make(map[string]api.TargetID)
	newest := make(map[string]*sample)
	byKey := make(map[string][]*sample)
	for _, s := range byEnd(list) {
		if s.ok {
			byKey[s.key] = append(byKey[s.key], s)
		}
	}
	for key, history := range byKey {
		for _, s := range history {
			name := fmt.Sprintf("%s %d", key, s.epoch)
			if other, known := owners[name]; known && other != s.instance {
				found = append(found, fmt.Errorf("two owners in one epoch, %.6s and %v", other, s))
			}
			owners[name] = s.instance
		}
		for _, s := range byStart(history) {
			// Only answers that had ended before this request started count.
			for len(history) > 0 && history[0].end.Before(s.start) {
				if n := newest[key]; n == nil || history[0].epoch > n.epoch {
					newest[key] = history[0]
				}
				history = history[1:]
			}
			if n := newest[key]; n != nil && s.epoch < n.epoch {
				found = append(found, fmt.Errorf("the owner went back: %v after %v", s, n))
			}
		}
	}
	return found
}

func byEnd(list []*sample) []*sample {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b *sample) int { return a.end.Compare(b.end) })
	return sorted
}

func byStart(list []*sample) []*sample {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b *sample) int { return a.start.Compare(b.start) })
	return sorted
}

// unavailable returns the longest time without an answer from a target over all keys, from one
// moment to another.
func unavailable(list []*sample, keys []string, from, to time.Time) (longest time.Duration, key string) {
	last := make(map[string]time.Time)
	for _, k := range keys {
		last[k] = from
	}
	note := func(k string, at time.Time) {
		if gap := at.Sub(last[k]); gap > longest {
			longest, key = gap, k
		}
		last[k] = at
	}
	for _, s := range byEnd(list) {
		if s.ok && s.end.After(from) && s.end.Before(to) {
			note(s.key, s.end)
		}
	}
	for _, k := range keys {
		note(k, to)
	}
	return longest, key
}

// expectUnavailable checks the longest unavailable time since a moment against a bound.
func (tr *traffic) expectUnavailable(name string, list []*sample, from, to time.Time, bound time.Duration) {
	tr.t.Helper()
	gap, key := unavailable(list, tr.keys, from, to)
	measure(tr.t, name, gap)
	if gap <= bound {
		return
	}
	tr.t.Errorf("%s was not served for %v, more than %v", key, gap, bound)
	tr.explain(list, key, from)
}

// explain prints the requests of a key that a target did not answer.
func (tr *traffic) explain(list []*sample, key string, from time.Time) {
	printed := 0
	for _, s := range byStart(list) {
		slow := s.end.Sub(s.start) > servedAgain/4
		if s.key == key && s.start.After(from) && (!s.ok || slow) && printed < 12 {
			tr.t.Logf("+%v %v", s.start.Sub(from).Round(time.Millisecond), s)
			printed++
		}
	}
}

// failed returns the requests that ended otherwise than with a target's answer.
func failed(list []*sample) []*sample {
	return slices.DeleteFunc(slices.Clone(list), func(s *sample) bool { return s.ok })
}

// neverAccepted says that the request did not reach the node's process: nothing listened.
func neverAccepted(s *sample) bool { return errors.Is(s.err, syscall.ECONNREFUSED) }

// measure prints a time in the form that pages are filled from.
func measure(t *testing.T, name string, d time.Duration) {
	t.Helper()
	t.Logf("measure: %s=%d ms", name, d.Milliseconds())
}

// quotesOnly returns one host with a target of quotes in each of the zones. The targets are
// warm from the start, so that placement is not paced by their cold start.
func quotesOnly(control int, zones ...string) cluster.Options {
	o := cluster.Options{Control: control, EditTarget: func(_ int, s *config.TargetSettings) { s.ColdSlots = 20 }}
	for _, z := range zones {
		o.Hosts = append(o.Hosts, cluster.Host{Zone: z, Targets: []string{"quotes"}})
	}
	return o
}

func status(t *testing.T, c *cluster.Cluster, members ...*cluster.Control) *api.Status {
	t.Helper()
	s, err := c.Operator(members...).Status(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// leader returns the control member that leads, as all members see it.
func leader(t *testing.T, c *cluster.Cluster, among ...*cluster.Control) *cluster.Control {
	t.Helper()
	if len(among) == 0 {
		among = c.Control
	}
	var found *cluster.Control
	cluster.Eventually(t, readyLimit, func() error {
		for _, m := range among {
			s, err := c.Operator(m).Status(context.Background())
			if err != nil {
				return err
			}
			if s.Leader == m.Name && s.Term > 0 {
				found = m
				return nil
			}
		}
		return errors.New("no member leads")
	})
	return found
}

// awaitCalm waits until no partition has moved for one interval of balancing. A move that a loss
// of the control leader interrupts is finished only one lease after the election.
func awaitCalm(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	version, since := uint64(0), time.Now()
	cluster.Eventually(t, readyLimit, func() error {
		s, err := c.Operator().Status(context.Background())
		if err != nil || s.MapVersion != version {
			since = time.Now()
		}
		if err == nil {
			version = s.MapVersion
		}
		if time.Since(since) < 1200*time.Millisecond {
			return errors.New("partitions move")
		}
		return nil
	})
}

// changeAt makes a change at one member, on the version that the member states.
func changeAt(t *testing.T, c *cluster.Cluster, m *cluster.Control, change api.Change) uint64 {
	t.Helper()
	o := c.Operator(m)
	current, err := o.Configuration(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	change.BaseVersion = current.Version
	version, err := o.Change(context.Background(), change)
	if err != nil {
		t.Fatal(err)
	}
	return version
}

// others returns the control members that are not the given one.
func others(c *cluster.Cluster, m *cluster.Control) []*cluster.Control {
	return slices.DeleteFunc(slices.Clone(c.Control), func(o *cluster.Control) bool { return o == m })
}
