package wal

import (
	"os"
	"path/filepath"

	"github.com/juju/errors"
)

const (
	dirMode       = 0o750
	fileMode      = 0o640
	tempExtension = ".tmp"
)

// WriteFileAtomic replaces a file atomically and durably: it writes and syncs a temporary file,
// renames it and syncs the directory.
func WriteFileAtomic(path string, data []byte) error {
	temp := path + tempExtension
	f, err := os.OpenFile(temp, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return errors.Trace(err)
	}
	if err := writeAndSync(f, data); err != nil {
		_ = f.Close()
		return errors.Annotatef(err, "write %s", temp)
	}
	if err := f.Close(); err != nil {
		return errors.Trace(err)
	}
	if err := os.Rename(temp, path); err != nil {
		return errors.Trace(err)
	}
	return syncDir(filepath.Dir(path))
}

func writeAndSync(f *os.File, data []byte) error {
	if _, err := f.Write(data); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(f.Sync())
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return errors.Trace(err)
	}
	defer d.Close()
	return errors.Annotatef(d.Sync(), "sync %s", dir)
}

// eraseMarkerName is the file that marks a directory being emptied. Without it, an interrupted
// Erase would leave some of the files, which would look like corruption.
const eraseMarkerName = "erased"

// Erase durably removes all files of a closed log except its lock file.
func Erase(dir string) error {
	if err := WriteFileAtomic(filepath.Join(dir, eraseMarkerName), nil); err != nil {
		return errors.Trace(err)
	}
	return FinishErase(dir)
}

// FinishErase completes an Erase that was interrupted. It does nothing if there is none.
func FinishErase(dir string) error {
	marker := filepath.Join(dir, eraseMarkerName)
	if _, err := os.Stat(marker); os.IsNotExist(err) {
		return nil
	} else if err != nil {
		return errors.Trace(err)
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		return errors.Trace(err)
	}
	for _, entry := range entries {
		if entry.Name() == eraseMarkerName || entry.Name() == lockName {
			continue
		}
		if err := os.Remove(filepath.Join(dir, entry.Name())); err != nil {
			return errors.Trace(err)
		}
	}
	if err := syncDir(dir); err != nil {
		return err
	}
	if err := os.Remove(marker); err != nil {
		return errors.Trace(err)
	}
	return syncDir(dir)
}
