package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// Guards against orders that arrive late or twice and give back what was revoked.
func TestGrantsFollowSequenceEpochAndClock(t *testing.T) {
	is := is.New(t)
	var clock time.Duration
	g := newGrants("a", nil, func() time.Duration { return clock })
	order := func(sequence uint64, epoch api.Epoch, expires int64) error {
		o := &api.Orders{Target: "a", Sequence: sequence, ExpiresClockMs: expires}
		if epoch > 0 {
			o.Grants = []api.TargetGrant{{Partition: 3, Epoch: epoch}}
		}
		return g.Accept(o)
	}
	is.NoErr(order(2, 7, 500))
	is.NoErr(g.Check(3, 7))
	is.Equal(errkind.Of(g.Check(3, 6)), errkind.StaleEpoch)
	is.Equal(errkind.Of(g.Check(4, 7)), errkind.WrongOwner)
	is.NoErr(order(4, 0, 500)) // revoke
	is.NoErr(order(3, 7, 900)) // late
	is.Equal(errkind.Of(g.Check(3, 7)), errkind.WrongOwner)
	is.Equal(errkind.Of(order(5, 6, 900)), errkind.StaleEpoch)
	is.Equal(g.Reply().Sequence, uint64(4))
	is.NoErr(order(6, 8, 900))
	is.NoErr(g.Accept(&api.Orders{Target: "a", Sequence: 7, ExpiresClockMs: 1000, Renew: true}))
	clock = 999 * time.Millisecond
	is.NoErr(g.Check(3, 8))
	clock = time.Second
	is.Equal(errkind.Of(g.Check(3, 8)), errkind.WrongOwner)
	is.Equal(errkind.Of(g.Accept(&api.Orders{Target: "b", Sequence: 9})), errkind.UnknownMember)
}

func startSample(t *testing.T, o SampleOptions) (*Sample, func() error) {
	t.Helper()
	s, err := NewSample(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx) }()
	stop := sync.OnceValue(func() error {
		cancel()
		return <-ended
	})
	t.Cleanup(func() { _ = stop() })
	return s, stop
}

func call(ctx context.Context, s *Sample, id string, headers ...string) (*http.Response, []byte, error) {
	body := bytes.NewReader([]byte(`{"request_id":"` + id + `"}`))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Address()+"/quotes/1", body)
	if err != nil {
		return nil, nil, err
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp, text, err
}

// Guards against work that takes effect although the grant ended while it ran.
func TestWorkIsFencedAtItsEnd(t *testing.T) {
	is := is.New(t)
	s, _ := startSample(t, SampleOptions{ChecksGrants: true, Warm: true, Behaviour: Behaviour{WorkMs: 100}})
	headers := []string{api.HeaderPartition, "3", api.HeaderEpoch, "7"}
	resp, _, err := call(t.Context(), s, "early", headers...)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusMisdirectedRequest)
	is.Equal(resp.Header.Get(errkind.HeaderNotRun), "true")
	is.NoErr(s.grants.Accept(&api.Orders{Target: s.ID(), Sequence: 1, ExpiresClockMs: s.grants.ClockMs() + 10_000,
		Grants: []api.TargetGrant{{Partition: 3, Epoch: 7}}}))
	go func() {
		time.Sleep(20 * time.Millisecond)
		_ = s.grants.Accept(&api.Orders{Target: s.ID(), Sequence: 2})
	}()
	resp, _, err = call(t.Context(), s, "late", headers...)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusMisdirectedRequest)
	is.Equal(resp.Header.Get(errkind.HeaderNotRun), "false")
	c := s.Counters()
	is.Equal(c.Fenced, int64(2))
	is.Equal(c.RunsByRequest["late"], 1)
	is.Equal(c.CompletedByRequest["late"]+c.RunsByRequest["early"], 0)
}

// Guards against a sample that bears a full load while cold, and one that never sheds.
func TestColdStartAndSlots(t *testing.T) {
	is := is.New(t)
	s, _ := startSample(t, SampleOptions{Slots: 4, ColdSlots: 2, Ramp: time.Minute, Behaviour: Behaviour{WorkMs: 100}})
	burst := func(n int) (cold, shed int) {
		var mu sync.Mutex
		var calls sync.WaitGroup
		for i := range n {
			calls.Go(func() {
				resp, _, err := call(t.Context(), s, strconv.Itoa(i))
				mu.Lock()
				defer mu.Unlock()
				if err == nil && resp.Header.Get(api.HeaderCold) == "true" {
					cold++
				}
				if err == nil && resp.Header.Get(api.HeaderShed) == "true" {
					shed++
				}
			})
		}
		calls.Wait()
		return cold, shed
	}
	cold, _ := burst(2)
	is.Equal(cold, 0)
	cold, _ = burst(4)
	is.True(cold > 0)
	is.True(s.Counters().Overruns > 0)
	is.True(s.Counters().MaxConcurrencyCold <= 2)
	time.Sleep(collapseTime)
	s.cold.mu.Lock()
	s.cold.since = time.Time{} // warm
	s.cold.mu.Unlock()
	_, shed := burst(6)
	is.True(shed > 0)
	is.Equal(s.Counters().MaxConcurrency, 4)
}

// Guards against faults that the sample is told to show and does not.
func TestFaultyAnswers(t *testing.T) {
	is := is.New(t)
	s, _ := startSample(t, SampleOptions{Warm: true})
	set := func(body string) int {
		resp, err := http.Post("http://"+s.Address()+PathBehaviour, "application/json", bytes.NewReader([]byte(body)))
		is.NoErr(err)
		resp.Body.Close()
		return resp.StatusCode
	}
	is.Equal(set(`{"work_milliseconds":1}`), http.StatusBadRequest)
	is.Equal(set(`{"straggle_share":2}`), http.StatusUnprocessableEntity)
	is.Equal(set(`{"crossed_answer":true,"answer_bytes":100000}`), http.StatusNoContent)
	resp, text, err := call(t.Context(), s, "r", api.HeaderAttempt, "x1")
	is.NoErr(err)
	is.True(resp.Header.Get(api.HeaderAttempt) != "x1")
	var answer Answer
	is.NoErr(json.Unmarshal(text, &answer))
	is.Equal(len(answer.Padding), 100000)
	is.Equal(answer.RequestID, "r")
	set(`{"short_answer":true}`)
	_, _, err = call(t.Context(), s, "r")
	is.True(err != nil) // the truncated answer is not a clean end
	set(`{"freeze_ms":200}`)
	start := time.Now()
	_, _, err = call(t.Context(), s, "r")
	is.NoErr(err)
	is.True(time.Since(start) >= 190*time.Millisecond)
	is.Equal(s.Counters().RunsByRequest["r"], 3)
}

// Guards against work that goes on after its caller has left or its deadline has passed.
func TestCancellationAndDeadline(t *testing.T) {
	is := is.New(t)
	s, _ := startSample(t, SampleOptions{Warm: true, Behaviour: Behaviour{WorkMs: 2000}})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, _, err := call(ctx, s, "left")
	is.True(err != nil)
	resp, _, err := call(t.Context(), s, "late", api.HeaderDeadlineMs, "50")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusGatewayTimeout)
	time.Sleep(50 * time.Millisecond)
	is.Equal(s.Counters().Cancelled, int64(2))
	is.Equal(s.counters.runningNow(), 0)
}

// Guards against a stop that cuts off a running request or does not wait for the node.
func TestServeLeavesGracefully(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var paths []string
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		paths = append(paths, r.URL.Path)
		leaves := 0
		for _, p := range paths {
			if p == api.PathLeave {
				leaves++
			}
		}
		writeJSON(w, api.AnnouncementReply{Accepted: true, Left: leaves > 1})
	}))
	defer node.Close()
	s, stop := startSample(t, SampleOptions{Warm: true, Node: node.Listener.Addr().String(), Behaviour: Behaviour{WorkMs: 200}})
	result := make(chan error, 1)
	go func() {
		_, _, err := call(context.Background(), s, "last")
		result <- err
	}()
	announced := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(paths) > 0
	}
	for s.Counters().Runs == 0 || !announced() {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(stop())
	is.NoErr(<-result)
	is.Equal(s.Counters().Completed, int64(1))
	mu.Lock()
	defer mu.Unlock()
	is.True(len(paths) >= 3)
	is.Equal(paths[0], api.PathAnnounce)
	is.Equal(paths[len(paths)-1], api.PathLeave)
}
