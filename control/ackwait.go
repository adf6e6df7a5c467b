package control

import (
	"context"
	"time"
)

const (
	// ackPollInterval is the time between two checks of whether all nodes have a change.
	ackPollInterval = 20 * time.Millisecond
	// contactTimeout is the time without a heartbeat after which a node counts as out of contact.
	contactTimeout = time.Second
)

// awaitNodes waits until every node in contact holds at least the configuration version, for at most
// AckWait. An acknowledged change should soon be in force everywhere, but a node on a busy link may
// receive it late.
func (c *Control) awaitNodes(ctx context.Context, version uint64) {
	if c.o.AckWait <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.o.AckWait)
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

// nodesBehind returns the names of the nodes in contact that hold an older configuration than version;
// none on a follower. It must run on the control loop.
func (c *Control) nodesBehind(version uint64, now time.Time) []string {
	if c.leader == nil {
		return nil
	}
	var names []string
	for _, s := range c.leader.sessions {
		if !s.lost && now.Sub(c.leader.lastHeartbeat(s)) < contactTimeout && s.last.ConfigVersion < version {
			names = append(names, s.last.Name)
		}
	}
	return names
}

// lastHeartbeat returns the time at which the last heartbeat of the session was received.
func (l *leader) lastHeartbeat(s *session) time.Time {
	return s.deadline.Add(-l.o.Lease - l.o.DriftMargin)
}
