package wal

import (
	"io"
	"os"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// fullDiskRetry is the time between two writes to a full disk.
const fullDiskRetry = 100 * time.Millisecond

// Interrupt ends the wait for space on a full disk; the write then fails. It is safe to call from
// another goroutine.
func (l *Log) Interrupt() { l.interruptOnce.Do(func() { close(l.interrupt) }) }

// retryWhileFull repeats f while the disk is full, and returns its last error.
func (l *Log) retryWhileFull(f func() error) error {
	err := f()
	for errors.Is(err, syscall.ENOSPC) && l.awaitSpace() {
		err = f()
	}
	return err
}

// awaitSpace waits before the next write to a full disk. It returns false if the log was interrupted.
func (l *Log) awaitSpace() bool {
	select {
	case <-time.After(fullDiskRetry):
		return true
	case <-l.interrupt:
		return false
	}
}

// rewind cuts off what was written after the last complete record.
func (l *Log) rewind() error {
	if err := l.file.Truncate(l.size); err != nil {
		return errors.Trace(err)
	}
	_, err := l.file.Seek(l.size, io.SeekStart)
	return errors.Trace(err)
}

func createSegment(path string) (*os.File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_RDWR, fileMode)
}
