package control

import (
	"context"
	"time"

	"github.com/zinniapier/zinniapier/api"
)

const (
	// ackPollInterval is the time between two checks of whether all nodes have a change.
	ackPollInterval = 20 * time.Millisecond
	// contactTimeout is the time without a heartbeat after which a node counts as out of contact.
	contactTimeout = time.Second
	// rolloutAckWait bounds the wait for the order of a roll-out. The new targets start more than a second after the
	// acknowledgement, which must arrive within a second.
	rolloutAckWait = 400 * time.Millisecond
)

// awaitNodes waits until every node in contact holds at least the configuration version, for at most
// AckWait. An acknowledged change should soon be in force everywhere, but a node on a busy link may
// receive it late.
func (c *Control) awaitNodes(ctx context.Context, kind api.ChangeKind, version uint64) {
	limit := c.o.AckWait
	if kind == api.StartRollout {
		limit = min(limit, rolloutAckWait)
	}
	if limit <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		behind, ran := runOnLoop(ctx, c, func() []string { return c.nodesBehind(version, time.Now()) })
		if !ran || len(behind) == 0 {
			return
		}
		select {
		case <-time.After(ackPollInterval):
		case <-ctx.Done():
			c.log.WithField("version", version).WithField("nodes", behind).Warn("Change acknowledged before all nodes in contact have it.")
			return
		}
	}
}

// nodesBehind is that of the leader; none on a follower. It must run on the control loop.
func (c *Control) nodesBehind(version uint64, now time.Time) []string {
	if c.leader == nil {
		return nil
	}
	return c.leader.nodesBehind(version, now)
}

// nodesBehind returns the names of the nodes in contact that hold an older configuration than version.
func (l *leader) nodesBehind(version uint64, now time.Time) []string {
	var names []string
	for _, s := range l.sessions {
		if !s.lost && now.Sub(l.lastHeartbeat(s)) < contactTimeout && s.last.ConfigVersion < version {
			names = append(names, s.last.Name)
		}
	}
	return names
}

// lastHeartbeat returns the time at which the last heartbeat of the session was received.
func (l *leader) lastHeartbeat(s *session) time.Time {
	return s.deadline.Add(-l.o.Lease - l.o.DriftMargin)
}
