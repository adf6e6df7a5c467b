package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queuedLines bounds the log lines that wait to be written; further ones are dropped and counted.
	queuedLines = 4096
	// flushInterval is how long lines are collected, so that a busy process writes ten times a second.
	flushInterval = 100 * time.Millisecond
	// writeBytes bounds one write.
	writeBytes = 64 << 10
	// flushLimit bounds the wait for the last lines when a process ends.
	flushLimit = 300 * time.Millisecond
)

// asyncWriter passes log lines on to a writer that may be slow or blocked for good. Write never
// waits.
type asyncWriter struct {
	lines   chan []byte
	flush   chan chan struct{}
	dropped atomic.Int64
}

func newAsyncWriter(w io.Writer) *asyncWriter {
	a := &asyncWriter{lines: make(chan []byte, queuedLines), flush: make(chan chan struct{}, 1)}
	go a.run(w)
	return a
}

// Write implements io.Writer. A line that finds the queue full is dropped.
func (a *asyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
		CountEvent("log_lines_dropped", 1)
	}
	return len(line), nil
}

func (a *asyncWriter) run(w io.Writer) {
	for {
		select {
		case line := <-a.lines:
			a.collect(w, line)
		case done := <-a.flush:
			a.write(w, nil)
			close(done)
		}
	}
}

// collect waits for more lines and writes them together.
func (a *asyncWriter) collect(w io.Writer, first []byte) {
	timer := time.NewTimer(flushInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		a.write(w, first)
	case done := <-a.flush:
		a.write(w, first)
		close(done)
	}
}

// write writes the lines that are there.
func (a *asyncWriter) write(w io.Writer, buffer []byte) {
	for {
		select {
		case line := <-a.lines:
			buffer = append(buffer, line...)
			if len(buffer) < writeBytes {
				continue
			}
		default:
		}
		break
	}
	if n := a.dropped.Swap(0); n > 0 {
		buffer = fmt.Appendf(buffer, `{"level":"warning","part":"telemetry","msg":"Log lines dropped.","lines":%d}`+"\n", n)
	}
	if len(buffer) == 0 {
		return
	}
	// There is nowhere to report a standard output that cannot be written.
	_, _ = w.Write(buffer)
	if len(a.lines) > 0 {
		a.write(w, nil)
	}
}

// finish waits until the lines so far are written, for flushLimit at most.
func (a *asyncWriter) finish() {
	done := make(chan struct{})
	select {
	case a.flush <- done:
	default:
		return
	}
	select {
	case <-done:
	case <-time.After(flushLimit):
	}
}
