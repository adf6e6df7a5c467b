package control

import (
	"context"
	"time"
)

const (
	// ackPoll is the interval at which it is looked whether all nodes have a change.
	ackPoll = 20 * time.Millisecond
	// ackHeard is the silence from which a node is not waited for: it is out of contact.
	ackHeard = time.Second
)

// awaitNodes waits until every node in contact holds at least the configuration version, for AckWait at
// most: a change that is acknowledged must be in force everywhere soon, and a node on a busy link may get
// it late.
func (c *Control) awaitNodes(ctx context.Context, version uint64) {
	if c.o.AckWait <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.o.AckWait)
	defer cancel()
	for {
		behind, ran := onLoop(ctx, c, func() []string { return c.nodesBehind(version, time.Now()) })
		if !ran || len(behind) == 0 {
			return
		}
		select {
		case <-time.After(ackPoll):
		case <-ctx.Done():
			c.log.WithField("version", version).WithField("nodes", behind).Warn("Change acknowledged before all nodes have it.")
			return
		}
	}
}

// nodesBehind returns the names of the nodes in contact that hold an older configuration; none on a
// member that does not lead. It runs on the loop.
func (c *Control) nodesBehind(version uint64, now time.Time) []string {
	if c.leader == nil {
		return nil
	}
	var names []string
	for _, s := range c.leader.sessions {
		if !s.lost && now.Sub(c.leader.heardAt(s)) < ackHeard && s.last.ConfigVersion < version {
			names = append(names, s.last.Name)
		}
	}
	return names
}

// heardAt is the time of the session's last heartbeat.
func (l *leader) heardAt(s *session) time.Time { return s.deadline.Add(-l.o.Lease - l.o.DriftMargin) }
