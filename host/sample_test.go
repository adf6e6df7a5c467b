package host

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/target"
)

// startSample runs a sample target that announces itself and owns partition 0 at epoch 5.
func startSample(t *testing.T, c *fakeControl, node string, b target.Behaviour) (*target.Sample, chan error, context.CancelFunc) {
	t.Helper()
	s, err := target.NewSample(target.SampleOptions{Service: testService, Node: node, ChecksGrants: true, Warm: true, Behaviour: b})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx) }()
	eventually(t, "announcement", func() bool { return c.r.Lookup(s.ID()) != nil })
	c.assign(api.Granted, s.ID(), 5)
	return s, ended, stop
}

// request runs one request through Target.Begin and returns the status of the response, or 0.
func request(t *testing.T, local *Target, id string) int {
	ctx, end, err := local.Begin(t.Context(), ref0(), 5, "")
	if err != nil {
		return 0
	}
	defer end()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+local.Info().Address+"/", strings.NewReader("x"))
	req.Header.Set(api.HeaderPartition, "0")
	req.Header.Set(api.HeaderEpoch, "5")
	req.Header.Set(target.HeaderRequestID, id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// Guards against a graceful stop that cancels a request or leaves a grant behind.
func TestSampleLeavesGracefully(t *testing.T) {
	is := is.New(t)
	c, server := newFakeControl(t, Options{})
	s, ended, stop := startSample(t, c, server.Listener.Addr().String(), target.Behaviour{WorkMs: 300})
	local := c.r.Lookup(s.ID())
	status := make(chan int, 1)
	go func() { status <- request(t, local, "last") }()
	eventually(t, "work", func() bool { return s.Counters().Runs == 1 })
	stop()
	eventually(t, "draining", func() bool { return local.State() == api.TargetDraining })
	c.assign(api.Releasing, s.ID(), 5)
	eventually(t, "release", func() bool { return c.released(5) })
	is.Equal(s.Counters().Completed, int64(1)) // before the release
	c.assign(api.Unassigned, "", 0)
	is.NoErr(<-ended)
	is.Equal(<-status, http.StatusOK)
	is.Equal(len(c.r.Targets()), 0)
}

// Guards against work of a frozen target that takes effect after its partition was released.
func TestFrozenSampleIsFenced(t *testing.T) {
	is := is.New(t)
	c, server := newFakeControl(t, Options{})
	s, _, _ := startSample(t, c, server.Listener.Addr().String(), target.Behaviour{WorkMs: 100})
	local := c.r.Lookup(s.ID())
	status := make(chan int, 1)
	go func() { status <- request(t, local, "frozen") }()
	eventually(t, "work", func() bool { return s.Counters().Runs == 1 })
	is.NoErr(s.SetBehaviour(target.Behaviour{FreezeMs: 1500}))
	took := eventually(t, "release", func() bool { return c.released(5) })
	is.True(took < 1200*time.Millisecond)
	c.assign(api.Granted, "elsewhere", 6)
	is.True(<-status != http.StatusOK)
	eventually(t, "return", func() bool { return local.State() == api.TargetServing })
	// The work and the reply to the node resume at the same time; either may come first.
	eventually(t, "end of the work", func() bool { return s.Counters().Fenced+s.Counters().Completed > 0 })
	is.Equal(s.Counters().Fenced, int64(1))
	is.Equal(s.Counters().Completed, int64(0))
	is.Equal(s.Counters().CompletedByRequest["frozen"], 0)
}
