package local

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/internal/ports"
)

const testLimit = 30 * time.Second

// echo is the part of a sample target's answer that the tests look at.
type echo struct {
	Name         string              `json:"name"`
	Zone         string              `json:"zone"`
	Organisation string              `json:"organisation"`
	Headers      map[string][]string `json:"headers"`
	Runs         int                 `json:"runs"`
}

func ask(t *testing.T, method, url, organisationKey, body string) (int, echo) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if organisationKey != "" {
		req.Header.Set("Authorization", "Bearer "+organisationKey)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	var e echo
	if err := json.Unmarshal(text, &e); err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	return resp.StatusCode, e
}

// TestDemo guards the first look that the README promises: every printed request works, keys
// survive a restart with the same data folder, and the end is prompt.
func TestDemo(t *testing.T) {
	folder := t.TempDir()
	for range 2 {
		runDemo(t, folder)
	}
}

func runDemo(t *testing.T, folder string) {
	is := is.New(t)
	listen, err := ports.FreeAddress()
	is.NoErr(err)
	operatorListen, err := ports.FreeAddress()
	is.NoErr(err)
	d, err := New(DemoOptions(folder, listen, operatorListen))
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	serving, stop := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- d.Serve(serving) }()
	is.NoErr(d.SetUpDemo(ctx))
	is.NoErr(d.AwaitReady(ctx))

	base := "http://" + listen
	status, quote := ask(t, "GET", base+"/quotes/tower-7", DemoKey, "")
	is.Equal(status, http.StatusOK)
	is.Equal(quote.Organisation, demoOrganisation)
	is.Equal(len(quote.Headers["Authorization"]), 0) // the organisation key is removed
	status, order := ask(t, "POST", base+"/orders", DemoKey, "{}")
	is.Equal(status, http.StatusOK)
	is.True(order.Runs > 0)
	status, _ = ask(t, "GET", base+"/open/catalogue", "", "")
	is.Equal(status, http.StatusOK)
	status, _ = ask(t, "GET", base+"/quotes/tower-7", "wrong", "")
	is.Equal(status, http.StatusUnauthorized)

	stopped := time.Now()
	stop()
	is.True((<-done) != nil) // the error of the ended context
	took := time.Since(stopped)
	t.Logf("measure: demo_stop=%.2f s", took.Seconds())
	is.True(took < 5*time.Second) // nothing waits for a limit when no request runs
}
