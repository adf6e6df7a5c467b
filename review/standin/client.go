package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// apiKey is the key of the only tenant.
const apiKey = "3fexd9dnn2ctnfzs989a"

// host is the host of all routes.
const host = "ficu95.example"

var lastRequest atomic.Int64

// request is one client attempt.
type request struct {
	method   string // default GET
	path     string
	shard    int
	deadline time.Duration // default 1.5 s
	body     string
}

// answer is what the client has got; status 0 means that the connection ended without an answer.
type answer struct {
	id     string
	sent   time.Time
	took   time.Duration
	status int
	signed bool
	body   string
	err    error
}

// send sends a request on a connection of its own to a sidecar machine.
func (d *deployment) send(m *machine, q request) (a answer) {
	if q.method == "" {
		q.method = http.MethodGet
	}
	if q.deadline == 0 {
		q.deadline = 1500 * time.Millisecond
	}
	a = answer{id: fmt.Sprintf("%016x", lastRequest.Add(1)), sent: time.Now()}
	defer func() {
		a.took = time.Since(a.sent)
		d.record.add("client", "%s %s %s to %s: status %d after %v, signed %t, error %v", a.id, q.method, q.path, m.name, a.status, a.took.Round(time.Millisecond), a.signed, a.err)
	}()
	d.record.add("client", "%s %s %s sent to %s, key %d", a.id, q.method, q.path, m.name, q.shard)
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline+time.Second)
	defer cancel()
	var body io.Reader
	if q.body != "" {
		body = strings.NewReader(q.body)
	}
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+m.address(portOutbound)+q.path, body)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.GetBody = nil
	req.Header.Set("Request-Id", a.id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	req.Header.Set("Key", apiKey)
	req.Header.Set("Shard-Key", strconv.Itoa(q.shard))
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.body, a.signed = resp.StatusCode, string(data), resp.Header.Get("Response-Signature") != ""
	return a
}

// traffic sends requests at an interval until stop is called, which returns all answers.
func (d *deployment) traffic(interval time.Duration, next func(n int) (*machine, request)) (stop func() []answer) {
	var mu sync.Mutex
	var answers []answer
	var pending sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	pending.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for n := 0; ctx.Err() == nil; n++ {
			m, q := next(n)
			pending.Go(func() {
				a := d.send(m, q)
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			})
			select {
			case <-ctx.Done():
			case <-ticker.C:
			}
		}
	})
	return func() []answer {
		cancel()
		pending.Wait()
		return answers
	}
}

// operatorClient gives up a call after a second without an answer.
var operatorClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// order sends an order of the operator once to a core machine.
func (d *deployment) order(m *machine, method, path, match, body string) int {
	req, err := http.NewRequest(method, "http://"+m.address(portControl)+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0
	}
	if match != "" {
		req.Header.Set("If-Match", match)
		req.Header.Set("Content-Type", "application/json")
	}
	began := time.Now()
	resp, err := operatorClient.Do(req)
	status := 0
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		status = resp.StatusCode
	}
	d.record.add("operator", "%s %s to %s: %d after %v %v", method, path, m.name, status, time.Since(began).Round(time.Millisecond), err)
	return status
}

// orderAny sends an order to the machines in turn until one acknowledges it, for at most the limit.
func (d *deployment) orderAny(limit time.Duration, method, path, match, body string, machines ...*machine) (int, time.Time) {
	end := time.Now().Add(limit)
	pause := 50 * time.Millisecond
	for i := 0; time.Now().Before(end); i++ {
		status := d.order(machines[i%len(machines)], method, path, match, body)
		if status >= 200 && status < 500 && status != 408 && status != 429 {
			return status, time.Now()
		}
		time.Sleep(pause)
		pause = min(2*pause, 400*time.Millisecond)
	}
	return 0, time.Time{}
}

// rule is a route of a configuration.
type rule struct {
	name, prefix, kind, service string
	latency, timeout            string
}

// configuration returns a configuration; sharded services are those of the list.
func configuration(version int, rules []rule, services map[string]bool) string {
	var routes, clusters []string
	for _, r := range rules {
		if r.latency == "" {
			r.latency = "600ms"
		}
		if r.timeout == "" {
			r.timeout = "1500ms"
		}
		routes = append(routes, fmt.Sprintf(`{"Name":%q,"Kind":%q,"TargetLatency":%q,"Priority":1,"AllowAnonymous":false,"Match":{"PathPrefix":%q},"Action":{"Service":%q,"Timeout":%q,"MaxAttempts":2}}`,
			r.name, r.kind, r.latency, r.prefix, r.service, r.timeout))
	}
	for _, name := range sortedNames(services) {
		sharding := ""
		if services[name] {
			sharding = `,"EnableSharding":true,"Warm":"3s","Grants":"heartbeat"`
		}
		clusters = append(clusters, fmt.Sprintf(`{"Name":%q,"HealthPath":"/health","MaxConnections":110,"Protocol":"h1","Tls":false,"Warmup":"3s","ColdPerS":18.0%s}`, name, sharding))
	}
	return fmt.Sprintf(`{"Version":"%08x","Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"},"Tenants":[{"Name":"hule930","ApiKeys":[%q],"Priority":1,"RatePerS":2000,"Burst":2000}],"Listeners":[{"Host":%q,"Rules":[%s]}],"Clusters":[%s]}`,
		version, apiKey, host, strings.Join(routes, ","), strings.Join(clusters, ","))
}
