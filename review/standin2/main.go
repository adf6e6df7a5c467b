// Command standin2 plays the cases of the second review: it starts the project's programs as separate processes on
// loopback, with stand-ins of endpoints, clients, the operator and the platform that follow the users' pages, and
// judges what these have seen.
//
// Usage: standin2 CASE RECORD. TROUBLE=0 in the environment leaves the disruption out. The exit status is 0 if the rule
// held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// caseLimit bounds a whole case.
const caseLimit = 110 * time.Second

// cases holds what each case plays. The result says whether the rule was broken, and how.
var cases = map[string]func(*world, bool) (broke bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(cannotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// play runs one case and returns the exit status. All processes have ended when it returns.
func play(name, record string, trouble bool) int {
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer rec.close()
	w, err := newWorld(rec)
	if err != nil {
		rec.note("cannot run", "error", err.Error())
		return cannotRun
	}
	defer w.close()
	type outcome struct {
		broke bool
		err   error
	}
	done := make(chan outcome, 1)
	go func() {
		broke, err := cases[name](w, trouble)
		done <- outcome{broke, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	select {
	case o := <-done:
		return rec.conclude(name, trouble, o.broke, o.err)
	case s := <-interrupted:
		return rec.conclude(name, trouble, false, fmt.Errorf("interrupted by %v", s))
	case <-time.After(caseLimit):
		return rec.conclude(name, trouble, false, fmt.Errorf("not finished after %v", caseLimit))
	}
}
