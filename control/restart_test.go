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

// restartWorld is a series of leaders over one log, and nodes whose processes are replaced.
type restartWorld struct {
	t       *testing.T
	o       Options
	machine *state.Machine
	index   uint64
	term    uint64
	now     time.Time
	*leader
}

func newRestartWorld(t *testing.T) *restartWorld {
	t.Helper()
	w := &restartWorld{t: t, machine: state.New(), now: time.Now()}
	w.o = Options{Log: newFakeLog(), Machine: w.machine, Lease: 5 * time.Second, DriftMargin: 250 * time.Millisecond}
	if err := w.o.setDefaults(); err != nil {
		t.Fatal(err)
	}
	w.lead()
	return w
}

// lead puts a new leader in place of the last one.
func (w *restartWorld) lead() {
	w.term++
	w.leader = newLeader(&w.o, logrus.NewEntry(logrus.New()), w.term, w.now)
	w.ready = true
}

// beat sends a heartbeat of each node's process of the generation, and commits what the leader plans.
func (w *restartWorld) beat(generation, nodes int) (issuing bool) {
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
	data, err := state.EncodeBatch(w.tick(w.now))
	if err != nil {
		w.t.Fatal(err)
	}
	w.index++
	w.machine.Apply(w.index, data)
	return issuing
}

// Guards against organisations within their rates that are refused for a whole lease after all processes
// were restarted: the leader waits for reports of sessions whose processes have ended.
func TestRestartOfAllProcessesIssuesTokensSoon(t *testing.T) {
	is := is.New(t)
	w := newRestartWorld(t)
	for !w.beat(1, 3) {
		is.True(w.now.Before(time.Now().Add(time.Minute)))
	}
	w.now = w.now.Add(time.Second)
	w.lead()
	began := w.now
	for !w.beat(2, 3) {
		is.True(w.now.Sub(began) < time.Second) // a key is served again within 1 s of a loss
	}
}
