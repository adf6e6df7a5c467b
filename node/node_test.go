package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/rpc"
)

// Guards against a node that outlasts the time that it has to leave, and is killed with what it could
// still have finished, because one request hangs.
func TestLeaveEndsWithItsLimit(t *testing.T) {
	is := is.New(t)
	limit, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	began := time.Now()
	awaitEnd(limit, make(chan error))
	took := time.Since(began)
	is.True(took >= 50*time.Millisecond+endGrace && took < 2*endGrace)

	stopped := make(chan error, 1)
	stopped <- nil
	began = time.Now()
	awaitEnd(limit, stopped)
	is.True(time.Since(began) < endGrace)
}

// Guards against a node that stops and closes the connections of hops while it no longer tells what became of their
// attempts: a request that crosses the close is reported as unknown though it has not run.
func TestFatesAreAnsweredUntilTheLastHopHasEnded(t *testing.T) {
	is := is.New(t)
	const anyPort = "127.0.0.1:0"
	n, err := NewWith(config.NodeSettings{
		Name: "n", Zone: "z", CallerListen: anyPort, RPCListen: anyPort, InternalListen: anyPort, AnnounceListen: anyPort,
		ControlMembers: []string{"127.0.0.1:1"},
	}, Profile{RestartsInPlace: true, Notice: 20 * time.Millisecond, LeaveLimit: 2 * time.Second})
	is.NoErr(err)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- n.Serve(ctx) }()

	hop, err := net.Dial("tcp", n.internal.Addr().String())
	is.NoErr(err)
	defer hop.Close()
	_, err = io.WriteString(hop, "GET / HTTP/1.1\r\nHost: n\r\n\r\n")
	is.NoErr(err)
	in := bufio.NewReader(hop)
	resp, err := http.ReadResponse(in, nil)
	is.NoErr(err)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()

	stop()
	_, err = in.ReadByte() // until the node closes the connection
	is.Equal(err, io.EOF)
	var reply api.FateReply
	client := rpc.NewClient(n.fate.Addr().String(), nil)
	defer client.Close()
	is.NoErr(client.Call(t.Context(), "Node.Fate", api.FateRequest{Attempt: "a", Session: "s"}, &reply))
	<-ended
}

// Guards against capacities that are learned although no setting asks for it, and against a setting without effect.
func TestLearnCapacitySetting(t *testing.T) {
	is := is.New(t)
	on, off := true, false
	for _, profile := range []Profile{{}, Profile{}.Pulled()} {
		for _, c := range []struct {
			setting *bool
			want    bool
		}{{nil, false}, {&on, true}, {&off, false}} {
			n := &Node{profile: profile}
			n.settings.Gate.LearnCapacity = c.setting
			is.Equal(n.learnsCapacity(), c.want)
		}
	}
}
