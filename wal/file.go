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

// WriteFile replaces a file durably: temporary file, sync, rename, sync of the directory.
func WriteFile(path string, data []byte) error {
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
