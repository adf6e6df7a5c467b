package ctl

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/operator"
)

// standIn answers the operator API at configuration version 5 and refuses other base versions.
type standIn struct {
	mu     sync.Mutex
	change api.Change
	member api.MemberChange
}

const standInVersion = 5

func (s *standIn) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r.URL.Path {
	case operator.PathStatus:
		_ = json.NewEncoder(w).Encode(api.Status{Member: "control-a", Leader: "control-a",
			Rollouts: []api.RolloutStatus{{Rollout: api.Rollout{Service: "quotes", Version: "v2", Phase: api.RolloutRolledBack,
				DurationMs: 12000, Reason: "failures on all routes"}}},
			Members: []api.MemberStatus{{Name: "control-a", ID: 11}},
			Nodes:   []api.NodeStatus{{Name: "host-a1", Targets: []api.TargetReport{{ID: "t1", State: api.TargetServing, Cold: true}}}}})
	case operator.PathConfiguration:
		_ = json.NewEncoder(w).Encode(api.Configuration{Version: standInVersion,
			Organisations: []api.Organisation{{ID: "lw", Rate: 10, Burst: 20}},
			Keys:          []api.OrganisationKey{{ID: "k1", Organisation: "lw", Digest: "d1d2"}}})
	case operator.PathMembers:
		_ = json.NewDecoder(r.Body).Decode(&s.member)
	case operator.PathChanges:
		_ = json.NewDecoder(r.Body).Decode(&s.change)
		if s.change.BaseVersion != standInVersion {
			errkind.WriteHTTP(w, errkind.New(errkind.Conflict, "current version is %d", standInVersion))
			return
		}
		_ = json.NewEncoder(w).Encode(api.ChangeResult{Version: standInVersion + 1})
	}
}

func start(t *testing.T) (*standIn, string) {
	s := &standIn{}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, "--control=" + strings.TrimPrefix(server.URL, "http://")
}

func run(args ...string) (code int, stdout, stderr string) {
	var out, err bytes.Buffer
	code = Run(args, &out, &err)
	return code, out.String(), err.String()
}

// TestChanges guards against a command that submits another change than its name says, or one
// that is not based on the version just read.
func TestChanges(t *testing.T) {
	for line, want := range map[string]api.Change{
		"availability-zone out a": {Kind: api.ZoneOut, Name: "a"},
		"availability-zone in a":  {Kind: api.ZoneIn, Name: "a"},
		"target out t1":           {Kind: api.TargetOut, Name: "t1"},
		"target in t1":            {Kind: api.TargetIn, Name: "t1"},
		"organisation remove lw":  {Kind: api.RemoveOrganisation, Name: "lw"},
		"key withdraw k1":         {Kind: api.WithdrawKey, Name: "k1"},
		"rollout start quotes v2 --duration=12s": {Kind: api.StartRollout,
			Rollout: &api.RolloutOrder{Service: "quotes", Version: "v2", DurationMs: 12000}},
		"organisation add lw --rate=5 --weight=2": {Kind: api.PutOrganisation,
			Organisation: &api.Organisation{ID: "lw", Rate: 5, Burst: 5, Weight: 2}},
	} {
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			s, control := start(t)
			code, out, _ := run(append([]string{control}, strings.Fields(line)...)...)
			is.Equal(code, ExitOK)
			is.Equal(out, "accepted: configuration version 6\n")
			is.True(s.change.ID != "")
			want.ID, want.BaseVersion = s.change.ID, standInVersion
			is.Equal(s.change, want)
		})
	}
}

// TestApplySendsTheCheckedFile guards against sending a file that failed its check, or one without defaults.
func TestApplySendsTheCheckedFile(t *testing.T) {
	is := is.New(t)
	s, control := start(t)
	code, _, _ := run(control, "apply", "../examples/services.json")
	is.Equal(code, ExitOK)
	is.Equal(s.change.Services.Find("orders").DeadlineMs, 10000)
	s, control = start(t)
	code, _, stderr := run(control, "apply", "../examples/node.json")
	is.Equal(code, ExitRefused)
	is.True(strings.Contains(stderr, "node.json: line 2, column 3: name: unknown field"))
	is.Equal(s.change.Kind, api.ChangeKind(""))
}

// TestKeyLeavesOnlyItsDigest guards against sending the organisation key itself, and against a
// printed key that does not match the digest.
func TestKeyLeavesOnlyItsDigest(t *testing.T) {
	is := is.New(t)
	s, control := start(t)
	code, out, _ := run(control, "--json", "key", "grant", "lw")
	is.Equal(code, ExitOK)
	var printed struct {
		KeyID string `json:"key_id"`
		Key   string `json:"organisation_key"`
	}
	is.NoErr(json.Unmarshal([]byte(out), &printed))
	is.Equal(len(printed.Key), 64)
	is.Equal(*s.change.Key, api.OrganisationKey{ID: printed.KeyID, Organisation: "lw", Digest: api.DigestKey(printed.Key)})
	is.Equal(strings.Count(out, printed.Key), 1)
	_, second, _ := run(control, "--json", "key", "grant", "lw")
	is.True(!strings.Contains(second, printed.Key))
}

// TestExitCodes guards against scripts that cannot tell a refusal, a wrong command line and a missing answer apart.
func TestExitCodes(t *testing.T) {
	_, control := start(t)
	for line, want := range map[string]int{
		control + " status":                                             ExitOK,
		"check ../examples/services.json":                               ExitOK,
		"check --kind=node ../examples/node.json":                       ExitOK,
		"check --kind=target ../examples/node.json":                     ExitRefused,
		control + " --base-version=4 availability-zone out a":           ExitRefused,
		control + " --base-version=0 availability-zone out a":           ExitRefused,
		control + " organisation add lw --rate=-1":                      ExitRefused,
		control + " organisation show nobody":                           ExitRefused,
		control + " key grant lw --id=-":                                ExitRefused,
		control + " rollout start quotes v2 --duration=-1s":             ExitRefused,
		control + " rollout status quotes":                              ExitOK,
		control + " rollout status nobody":                              ExitRefused,
		control + " rollout start quotes v2":                            ExitUsage,
		"":                                                              ExitUsage,
		"unknown":                                                       ExitUsage,
		"check":                                                         ExitUsage,
		"check --kind=other f":                                          ExitUsage,
		control + " organisation add lw":                                ExitUsage,
		"--control=here status":                                         ExitUsage,
		"--control=127.0.0.1:1 --timeout=200ms status":                  ExitNoAnswer,
		"--control=127.0.0.1:1 --timeout=200ms availability-zone out a": ExitNoAnswer,
	} {
		t.Run(line, func(t *testing.T) {
			code, _, stderr := run(strings.Fields(line)...)
			if code != want {
				t.Errorf("exit code %d, want %d: %s", code, want, stderr)
			}
		})
	}
}

// TestEveryCommandHasHelp guards against a command that an operator cannot find out about.
func TestEveryCommandHasHelp(t *testing.T) {
	for _, command := range []string{"", "check", "apply", "status", "availability-zone", "availability-zone out",
		"availability-zone in", "target out", "target in", "organisation add", "organisation show",
		"organisation remove", "rollout start", "rollout status", "key grant", "key withdraw", "member list", "member add", "member remove"} {
		is := is.New(t)
		code, out, _ := run(append(strings.Fields(command), "--help")...)
		is.Equal(code, ExitOK)
		is.True(strings.Contains(out, "usage: zinniactl "+command))
	}
}

// TestViews guards against output without the ids that other commands need, and against printed digests.
func TestViews(t *testing.T) {
	is := is.New(t)
	s, control := start(t)
	_, out, _ := run(control, "status")
	is.True(strings.Contains(out, "t1") && strings.Contains(out, "serving, cold"))
	_, out, _ = run(control, "member", "list")
	is.True(strings.Contains(out, "11"))
	_, out, _ = run(control, "organisation", "show")
	is.True(strings.Contains(out, "k1") && !strings.Contains(out, "d1d2"))
	_, out, _ = run(control, "--json", "organisation", "show", "lw")
	is.True(json.Valid([]byte(out)) && !strings.Contains(out, "d1d2"))
	_, out, _ = run(control, "rollout", "status")
	is.True(strings.Contains(out, "rolled_back") && strings.Contains(out, "failures on all routes"))
	code, _, _ := run(control, "member", "add", "control-b", "127.0.0.1:9")
	is.Equal(code, ExitOK)
	is.Equal(s.member, api.MemberChange{Action: api.AddMember, Name: "control-b", Address: "127.0.0.1:9"})
	_, _, stderr := run(control, "--json", "--base-version=4", "target", "out", "t1")
	is.True(strings.HasPrefix(stderr, `{"error":"conflict"`))
}
