package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/cluster"
	"github.com/zinniapier/zinniapier/operator"
)

// configuration returns the configuration as JSON, and its version.
func configuration(t *testing.T, c *cluster.Cluster, members ...*cluster.Control) (string, uint64) {
	t.Helper()
	current, err := c.Operator(members...).Configuration(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(current)
	if err != nil {
		t.Fatal(err)
	}
	return string(text), current.Version
}

func member(t *testing.T, c *cluster.Cluster, name string, asked ...*cluster.Control) (found []api.MemberStatus) {
	t.Helper()
	for _, m := range status(t, c, asked...).Members {
		if m.Name == name {
			found = append(found, m)
		}
	}
	return found
}

// TestControlHostWithEmptyDisk guards against a repaired control host that votes before it has
// the log again, under its old id or as a member that was never promoted: the loss of a second
// host right after the repair must lose no acknowledged change and no assignment.
func TestControlHostWithEmptyDisk(t *testing.T) {
	is := is.New(t)
	c, key := start(t, quotesOnly(3, "a", "b", "c"))
	tr := startTraffic(t, c, key, keys)
	awaitCalm(t, c)
	lead := leader(t, c)
	repaired, second := others(c, lead)[0], others(c, lead)[1]
	old := member(t, c, repaired.Name)
	is.Equal(len(old), 1)

	failed := time.Now()
	repaired.Kill()
	repaired.WipeDisk()
	for i := range 20 {
		changeAt(t, c, lead, api.Change{Kind: api.ZoneOut, Name: fmt.Sprintf("unused-%d", i)})
	}
	repaired.Restart()
	cluster.Eventually(t, readyLimit, func() error {
		now := member(t, c, repaired.Name, lead)
		if len(now) != 1 || now[0].ID == old[0].ID || !now[0].Voter {
			return fmt.Errorf("not yet a voter under a new id: %+v", now)
		}
		return nil
	})
	measure(t, "control_host_repaired", time.Since(failed))
	before, version := configuration(t, c)
	owned := status(t, c).Services

	// Now the repaired member is needed for every quorum.
	lost := time.Now()
	second.Kill()
	after, _ := configuration(t, c, lead, repaired)
	is.Equal(after, before)
	lead.Kill()
	second.Restart()
	next := leader(t, c, repaired, second)
	after, _ = configuration(t, c, next)
	is.Equal(after, before) // no acknowledged change is lost
	is.True(changeAt(t, c, next, api.Change{Kind: api.ZoneOut, Name: "last"}) > version)
	lead.Restart()
	time.Sleep(time.Second)
	list := tr.finish()
	tr.expectUnavailable("second_control_host_lost_unavailable", list, failed, lost, servedAgain)
	for i, s := range status(t, c).Services {
		// No assignment is lost; hot keys may have got partitions of their own, four in one plan.
		is.True(s.Granted >= owned[i].Granted)
		is.True(s.Partitions >= owned[i].Partitions)
	}
}

// TestEqualBaseVersions guards against two operators whose changes are both accepted although
// each did not know of the other, and against a conflict that hides the current version.
func TestEqualBaseVersions(t *testing.T) {
	is := is.New(t)
	c := cluster.New(t, cluster.Options{Control: 3})
	c.Start()
	leader(t, c)
	awaitLeaderKnown(t, c)
	for round := range 10 {
		_, base := configuration(t, c)
		results := make([]*api.ChangeResult, 9)
		var racing sync.WaitGroup
		for i := range results {
			change := api.Change{ID: api.NewID(), BaseVersion: base, Kind: api.ZoneOut, Name: fmt.Sprintf("zone-%d-%d", round, i)}
			racing.Go(func() { results[i] = post(t, c.Control[i%3], change) })
		}
		racing.Wait()
		won := slices.DeleteFunc(slices.Clone(results), func(r *api.ChangeResult) bool { return r.Error != nil })
		is.Equal(len(won), 1) // exactly one of the racing changes is accepted
		_, current := configuration(t, c)
		is.Equal(won[0].Version, current)
		for _, r := range results {
			if r.Error != nil {
				is.Equal(r.Error.Kind, errkind.Conflict)
				is.Equal(r.Version, current) // a conflict names the current version
			}
		}
	}
}

// awaitLeaderKnown waits until every member knows the leader: one that has not heard of it yet refuses
// changes as no-quorum, which is no outcome of a race.
func awaitLeaderKnown(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	for _, m := range c.Control {
		cluster.Eventually(t, readyLimit, func() error {
			resp, err := http.Get("http://" + m.Settings.OperatorListen + "/v1/status?local=1")
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			var s api.Status
			if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
				return err
			}
			if s.Leader == "" {
				return fmt.Errorf("%s knows no leader", m.Name)
			}
			return nil
		})
	}
}

// post sends a change to one member and returns its result.
func post(t *testing.T, m *cluster.Control, change api.Change) *api.ChangeResult {
	body, err := json.Marshal(change)
	if err != nil {
		t.Error(err)
		return nil
	}
	resp, err := http.Post("http://"+m.Settings.OperatorListen+operator.PathChanges, "application/json", bytes.NewReader(body))
	if err != nil {
		t.Error(err)
		return nil
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	result := new(api.ChangeResult)
	if err := json.Unmarshal(text, result); err != nil {
		t.Errorf("%s: %v", text, err)
	}
	return result
}

// TestResentChange guards against a change that is made twice, or refused, because its answer was
// lost and the operator sent it again, to the same leader or to the next one.
func TestResentChange(t *testing.T) {
	is := is.New(t)
	c := cluster.New(t, cluster.Options{Control: 3})
	c.Start()
	lead := leader(t, c)
	_, base := configuration(t, c)
	change := api.Change{ID: api.NewID(), BaseVersion: base, Kind: api.ZoneOut, Name: "a"}
	first := post(t, lead, change)
	is.True(first.Error == nil)
	later := changeAt(t, c, lead, api.Change{Kind: api.ZoneOut, Name: "b"})
	is.True(later > first.Version)

	follower := others(c, lead)[0]
	cluster.Eventually(t, readyLimit, func() error {
		_, err := c.Operator(follower).Status(t.Context()) // it forwards once it has heard from the leader
		return err
	})
	again := post(t, follower, change)
	is.True(again.Error == nil)
	is.Equal(again.Version, first.Version) // the first answer, although the base is old by now
	lead.Kill()
	next := leader(t, c, others(c, lead)...)
	again = post(t, next, change)
	is.True(again.Error == nil)
	is.Equal(again.Version, first.Version) // also from the next leader
	current, err := c.Operator(next).Configuration(t.Context())
	is.NoErr(err)
	is.Equal(current.Version, later) // nothing was made twice
	is.Equal(current.ZonesOut, []string{"a", "b"})

	// An answer that is lost: the operator's connection breaks before it.
	change = api.Change{ID: api.NewID(), BaseVersion: later, Kind: api.ZoneOut, Name: "c"}
	unanswered(t, next, change)
	cluster.Eventually(t, inForce, func() error {
		if _, v := configuration(t, c, next); v == later {
			return fmt.Errorf("the change is not made")
		}
		return nil
	})
	_, made := configuration(t, c, next)
	is.Equal(post(t, next, change), &api.ChangeResult{Version: made})
}

// unanswered sends a change and leaves before the answer.
func unanswered(t *testing.T, m *cluster.Control, change api.Change) {
	t.Helper()
	body, err := json.Marshal(change)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", m.Settings.OperatorListen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: control\r\nContent-Length: %d\r\n\r\n%s", operator.PathChanges, len(body), body)
	if err != nil {
		t.Fatal(err)
	}
	// The member reads the request before it sees the end of the connection.
	time.Sleep(200 * time.Millisecond)
}

// TestRestartOfAllMembers guards against changes and assignments that are lost or revert when all
// control members end at once after hundreds of changes, with snapshots taken in between.
func TestRestartOfAllMembers(t *testing.T) {
	is := is.New(t)
	o := quotesOnly(3, "a", "b", "c")
	o.EditControl = func(_ int, s *config.ControlSettings) { s.SnapshotEntries = 50 }
	c, key := start(t, o)
	for i := range 200 {
		name := fmt.Sprintf("unused-%d", i)
		c.Change(api.Change{Kind: api.ZoneOut, Name: name})
		if i%2 == 0 {
			c.Change(api.Change{Kind: api.ZoneIn, Name: name})
		}
	}
	before, version := configuration(t, c)
	owned := status(t, c).Services
	term := status(t, c).Term
	var all []*cluster.Process
	for _, m := range c.Control {
		all = append(all, &m.Process)
	}
	down := time.Now()
	killAll(all...)
	for _, m := range c.Control {
		m.Restart()
	}
	awaitGranted(t, c, readyLimit)
	measure(t, "all_control_members_restarted", time.Since(down))
	after, _ := configuration(t, c)
	is.Equal(after, before) // nothing is lost and nothing reverts
	now := status(t, c)
	is.True(now.Term > term)
	is.Equal(now.Services, owned) // assignments outlive the members
	cluster.Eventually(t, inForce, func() error {
		current := 0
		for _, n := range status(t, c).Nodes {
			if n.ConfigVersion == version {
				current++
			}
		}
		if current < len(c.Nodes) {
			return fmt.Errorf("version %d is at %d nodes", version, current)
		}
		return nil
	})
	is.Equal(request(t, c.Nodes[0], cluster.Request{Path: "/quotes/a", OrganisationKey: key}).Status, http.StatusOK)
}

// TestChangeIsInForceEverywhere guards against a configuration that reaches some node late: a new
// organisation key must work, and a withdrawn one must stop working, at every node within 4 s.
func TestChangeIsInForceEverywhere(t *testing.T) {
	is := is.New(t)
	c, _ := start(t, quotesOnly(3, "a", "b", "c"))
	var granted, withdrawn time.Duration
	for range 5 {
		secret := api.NewID()
		key := &api.OrganisationKey{ID: api.NewID(), Organisation: organisation, Digest: api.DigestKey(secret)}
		changed := time.Now()
		c.Change(api.Change{Kind: api.GrantKey, Key: key})
		granted = max(granted, inForceAt(t, c, secret, http.StatusOK, changed))
		changed = time.Now()
		c.Change(api.Change{Kind: api.WithdrawKey, Name: key.ID})
		withdrawn = max(withdrawn, inForceAt(t, c, secret, http.StatusUnauthorized, changed))
	}
	measure(t, "granted_key_in_force_everywhere", granted)
	measure(t, "withdrawn_key_in_force_everywhere", withdrawn)
	is.True(granted <= inForce)
	is.True(withdrawn <= inForce)
}

// inForceAt waits until every node answers with a status and returns the time since the change.
func inForceAt(t *testing.T, c *cluster.Cluster, secret string, want int, changed time.Time) time.Duration {
	t.Helper()
	for i, n := range c.Nodes {
		cluster.Eventually(t, inForce, func() error {
			a := request(t, n, cluster.Request{Path: fmt.Sprintf("/quotes/a-%d", i), OrganisationKey: secret})
			if a.Status != want {
				return fmt.Errorf("%s answers %d", n.Name, a.Status)
			}
			return nil
		})
	}
	return time.Since(changed)
}
