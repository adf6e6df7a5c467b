package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, a line each, with the seconds since the start.
type recorder struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{began: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// seconds returns a time as seconds since the start.
func (r *recorder) seconds(at time.Time) string {
	return fmt.Sprintf("%.3f", at.Sub(r.began).Seconds())
}

// note writes a line: what happened, then names and values.
func (r *recorder) note(what string, fields ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file == nil {
		return
	}
	fmt.Fprintf(r.out, "%9.3f %s", time.Since(r.began).Seconds(), what)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(r.out, " %v=%v", fields[i], fields[i+1])
	}
	fmt.Fprintln(r.out)
}

// conclude writes and prints the result and returns the exit status.
func (r *recorder) conclude(name string, trouble, broke bool, err error) int {
	status, text := held, "the rule held"
	switch {
	case err != nil:
		status, text = cannotRun, "could not run: "+err.Error()
	case broke:
		status, text = broken, "the rule was broken"
	}
	r.note("result", "case", name, "trouble", trouble, "verdict", fmt.Sprintf("%q", text))
	fmt.Printf("%s (trouble: %t): %s\n", name, trouble, text)
	return status
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
	r.file = nil
}
