package capacity

import (
	"context"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/local"
	"github.com/zinniapier/zinniapier/target"
)

const (
	deploymentPartitions = 64
	// deploymentRate keeps the organisation's limit out of the measurements.
	deploymentRate = 1e6
)

// deployment is a whole deployment in this process.
type deployment struct {
	*local.Deployment
	secret string // organisation key
	folder string
	stop   context.CancelFunc
	done   chan error
}

// startDeployment starts hosts with one sample target each, which own the partitions of
// one service.
func startDeployment(ctx context.Context, hosts int) (*deployment, error) {
	folder, err := os.MkdirTemp("", "zinnia-slopes-")
	if err != nil {
		return nil, errors.Trace(err)
	}
	o := local.Options{DataDir: folder}
	for i := range hosts {
		o.Hosts = append(o.Hosts, local.Host{Zone: zone(i), Targets: []target.SampleOptions{{
			Service: serviceName, Slots: 64, ChecksGrants: true, Warm: true,
		}}})
	}
	d := &deployment{folder: folder, done: make(chan error, 1)}
	if d.Deployment, err = local.New(o); err != nil {
		os.RemoveAll(folder)
		return nil, err
	}
	serving, stop := context.WithCancel(ctx)
	d.stop = stop
	go func() { d.done <- d.Serve(serving) }()
	if err := d.prepare(ctx); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *deployment) prepare(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	services := sampleServices(deploymentPartitions)
	if err := d.Change(ctx, api.Change{Kind: api.ApplyServices, Services: services}); err != nil {
		return err
	}
	o := api.Organisation{ID: "organisation", Rate: deploymentRate, Burst: deploymentRate}
	if d.secret, err = d.AddOrganisation(ctx, o); err != nil {
		return err
	}
	return d.AwaitReady(ctx)
}

func (d *deployment) close() {
	d.stop()
	<-d.done
	os.RemoveAll(d.folder)
}

// idleNodes measures whole nodes with their sample targets and the leader, without traffic.
func idleNodes(ctx context.Context, z Sizes) ([]Slope, error) {
	used := Slope{Name: "node, target and leader, idle", X: "hosts", Y: "% of a core", Method: MethodProcess}
	files := Slope{Name: "open files of all processes", X: "hosts", Y: "files", Method: MethodSize}
	for _, n := range z.Hosts {
		d, err := startDeployment(ctx, n)
		if err != nil {
			return nil, err
		}
		share := idleShare(z.Window)
		open, err := openFiles()
		d.close()
		if err != nil {
			return nil, err
		}
		used.add(n, 100*share)
		files.add(n, float64(open))
	}
	return []Slope{used, files}, nil
}

// idleShare returns the processor time of the process over the window, in cores.
func idleShare(window time.Duration) float64 {
	liveHeap()
	used, start := processTime(), time.Now()
	time.Sleep(window)
	return float64(processTime()-used) / float64(time.Since(start))
}

func openFiles() (int, error) {
	list, err := os.ReadDir("/proc/self/fd")
	return len(list), errors.Trace(err)
}
