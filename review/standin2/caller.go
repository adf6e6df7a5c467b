package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Routes of the configuration.
const (
	host        = "shop.example"
	pathLookup  = "/lookup/"  // idempotent, to the service that is divided by key
	pathPayment = "/payment/" // non_idempotent, to the same
	pathAssign  = "/assign/"  // non_idempotent, to the other service
	apiKey      = "3fexd9dnn2ctnfzs989a"
)

// rule returns a route of the configuration.
func rule(name, kind, prefix, service, timeout string) string {
	return fmt.Sprintf(`{"Name":"%s","Kind":"%s","TargetLatency":"400ms","Priority":1,"AllowAnonymous":false,"Match":{"PathPrefix":"%s"},`+
		`"Action":{"Service":"%s","Timeout":"%s","MaxAttempts":2}}`, name, kind, prefix, service, timeout)
}

// configuration returns the configuration of a version, with further routes.
func configuration(version int, routes ...string) string {
	routes = append([]string{
		rule("r-lookup", "idempotent", pathLookup, keyed, "1200ms"),
		rule("r-payment", "non_idempotent", pathPayment, keyed, "3000ms"),
		rule("r-assign", "non_idempotent", pathAssign, unkeyed, "1500ms"),
	}, routes...)
	cluster := func(name, more string) string {
		return fmt.Sprintf(`{"Name":"%s","HealthPath":"/health","MaxConnections":110,"Protocol":"h1","Tls":false,"Warmup":"3s","ColdPerS":29.0%s}`, name, more)
	}
	return fmt.Sprintf(`{"Version":"%08x","Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"},`+
		`"Tenants":[{"Name":"hule930","ApiKeys":["%s"],"Priority":1,"RatePerS":2000,"Burst":2000}],`+
		`"Listeners":[{"Host":"%s","Rules":[%s]}],"Clusters":[%s,%s]}`, version, apiKey, host, strings.Join(routes, ","),
		cluster(keyed, `,"EnableSharding":true,"Warm":"5s","Grants":"heartbeat"`), cluster(unkeyed, ""))
}

// answer is what a client got.
type answer struct {
	id     string
	node   *machine // that took the request
	status int      // 0 if the connection ended without a complete answer
	header http.Header
	body   string
	err    error
	sent   time.Time
}

// attempt sends a request over a connection of its own and records the answer.
func (w *world) attempt(m *machine, method, path string, key int, body string, deadline time.Duration) answer {
	a := answer{node: m, id: fmt.Sprintf("%016x", uint64(0x9c41d07b00000000)+uint64(w.ids.Add(1))), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+m.address(outboundPort)+path, strings.NewReader(body))
	req.Host = host
	req.Header.Set("Request-Id", a.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Key", apiKey)
	req.Header.Set("Accept-Encoding", "identity")
	if key >= 0 {
		req.Header.Set("Shard-Key", fmt.Sprint(key))
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	w.rec.note("client sends", "request", a.id, "method", method, "path", path, "key", key, "node", m.name)
	resp, err := client.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			a.status, a.header, a.body = resp.StatusCode, resp.Header, string(data)
		}
	}
	a.err = err
	signed := a.header.Get("Response-Signature")
	w.rec.note("client gets", "request", a.id, "status", a.status, "signature", fmt.Sprintf("%q", signed), "body", fmt.Sprintf("%.80q", a.body), "error", err)
	return a
}

// operator sends orders as the pages say: to one core machine, and after a second without an answer to the next.
type operator struct{ w *world }

// orderTimeout is how long the operator waits for one machine.
const orderTimeout = time.Second

// send sends an order to the machines in turn, from the first given, until one acknowledges or refuses it.
func (o operator) send(method, path string, header map[string]string, body string, machines []*machine) (int, error) {
	began := time.Now()
	for i := 0; time.Since(began) < 20*time.Second; i++ {
		m := machines[i%len(machines)]
		status := o.once(m, method, path, header, body)
		switch {
		case status/100 == 2, status == 400, status == 409, status == 412, status == 413, status == 422:
			return status, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 0, fmt.Errorf("no answer to %s %s", method, path)
}

// once sends an order to one machine and returns the status, 0 without an answer.
func (o operator) once(m *machine, method, path string, header map[string]string, body string) int {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+m.address(controlPort)+path, bytes.NewReader([]byte(body)))
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	o.w.rec.note("operator sends", "order", method+" "+path, "to", m.name)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	status := 0
	resp, err := client.Do(req)
	if err == nil {
		status = resp.StatusCode
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	o.w.rec.note("operator gets", "order", method+" "+path, "from", m.name, "status", status, "error", err)
	return status
}

// configure sends the first configuration and waits until every endpoint serves.
func (w *world) configure() error {
	o := operator{w}
	status, err := o.send(http.MethodPut, "/-/configuration", map[string]string{"If-Match": "00000000"}, configuration(1), w.cores)
	if err != nil || status != http.StatusOK {
		return fmt.Errorf("first configuration: status %d, %v", status, err)
	}
	for _, m := range w.sides {
		for key := 2000; key < 65536; key += 8000 {
			err := w.eventually(fmt.Sprintf("key %d is served through %s", key, m.name), 20*time.Second, func() bool {
				return w.attempt(m, http.MethodGet, pathLookup+"x", key, "", time.Second).status == http.StatusOK
			})
			if err != nil {
				return err
			}
		}
		err := w.eventually("the other service is served through "+m.name, 20*time.Second, func() bool {
			return w.attempt(m, http.MethodPost, pathAssign+"x", -1, "one", time.Second).status == http.StatusOK
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// up starts the deployment and lets it settle.
func (w *world) up() error {
	if err := w.start(); err != nil {
		return err
	}
	if err := w.configure(); err != nil {
		return err
	}
	time.Sleep(stabilityWindow + time.Second)
	return nil
}

// pollReadiness asks each node once a second whether it is ready.
func (w *world) pollReadiness() {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, m := range w.sides {
		go func() {
			for {
				resp, err := client.Get("http://" + m.address(readyPort) + "/-/readiness")
				if err == nil {
					_ = resp.Body.Close()
				}
				if err == nil && resp.StatusCode == http.StatusOK {
					m.misses.Store(0)
				} else {
					m.misses.Add(1)
				}
				select {
				case <-w.stop:
					return
				case <-time.After(time.Second):
				}
			}
		}()
	}
}

// in reports whether clients send new work to the node.
func (m *machine) in() bool { return m.misses.Load() < 2 }

// leader returns the core machine that has logged last that it leads; nil if none has.
func (w *world) leader() *machine {
	var found *machine
	var last time.Time
	for _, m := range w.cores {
		for line := range strings.Lines(m.logText()) {
			var entry struct {
				Msg  string    `json:"msg"`
				Time time.Time `json:"time"`
			}
			if json.Unmarshal([]byte(line), &entry) == nil && entry.Msg == "Leadership gained." && entry.Time.After(last) {
				found, last = m, entry.Time
			}
		}
	}
	return found
}

// load sends requests from all nodes that are in until stop is closed, and returns what their clients got.
func (w *world) load(perSecond int, stop <-chan struct{}, send func(m *machine, n int) answer) []answer {
	var wait sync.WaitGroup
	var mu sync.Mutex
	var list []answer
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			wait.Wait()
			return list
		case <-ticker.C:
		}
		m := w.sides[n%len(w.sides)]
		if !m.in() {
			continue
		}
		wait.Go(func() {
			a := send(m, n)
			mu.Lock()
			defer mu.Unlock()
			list = append(list, a)
		})
	}
}
