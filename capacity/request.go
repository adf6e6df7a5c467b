package capacity

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/target"
)

// callers is the number of concurrent callers, each with its own connection.
const callers = 16

// path is one way for a request through the system.
type path struct {
	name   string
	url    string
	secret string
	status int
}

// requests measures the processor time and the allocations of requests, with their callers
// and the sample target in the same process. The slope is the cost of one request.
func requests(ctx context.Context, z Sizes) ([]Slope, error) {
	d, err := startDeployment(ctx, 2)
	if err != nil {
		return nil, err
	}
	defer d.close()
	sample, err := target.NewSample(target.SampleOptions{Service: serviceName, Slots: 64, Warm: true})
	if err != nil {
		return nil, err
	}
	direct, stop, err := serve(sample.Handler())
	if err != nil {
		return nil, err
	}
	defer stop()
	paths, err := d.paths(direct)
	if err != nil {
		return nil, err
	}
	idle := idleShare(z.Window / 2)
	var list []Slope
	for _, p := range paths {
		slopes, err := p.measure(ctx, z, idle)
		if err != nil {
			return nil, errors.Annotate(err, p.name)
		}
		list = append(list, slopes...)
	}
	return list, nil
}

func (d *deployment) paths(direct string) ([]path, error) {
	key, err := d.keyOwnedBy(0)
	if err != nil {
		return nil, err
	}
	nodes := d.Callers()
	url := func(node int) string { return fmt.Sprintf("http://%s/quotes/%s", nodes[node], key) }
	return []path{
		{"caller and target without a node", direct + "/quotes/" + key, d.secret, http.StatusOK},
		{"refused by the node", url(0), "unknown", http.StatusUnauthorized},
		{"local target", url(0), d.secret, http.StatusOK},
		{"one hop", url(1), d.secret, http.StatusOK},
	}, nil
}

// keyOwnedBy returns a key whose owner is beside the node.
func (d *deployment) keyOwnedBy(node int) (string, error) {
	v := d.Nodes[node].View()
	for i := range 100 * deploymentPartitions {
		key := fmt.Sprintf("key-%d", i)
		a := v.Owner(api.PartitionRef{Service: serviceName, Partition: api.PartitionOf(key, deploymentPartitions)})
		if a.Session == v.Session {
			return key, nil
		}
	}
	return "", errors.NotFoundf("key owned by node %d", node)
}

func (p path) measure(ctx context.Context, z Sizes, idle float64) ([]Slope, error) {
	list := []Slope{
		{Name: p.name, X: "requests", Y: "us", Method: MethodProcess},
		{Name: p.name + ", allocated", X: "requests", Y: "bytes", Method: MethodSize},
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	if err := p.send(ctx, client, z.Requests[0]); err != nil {
		return nil, err
	}
	for _, n := range z.Requests {
		liveHeap()
		start, used, bytes := time.Now(), processTime(), allocated()
		if err := p.send(ctx, client, n); err != nil {
			return nil, err
		}
		own := idle * microseconds(time.Since(start))
		list[0].add(n, microseconds(processTime()-used)-own)
		list[1].add(n, float64(allocated()-bytes))
	}
	return list, nil
}

// send runs the requests over all callers and stops at the first unexpected answer.
func (p path) send(ctx context.Context, client *http.Client, n int) error {
	var next atomic.Int64
	var wait sync.WaitGroup
	failures := make(chan error, callers)
	for range callers {
		wait.Go(func() {
			for next.Add(1) <= int64(n) {
				if err := p.once(ctx, client); err != nil {
					failures <- err
					return
				}
			}
		})
	}
	wait.Wait()
	close(failures)
	return <-failures
}

func (p path) once(ctx context.Context, client *http.Client) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url, nil)
	if err != nil {
		return errors.Trace(err)
	}
	req.Header.Set("Authorization", "Bearer "+p.secret)
	resp, err := client.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return errors.Trace(err)
	}
	if resp.StatusCode != p.status {
		return errors.Errorf("status %d, expected %d", resp.StatusCode, p.status)
	}
	return nil
}
