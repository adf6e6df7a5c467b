package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/ports"
)

// member is a stand-in for a control member; answers are used in order, the last one repeatedly.
type member struct {
	mu      sync.Mutex
	changes []api.Change
	answers []http.HandlerFunc
	address string
}

func startMember(t *testing.T, answers ...http.HandlerFunc) *member {
	m := &member{answers: answers}
	s := httptest.NewServer(m)
	t.Cleanup(s.Close)
	m.address = strings.TrimPrefix(s.URL, "http://")
	return m
}

func (m *member) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	var change api.Change
	_ = json.NewDecoder(r.Body).Decode(&change)
	m.changes = append(m.changes, change)
	answer := m.answers[min(len(m.changes), len(m.answers))-1]
	m.mu.Unlock()
	answer(w, r)
}

func (m *member) received() []api.Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.changes)
}

func refuse(kind errkind.Kind) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { errkind.WriteHTTP(w, errkind.New(kind, "test")) }
}

func accept(version uint64) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(api.ChangeResult{Version: version})
	}
}

func silent(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func hangUp(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func freeAddress(t *testing.T) string {
	address, err := ports.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func newClient(t *testing.T, addresses ...string) *Client {
	c, err := New(Options{Addresses: addresses, Timeout: time.Second, AttemptTimeout: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestNextMemberIsTried guards against an operator who is stopped by one dead, silent or
// undecided member, and against a resend under another change id.
func TestNextMemberIsTried(t *testing.T) {
	for name, first := range map[string]http.HandlerFunc{
		"silent": silent, "hang up": hangUp,
		"follower": refuse(errkind.NotLeader), "election": refuse(errkind.NoQuorum),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, b := startMember(t, first), startMember(t, accept(7))
			version, err := newClient(t, freeAddress(t), a.address, b.address).
				Change(context.Background(), api.Change{Kind: api.ZoneOut, Name: "a"})
			is.NoErr(err)
			is.Equal(version, uint64(7))
			is.True(b.received()[0].ID != "")
			is.Equal(a.received()[0].ID, b.received()[0].ID)
		})
	}
}

// TestRefusalIsFinal guards against asking another member for a better answer.
func TestRefusalIsFinal(t *testing.T) {
	is := is.New(t)
	a, b := startMember(t, refuse(errkind.Conflict)), startMember(t, accept(7))
	_, err := newClient(t, a.address, b.address).Change(context.Background(), api.Change{})
	is.Equal(errkind.Of(err), errkind.Conflict)
	is.Equal(len(b.received()), 0)
}

// TestConflictInResult guards against reading a refused change as accepted.
func TestConflictInResult(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusConflict} {
		is := is.New(t)
		a := startMember(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_ = json.NewEncoder(w).Encode(api.ChangeResult{Version: 9, Error: errkind.New(errkind.Conflict, "")})
		})
		_, err := newClient(t, a.address).Change(context.Background(), api.Change{})
		is.Equal(errkind.Of(err), errkind.Conflict)
	}
}

// TestMemberChangeIsNotRepeated guards against adding a member twice after a lost answer.
func TestMemberChangeIsNotRepeated(t *testing.T) {
	is := is.New(t)
	a, b := startMember(t, hangUp), startMember(t, accept(7))
	err := newClient(t, a.address, b.address).ChangeMembers(context.Background(), api.MemberChange{Action: api.AddMember})
	is.Equal(errkind.Of(err), errkind.Unknown)
	is.Equal(len(a.received())+len(b.received()), 1)
}

// TestUnknownOutcomeIsKept guards against reporting "not run" although an earlier attempt may have run.
func TestUnknownOutcomeIsKept(t *testing.T) {
	is := is.New(t)
	a := startMember(t, hangUp, refuse(errkind.NotLeader))
	_, err := newClient(t, a.address).Change(context.Background(), api.Change{})
	is.Equal(errkind.Of(err), errkind.Unknown)
}

// TestNoMemberAnswers guards against a call without an end, and against an untyped error.
func TestNoMemberAnswers(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	_, err := newClient(t, freeAddress(t)).Status(context.Background())
	is.Equal(errkind.Of(err), errkind.NodeUnreachable)
	_, err = newClient(t, startMember(t, silent).address).Configuration(context.Background())
	is.Equal(errkind.Of(err), errkind.Unknown)
	is.True(time.Since(start) < 4*time.Second)
	_, err = New(Options{Addresses: []string{"here"}})
	is.Equal(errkind.Of(err), errkind.Invalid)
}
