package local

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/member"
)

// runningMembers holds the functions that end the control members, by name.
type runningMembers struct {
	mu    sync.Mutex
	stops map[string]func()
}

func (r *runningMembers) start(ctx context.Context, names []string, members []*member.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stops = make(map[string]func())
	for i, m := range members {
		r.stops[names[i]] = serveAll(ctx, "member", []*member.Member{m})
	}
}

// stop ends a member and waits for its end. It returns false for one that does not run.
func (r *runningMembers) stop(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	stop, found := r.stops[name]
	if found {
		stop()
		delete(r.stops, name)
	}
	return found
}

func (r *runningMembers) stopAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, stop := range r.stops {
		stop()
		delete(r.stops, name)
	}
}

// StopLeader ends the leading control member for good. A member that has just lost sight of
// the leader names none, so the status is read until one is named or ctx ends.
func (d *Deployment) StopLeader(ctx context.Context) error {
	for {
		status, err := d.operator.Status(ctx)
		if err == nil && status.Leader != "" && d.running.stop(status.Leader) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "no leading control member to stop")
		case <-time.After(readyPoll):
		}
	}
}
