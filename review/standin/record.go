package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// leadsText is what a core machine logs when it becomes the leader.
const leadsText = "Leadership gained."

// record is the file of what was sent, answered and run.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// add writes a line with the seconds since the start.
func (r *record) add(who, format string, args ...any) {
	r.addAt(time.Now(), who, format, args...)
}

func (r *record) addAt(at time.Time, who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.3f  %-12s %s\n", at.Sub(r.began).Seconds(), who, fmt.Sprintf(format, args...))
}

// seconds returns a time as it stands in the record.
func (r *record) seconds(at time.Time) string {
	return fmt.Sprintf("%.3f s", at.Sub(r.began).Seconds())
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
