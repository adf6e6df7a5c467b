package control

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/rpc"
)

func newOperatorServer(t *testing.T, log *fakeLog, addresses map[string]string) *httptest.Server {
	c, err := New(Options{Name: "test", Log: log, Machine: log.machine, OperatorAddresses: addresses})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = c.Serve(ctx) }()
	s := httptest.NewServer(c.OperatorHandler())
	t.Cleanup(s.Close)
	return s
}

func callOperator(t *testing.T, method, url, body string) (int, string, string) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header.Get(errkind.HeaderKind), string(data)
}

// Guards against malformed operator requests that are accepted, and against errors without a kind.
func TestOperatorRefusals(t *testing.T) {
	log := newFakeLog()
	log.lead(true)
	s := newOperatorServer(t, log, nil)
	for _, c := range []struct {
		method, path, body string
		kind               errkind.Kind
	}{
		{"POST", PathChanges, `{"id":"1","kind":"zone-out","name":"a","surprise":1}`, errkind.BadRequest},
		{"POST", PathChanges, `{"id":"1"} {}`, errkind.BadRequest},
		{"POST", PathChanges, strings.Repeat(" ", MaxBody+1), errkind.TooLarge},
		{"DELETE", PathChanges, "", errkind.BadRequest},
		{"POST", PathStatus, "", errkind.BadRequest},
		{"GET", "/v1/other", "", errkind.NotFound},
		{"POST", PathChanges, `{"id":"2","kind":"unknown"}`, errkind.Invalid},
		{"POST", PathChanges, `{"id":"3","base_version":9,"kind":"zone-out","name":"a"}`, errkind.Conflict},
		{"POST", PathChanges, `{"id":"4","kind":"apply-services","services":{"services":[{"name":"s","routes":[],"placement":"no"}]}}`, errkind.Invalid},
		{"POST", PathMembers, `{"action":"add"}`, errkind.Invalid},
	} {
		is := is.New(t)
		status, kind, _ := callOperator(t, c.method, s.URL+c.path, c.body)
		is.Equal(kind, string(c.kind))
		is.Equal(status, c.kind.Answer().Status)
	}
}

// Guards against a follower that handles a request itself, and against forwarding loops.
func TestForwardOnce(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	log.lead(true)
	leader := newOperatorServer(t, log, nil)
	address := strings.TrimPrefix(leader.URL, "http://")
	follower := newOperatorServer(t, newFakeLog(), map[string]string{"m1": address})
	status, _, body := callOperator(t, "POST", follower.URL+PathChanges, `{"id":"1","kind":"zone-out","name":"a"}`)
	is.Equal(status, http.StatusOK)
	var result api.ChangeResult
	is.NoErr(json.Unmarshal([]byte(body), &result))
	is.Equal(result.Version, log.machine.View().Configuration.Version)

	second := newOperatorServer(t, newFakeLog(), map[string]string{"m1": strings.TrimPrefix(follower.URL, "http://")})
	_, kind, _ := callOperator(t, "GET", second.URL+PathConfiguration, "")
	is.Equal(kind, string(errkind.NotLeader))

	leader.Close()
	_, kind, _ = callOperator(t, "POST", follower.URL+PathChanges, `{"id":"2","kind":"zone-out","name":"a"}`)
	is.Equal(kind, string(errkind.Unknown))
	status, _, _ = callOperator(t, "GET", follower.URL+PathStatus, "")
	is.Equal(status, http.StatusOK) // a member returns its own status when the leader cannot be reached
}

// Guards against a heartbeat that a follower accepts, and against an error that loses its kind or the
// leader's address over RPC.
func TestHeartbeatOverRPC(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	c, err := New(Options{Log: log, Machine: log.machine})
	is.NoErr(err)
	server := rpc.NewServer(nil)
	is.NoErr(c.RegisterRPC(server))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(t.Context(), listener) }()
	go func() { _ = c.Serve(t.Context()) }()
	client := rpc.NewClient(listener.Addr().String(), nil)
	defer client.Close()
	sendHeartbeat := func(sequence uint64) (api.HeartbeatReply, error) {
		var reply api.HeartbeatReply
		err := client.Call(t.Context(), "Control.Heartbeat", api.HeartbeatRequest{Session: "s", Sequence: sequence}, &reply)
		return reply, err
	}
	_, err = sendHeartbeat(1)
	is.Equal(errkind.From(err), errkind.New(errkind.NotLeader, "127.0.0.1:7001"))
	log.lead(true)
	time.Sleep(200 * time.Millisecond) // the first batch of the term
	reply, err := sendHeartbeat(2)
	is.NoErr(err)
	is.Equal(reply.Term, uint64(1))
	is.Equal(reply.Lease, api.DefaultLease)
	is.Equal(reply.Members, []string{"127.0.0.1:7001"})
	_, err = sendHeartbeat(2)
	is.Equal(errkind.Of(err), errkind.BadRequest) // a duplicate must not renew the lease
}
