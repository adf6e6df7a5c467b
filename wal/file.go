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

// WriteFileAtomic replaces a file durably: temporary file, sync, rename, sync of the directory.
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

// erasedName marks a directory that is being emptied, so that an interruption cannot leave a
// part that looks like damage.
const erasedName = "erased"

// Erase empties the directory of a closed log durably.
func Erase(dir string) error {
	if err := WriteFileAtomic(filepath.Join(dir, erasedName), nil); err != nil {
		return errors.Trace(err)
	}
	return FinishErase(dir)
}

// FinishErase completes an Erase that was interrupted. It does nothing when there was none.
func FinishErase(dir string) error {
	mark := filepath.Join(dir, erasedName)
	if _, err := os.Stat(mark); os.IsNotExist(err) {
		return nil
	} else if err != nil {
		return errors.Trace(err)
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		return errors.Trace(err)
	}
	for _, entry := range entries {
		if entry.Name() == erasedName || entry.Name() == lockName {
			continue
		}
		if err := os.Remove(filepath.Join(dir, entry.Name())); err != nil {
			return errors.Trace(err)
		}
	}
	if err := syncDir(dir); err != nil {
		return err
	}
	if err := os.Remove(mark); err != nil {
		return errors.Trace(err)
	}
	return syncDir(dir)
}
