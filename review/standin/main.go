// Command standin plays the users of a small deployment around the project's own programs: platform, operator,
// clients and endpoints. Each case shows one order of events and judges it by a rule of the users.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

// Results of a case.
const (
	held0 = iota
	broken
	cannotRun
)

// caseLimit bounds a case.
const caseLimit = 110 * time.Second

// testCase is one case. trouble says whether the disruption is played.
type testCase func(r *record, trouble bool) (result int, summary string)

var cases = map[string]testCase{}

func main() {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder of record.txt")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "cases:", sortedNames(cases))
		os.Exit(cannotRun)
	}
	r, err := newRecord(filepath.Join(*dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	go func() {
		// The processes of the system end with this one.
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-signals:
		case <-time.After(caseLimit):
		}
		r.add("result", "could not run: ended early")
		r.close()
		os.Exit(cannotRun)
	}()
	result, summary := play(r, os.Getenv("TROUBLE") != "0")
	text := []string{"the rule held", "the rule was broken", "the case could not run"}[result]
	r.add("result", "%s: %s", text, summary)
	r.close()
	fmt.Printf("%s: %s\n", text, summary)
	os.Exit(result)
}

func sortedNames[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }

// deployed starts a deployment with the endpoints of its services and the first configuration, and waits until
// ready says that it serves.
func deployed(r *record, services []string, sharded map[string]bool, rules []rule) (*deployment, []*endpoint, *runs, error) {
	d, err := newDeployment(r, services...)
	if err != nil {
		return nil, nil, nil, err
	}
	if err := d.startAll(); err != nil {
		return d, nil, nil, err
	}
	all := new(runs)
	var endpoints []*endpoint
	for _, m := range d.nodes {
		e := newEndpoint(m, all, sharded[m.service])
		if err := e.start(); err != nil {
			return d, endpoints, all, err
		}
		endpoints = append(endpoints, e)
	}
	status, _ := d.orderAny(25*time.Second, "PUT", "/-/configuration", "00000000", configuration(5, rules, sharded), d.cores...)
	if status != 200 {
		return d, endpoints, all, fmt.Errorf("the first configuration got status %d", status)
	}
	return d, endpoints, all, nil
}

// awaitServed waits until each sidecar machine serves each request.
func (d *deployment) awaitServed(requests ...request) error {
	for _, m := range d.nodes {
		for _, q := range requests {
			if !eventually(20*time.Second, func() bool { return d.send(m, q).status == 200 }) {
				return fmt.Errorf("%s does not serve %s", m.name, q.path)
			}
		}
	}
	return nil
}

// end ends the endpoints and the deployment.
func end(d *deployment, endpoints []*endpoint) {
	for _, e := range endpoints {
		e.exit()
	}
	if d != nil {
		d.stop()
	}
}
