package integration

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/cluster"
	"github.com/zinniapier/zinniapier/operator"
)

// historySpan is the time of the recorded history; the leader is killed after a third of it.
const historySpan = 3 * time.Second

// operation is what an operator asked: to read the version, or to change what is based on one.
type operation struct {
	read bool
	base uint64
}

// historyOutcome is the answer to an operation.
type historyOutcome struct {
	version  uint64
	conflict bool
}

// versionModel is the configuration version as a register with compare-and-set.
var versionModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		current, op, out := state.(uint64), input.(operation), output.(historyOutcome)
		switch {
		case op.read:
			return out.version == current, current
		case out.conflict:
			return op.base != current, current
		default:
			return op.base == current && out.version > current, out.version
		}
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// history records operations with the times of their call and return.
type history struct {
	start time.Time
	mu    sync.Mutex
	list  []porcupine.Operation
}

func (h *history) record(worker int, op operation, call time.Time, out historyOutcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list = append(h.list, porcupine.Operation{
		ClientId: worker,
		Input:    op,
		Call:     call.Sub(h.start).Nanoseconds(),
		Output:   out,
		Return:   time.Since(h.start).Nanoseconds(),
	})
}

// operate reads the version and changes it, over and over. A change whose outcome is unknown is
// sent again under its id until the outcome is known.
func (h *history) operate(ctx context.Context, client *operator.Client, worker int) {
	for n := 0; ctx.Err() == nil; n++ {
		call := time.Now()
		configuration, err := client.Configuration(ctx)
		if err != nil {
			continue
		}
		h.record(worker, operation{read: true}, call, historyOutcome{version: configuration.Version})
		change := api.Change{
			ID: api.NewID(), BaseVersion: configuration.Version, Kind: api.ZoneOut, Name: fmt.Sprintf("z%d-%d", worker, n),
		}
		call = time.Now()
		version, err := client.Change(context.Background(), change)
		for err != nil && errkind.Of(err) != errkind.Conflict {
			version, err = client.Change(context.Background(), change)
		}
		h.record(worker, operation{base: change.BaseVersion}, call, historyOutcome{version: version, conflict: err != nil})
	}
}

// TestChangesAreLinearizable guards against reads of an old configuration, two winners of one
// base version, and accepted changes that revert, while the control leader is killed.
func TestChangesAreLinearizable(t *testing.T) {
	is := is.New(t)
	c := cluster.New(t, cluster.Options{Control: 3})
	c.Start()
	lead := leader(t, c)
	h := &history{start: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), historySpan)
	defer cancel()
	var workers sync.WaitGroup
	for w := range 4 {
		client := c.Operator()
		workers.Go(func() { h.operate(ctx, client, w) })
	}
	time.Sleep(historySpan / 3)
	lead.Kill()
	workers.Wait()
	accepted := 0
	for _, o := range h.list {
		if !o.Input.(operation).read && !o.Output.(historyOutcome).conflict {
			accepted++
		}
	}
	t.Logf("measure: history_operations=%d operations, accepted=%d changes", len(h.list), accepted)
	is.True(accepted > 10)
	result := porcupine.CheckOperationsTimeout(versionModel, h.list, time.Minute)
	is.Equal(result, porcupine.Ok)
}
