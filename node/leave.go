package node

import (
	"context"
	"time"

	"github.com/zinniapier/zinniapier/daemon"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/wait"
	"github.com/zinniapier/zinniapier/telemetry"
)

const (
	// defaultLeaveLimit bounds a graceful leave: the drain limit of a move plus time for the
	// control leader to place the partitions elsewhere.
	defaultLeaveLimit = 12 * time.Second
	// leavePoll is the interval at which a leaving node looks whether it still owns anything.
	leavePoll = 10 * time.Millisecond
	// fateLinger is how long queries for the fate of attempts are answered after the last hop.
	fateLinger = 100 * time.Millisecond
	// endGrace is how long services that were told to stop may take when the leave limit has passed: the
	// process is killed soon after it.
	endGrace = 200 * time.Millisecond
)

// leave hands the node's partitions over while callers are still served, then answers the
// last callers, then ends the session.
func (n *Node) leave(limit context.Context, front group) {
	if n.profile.RestartsInPlace {
		n.stopInPlace(limit, front)
		return
	}
	left := make(chan error, 1)
	go func() { left <- n.session.Leave(limit) }()
	n.awaitHandover(limit)
	n.endRequests(limit, front)
	n.callersDone.Store(true)
	if err := <-left; err != nil {
		telemetry.Logger("node").WithError(err).Warning("The session ends with its lease.")
	}
}

// stopInPlace answers the last callers and keeps the grants: the target goes on, and the node
// takes them up again when it is back.
func (n *Node) stopInPlace(limit context.Context, front group) {
	wait.For(limit, n.profile.Notice)
	n.endRequests(limit, front)
}

// endRequests accepts no more callers, and waits for the requests of those that remain and of other nodes.
func (n *Node) endRequests(limit context.Context, front group) {
	n.hopService.Drain()
	front.end(limit)
	if err := n.gateway.Shutdown(limit); err != nil {
		telemetry.Logger("node").WithError(err).Warning("Some requests were still running.")
	}
}

// giveUp ends the requests that still run at the leave limit: their callers are told before the process ends.
func (n *Node) giveUp() {
	telemetry.Logger("node").WithField("requests", n.gateway.Running()).Info("Giving up the requests that still run at the leave limit.")
	cause := errkind.New(errkind.ShuttingDown, "node is shutting down")
	n.callerService.GiveUp(cause)
	n.hopService.GiveUp(cause)
}

// awaitEnd waits until services have stopped, or until the leave limit and endGrace have passed.
func awaitEnd(limit context.Context, stopped <-chan error) {
	deadline, _ := limit.Deadline()
	ended := time.NewTimer(time.Until(deadline.Add(endGrace)))
	defer ended.Stop()
	select {
	case <-stopped:
	case <-ended.C:
		telemetry.Logger("node").Warning("Some services were still running at the end of the leave limit.")
	}
}

// awaitHandover waits until no local target holds a grant or runs a request.
func (n *Node) awaitHandover(ctx context.Context) {
	for n.holdsWork() && wait.For(ctx, leavePoll) {
	}
}

// holdsWork reports whether a local target holds a grant or runs a request, or the map assigns
// a partition to this session while it has a lease.
func (n *Node) holdsWork() bool {
	v := n.session.View()
	return !n.registry.Idle() || v.LeaseValid(time.Now()) && v.OwnsAny()
}

// group is a set of services that stop together.
type group struct {
	stop context.CancelFunc
	done <-chan error
}

func startGroup(ctx context.Context, name string, services ...daemon.NamedService) group {
	supervisor := daemon.NewSupervisor(name)
	for _, s := range services {
		supervisor.Add(s)
	}
	ctx, stop := context.WithCancel(ctx)
	return group{stop: stop, done: supervisor.ServeBackground(ctx)}
}

// end stops the services and waits for them as awaitEnd does.
func (g group) end(limit context.Context) {
	g.stop()
	awaitEnd(limit, g.done)
}
