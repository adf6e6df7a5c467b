package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/state"
)

// restartCluster is a sequence of leaders over one log, with nodes whose processes are replaced.
type restartCluster struct {
	t       *testing.T
	o       Options
	machine *state.Machine
	index   uint64
	term    uint64
	now     time.Time
	*leader
}

func newRestartCluster(t *testing.T) *restartCluster {
	t.Helper()
	w := &restartCluster{t: t, machine: state.New(), now: time.Now()}
	w.o = Options{Log: newFakeLog(), Machine: w.machine, Lease: 5 * time.Second, DriftMargin: 250 * time.Millisecond}
	if err := w.o.setDefaults(); err != nil {
		t.Fatal(err)
	}
	w.newTerm()
	return w
}

// newTerm replaces the leader by a new one with empty volatile state.
func (w *restartCluster) newTerm() {
	w.term++
	w.leader = newLeader(&w.o, logrus.NewEntry(logrus.New()), w.term, w.now)
	w.ready = true
}

// sendHeartbeats sends a heartbeat from each node process of the generation and commits the leader's batch.
// It reports whether the leader issues tokens to all of them.
func (w *restartCluster) sendHeartbeats(generation, nodes int) (issuing bool) {
	w.t.Helper()
	w.now = w.now.Add(100 * time.Millisecond)
	issuing = true
	for i := range nodes {
		req := &api.HeartbeatRequest{
			Session: api.SessionID(fmt.Sprintf("g%d-n%d", generation, i)), Sequence: uint64(w.now.UnixNano()), Term: w.term,
			Name: fmt.Sprint("node-", i), InternalAddr: fmt.Sprintf("10.0.0.%d:8081", i), TokensFull: true,
		}
		reply, _, err := w.heartbeat(req, w.now, w.now)
		issuing = issuing && err == nil && reply.Issues
	}
	w.commit(w.tick(w.now))
	return issuing
}

// commit applies a batch of the leader.
func (w *restartCluster) commit(batch *state.Batch) {
	w.t.Helper()
	data, err := state.EncodeBatch(batch)
	if err != nil {
		w.t.Fatal(err)
	}
	w.index++
	w.machine.Apply(w.index, data)
}

// Guards against refusing organisations within their rates for a whole lease after a restart of all
// processes: the leader waits for reports of sessions whose processes have ended.
func TestRestartOfAllProcessesIssuesTokensSoon(t *testing.T) {
	is := is.New(t)
	w := newRestartCluster(t)
	for !w.sendHeartbeats(1, 3) {
		is.True(w.now.Before(time.Now().Add(time.Minute)))
	}
	w.now = w.now.Add(time.Second)
	w.newTerm()
	began := w.now
	for !w.sendHeartbeats(2, 3) {
		is.True(w.now.Sub(began) < time.Second) // a key must be served again within 1 s of a loss
	}
}
