package capacity

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"net"
	netrpc "net/rpc"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
)

const (
	heartbeatMethod = "Control.Heartbeat"
	// replyBytes is the buffer for the replies in a replay, which hold no map and no peers.
	replyBytes = 64 << 10
	ioLimit    = 5 * time.Second
)

// refusal is an error that the leader answered.
type refusal string

func (r refusal) Error() string { return string(r) }

// standIn is a node that speaks the heartbeat protocol of net/rpc. During a measurement it
// replays frames encoded before, so that its side costs little more than two system calls.
type standIn struct {
	conn   net.Conn
	buffer *bytes.Buffer
	enc    *gob.Encoder
	dec    *gob.Decoder
	call   uint64
	req    api.HeartbeatRequest
	frames [][]byte
	// sent and received count the bytes of the replay.
	sent, received int
}

func newStandIn(address string, index, targets, organisations int) (*standIn, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	s := &standIn{conn: conn, buffer: new(bytes.Buffer), dec: gob.NewDecoder(conn)}
	s.enc = gob.NewEncoder(s.buffer)
	host := fmt.Sprintf("10.0.%d.%d", index>>8, index&255)
	s.req = api.HeartbeatRequest{
		Session:      api.SessionID(api.NewID()),
		Name:         fmt.Sprintf("node-%05d", index),
		Zone:         zone(index),
		InternalAddr: host + ":8081",
		FateAddr:     host + ":8082",
		CallerAddr:   host + ":8080",
		Tokens:       make(map[api.OrganisationID]api.TokenReport),
		TokensFull:   true, // as if every account had changed since the last heartbeat
	}
	for range targets {
		s.req.Targets = append(s.req.Targets, api.TargetReport{
			ID: api.TargetID(api.NewID()), Service: serviceName, Zone: s.req.Zone, Slots: slots,
			State: api.TargetServing, Load: 0.5,
		})
	}
	for i := range organisations {
		s.req.Tokens[organisationID(i)] = api.TokenReport{Demand: 10}
	}
	return s, nil
}

// encode returns the bytes of the next heartbeat.
func (s *standIn) encode() ([]byte, error) {
	s.call++
	s.req.Sequence++
	s.buffer.Reset()
	if err := s.enc.Encode(&netrpc.Request{ServiceMethod: heartbeatMethod, Seq: s.call}); err != nil {
		return nil, errors.Trace(err)
	}
	if err := s.enc.Encode(&s.req); err != nil {
		return nil, errors.Trace(err)
	}
	return bytes.Clone(s.buffer.Bytes()), nil
}

// beat sends one heartbeat and takes the versions of the reply over.
func (s *standIn) beat() (*api.HeartbeatReply, error) {
	frame, err := s.encode()
	if err != nil {
		return nil, err
	}
	if err := s.conn.SetDeadline(time.Now().Add(ioLimit)); err != nil {
		return nil, errors.Trace(err)
	}
	if _, err := s.conn.Write(frame); err != nil {
		return nil, errors.Trace(err)
	}
	var header netrpc.Response
	if err := s.dec.Decode(&header); err != nil {
		return nil, errors.Trace(err)
	}
	reply := new(api.HeartbeatReply)
	if header.Error != "" {
		// net/rpc sends an empty struct in place of the reply.
		if err := s.dec.Decode(&struct{}{}); err != nil {
			return nil, errors.Trace(err)
		}
		return nil, refusal(header.Error)
	}
	if err := s.dec.Decode(reply); err != nil {
		return nil, errors.Trace(err)
	}
	s.req.ConfigVersion, s.req.MapVersion = reply.ConfigVersion, reply.MapVersion
	s.req.PeersVersion = reply.PeersVersion
	return reply, nil
}

// prepare encodes the heartbeats of a replay.
func (s *standIn) prepare(n int) error {
	s.frames = nil
	for range n {
		frame, err := s.encode()
		if err != nil {
			return err
		}
		s.frames = append(s.frames, frame)
	}
	return nil
}

// replay sends the prepared heartbeats at the interval, the first one at start, and waits
// for the reply to each.
func (s *standIn) replay(start time.Time, interval time.Duration) error {
	reply := make([]byte, replyBytes)
	if err := s.conn.SetDeadline(start.Add(time.Duration(len(s.frames))*interval + ioLimit)); err != nil {
		return errors.Trace(err)
	}
	for i, frame := range s.frames {
		time.Sleep(time.Until(start.Add(time.Duration(i) * interval)))
		if _, err := s.conn.Write(frame); err != nil {
			return errors.Trace(err)
		}
		// net/rpc flushes header and reply together; both fit into one read.
		n, err := s.conn.Read(reply)
		if err != nil {
			return errors.Trace(err)
		}
		s.sent += len(frame)
		s.received += n
	}
	return nil
}
