package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/local"
	"github.com/zinniapier/zinniapier/target"
)

// PathReport holds the cost of one way to reach a target.
type PathReport struct {
	Name       string  `json:"name"`
	Throughput float64 `json:"requests_per_s"`
	P50Us      float64 `json:"p50_us"`
	P99Us      float64 `json:"p99_us"`
	// CPUUs is the processor time of the whole process for each request, caller and target
	// included, in microseconds.
	CPUUs float64 `json:"cpu_us_per_request"`
	// Allocs and AllocBytes are the heap allocations of the whole process for each request.
	// Unlike the times, they do not depend on other work on the machine.
	Allocs     float64 `json:"allocs_per_request"`
	AllocBytes float64 `json:"alloc_bytes_per_request"`
}

// pathRate lets the limiter never refuse a request of the measurement.
const pathRate = 1e6

// pathKeys is the number of keys, enough for both targets to own some.
const pathKeys = 64

// MeasurePath measures requests to a target directly, through its own node, and over one hop,
// one after the other in the same process.
func MeasurePath(ctx context.Context, duration time.Duration, workers int) ([]PathReport, error) {
	folder, err := os.MkdirTemp("", "zinnia-path-")
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer os.RemoveAll(folder)
	sample := func() []target.SampleOptions {
		return []target.SampleOptions{{Service: "quotes", Slots: 200, Warm: true}}
	}
	d, err := local.New(local.Options{
		DataDir: folder,
		Hosts:   []local.Host{{Zone: "a", Targets: sample()}, {Zone: "b", Targets: sample()}},
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	serving, stop := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- d.Serve(serving) }()
	defer func() {
		stop()
		<-done
	}()
	return measurePaths(ctx, d, duration, workers)
}

func measurePaths(ctx context.Context, d *local.Deployment, duration time.Duration, workers int) ([]PathReport, error) {
	services := &api.Services{Services: []api.Service{keyedService("quotes", "/quotes")}}
	if err := d.Change(ctx, api.Change{Kind: api.ApplyServices, Services: services}); err != nil {
		return nil, err
	}
	secret, err := d.AddOrganisation(ctx, api.Organisation{ID: "path", Rate: pathRate, Burst: pathRate, Weight: 1})
	if err != nil {
		return nil, err
	}
	if err := d.AwaitReady(ctx); err != nil {
		return nil, err
	}
	own, other := keysByOwner(d)
	ways := []struct {
		name, address string
		keys          []string
	}{
		{"direct", d.Targets[0].Address(), own},
		{"own node", d.Callers()[0], own},
		{"one hop", d.Callers()[0], other},
	}
	var reports []PathReport
	for _, way := range ways {
		r, err := measureWay(ctx, way.address, secret, way.keys, duration, workers)
		if err != nil {
			return nil, errors.Annotate(err, way.name)
		}
		r.Name = way.name
		reports = append(reports, r)
	}
	return reports, nil
}

// keysByOwner splits keys by whether the first node's target owns them.
func keysByOwner(d *local.Deployment) (own, other []string) {
	v := d.Nodes[0].View()
	service := v.Configuration.Services.Find("quotes")
	for i := range pathKeys {
		key := fmt.Sprintf("key-%d", i)
		owner := v.Owner(api.PartitionRef{Service: "quotes", Partition: v.Partition(service, key)})
		if owner.Session == v.Session {
			own = append(own, key)
		} else {
			other = append(other, key)
		}
	}
	return own, other
}

func measureWay(ctx context.Context, address, secret string, keys []string, duration time.Duration, workers int) (PathReport, error) {
	transport := &http.Transport{MaxIdleConnsPerHost: workers}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: requestTimeout}
	var failed atomic.Int64
	histograms := make([]*hdrhistogram.Histogram, workers)
	before := processorTime()
	heap := heapAllocations()
	start := time.Now()
	var wg sync.WaitGroup
	for w := range workers {
		histograms[w] = hdrhistogram.New(1, histogramMax, histogramPrecision)
		wg.Go(func() {
			for i := w; time.Since(start) < duration && ctx.Err() == nil; i++ {
				began := time.Now()
				if err := get(ctx, client, "http://"+address+"/quotes/"+keys[i%len(keys)], secret); err != nil {
					failed.Add(1)
					continue
				}
				// The client's timeout keeps values within the range.
				_ = histograms[w].RecordValue(time.Since(began).Microseconds())
			}
		})
	}
	wg.Wait()
	elapsed := time.Since(start)
	used := processorTime() - before
	allocated := heapAllocations()
	for _, h := range histograms[1:] {
		histograms[0].Merge(h)
	}
	if failed.Load() > 0 {
		return PathReport{}, errors.Errorf("%d requests failed", failed.Load())
	}
	h := histograms[0]
	n := float64(h.TotalCount())
	return PathReport{
		Throughput: n / elapsed.Seconds(),
		P50Us:      float64(h.ValueAtQuantile(50)),
		P99Us:      float64(h.ValueAtQuantile(99)),
		CPUUs:      float64(used.Microseconds()) / n,
		Allocs:     float64(allocated.Mallocs-heap.Mallocs) / n,
		AllocBytes: float64(allocated.TotalAlloc-heap.TotalAlloc) / n,
	}, nil
}

func get(ctx context.Context, client *http.Client, url, secret string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Trace(err)
	}
	req.Header.Set("Authorization", "Bearer "+secret)
	resp, err := client.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return errors.Trace(err)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

func heapAllocations() runtime.MemStats {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	// Getrusage cannot fail for the calling process.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// printPaths prints one row for each way, with ratios to the first.
func printPaths(out io.Writer, reports []PathReport) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "way\trequests/s\tp50 us\tp99 us\tCPU us/request\tp50 ratio\tCPU ratio\tallocs\talloc bytes\t")
	base := reports[0]
	for _, r := range reports {
		fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%.2f\t%.0f\t%.0f\t\n",
			r.Name, r.Throughput, r.P50Us, r.P99Us, r.CPUUs, r.P50Us/base.P50Us, r.CPUUs/base.CPUUs, r.Allocs, r.AllocBytes)
	}
	return errors.Trace(w.Flush())
}
