package capacity

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
)

const (
	// settleRounds is the number of heartbeats after which nothing changes any more.
	settleRounds = 3
	// longTick keeps the leader from planning during a measurement.
	longTick = time.Hour
)

// fleet is a set of stand-in nodes.
type fleet []*standIn

func newFleet(address string, nodes, targets, organisations int) (fleet, error) {
	var f fleet
	for i := range nodes {
		s, err := newStandIn(address, i, targets, organisations)
		if err != nil {
			f.close()
			return nil, err
		}
		f = append(f, s)
	}
	return f, nil
}

func (f fleet) close() {
	for _, s := range f {
		_ = s.conn.Close()
	}
}

// settle sends heartbeats until every stand-in knows the current versions.
func (f fleet) settle() error {
	for range settleRounds {
		for _, s := range f {
			if _, err := s.beat(); err != nil {
				return err
			}
		}
	}
	return nil
}

// load is what a replay cost.
type load struct {
	beats          int
	used           time.Duration // processor time of the process
	sent, received int           // bytes
	elapsed        time.Duration
}

// replay sends heartbeats of all stand-ins for the window, spread evenly over the interval.
func (f fleet) replay(window time.Duration) (load, error) {
	return f.replayBeats(max(int(window/api.DefaultHeartbeat), 2), api.DefaultHeartbeat)
}

// replayBeats sends the given number of heartbeats from each stand-in. With an interval of
// 0 each heartbeat follows the reply to the one before.
func (f fleet) replayBeats(beats int, interval time.Duration) (load, error) {
	for _, s := range f {
		if err := s.prepare(beats); err != nil {
			return load{}, err
		}
	}
	liveHeap()
	begin, used := time.Now(), processTime()
	if err := f.run(begin, interval); err != nil {
		return load{}, err
	}
	l := load{beats: beats * len(f), used: processTime() - used, elapsed: time.Since(begin)}
	for _, s := range f {
		l.sent += s.sent
		l.received += s.received
		s.sent, s.received, s.frames = 0, 0, nil
	}
	return l, nil
}

func (f fleet) run(begin time.Time, interval time.Duration) error {
	failures := make(chan error, len(f))
	var wait sync.WaitGroup
	for i, s := range f {
		offset := interval * time.Duration(i) / time.Duration(len(f))
		wait.Go(func() {
			if err := s.replay(begin.Add(offset), interval); err != nil {
				failures <- err
			}
		})
	}
	wait.Wait()
	close(failures)
	return <-failures
}

// transport measures what the same frames cost against a server that answers each with
// the given number of bytes and does nothing else. Both of its sides make one read and one
// write, so half of it is the share of a stand-in.
func (f fleet) transport(ctx context.Context, window time.Duration, reply int) (load, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return load{}, errors.Trace(err)
	}
	defer l.Close()
	go answerFixed(l, make([]byte, max(reply, 1)))
	var mirror fleet
	defer func() { mirror.close() }()
	for _, s := range f {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.Addr().String())
		if err != nil {
			return load{}, errors.Trace(err)
		}
		copied := *s
		copied.conn = conn
		mirror = append(mirror, &copied)
	}
	return mirror.replay(window)
}

func answerFixed(l net.Listener, reply []byte) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			buffer := make([]byte, replyBytes)
			for {
				if _, err := conn.Read(buffer); err != nil {
					return
				}
				if _, err := conn.Write(reply); err != nil {
					return
				}
			}
		}()
	}
}
