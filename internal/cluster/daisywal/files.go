package daisywal

import (
	"errors"
	"io"
	"os"
)

// fileSystem is what a log uses of the file system.
type fileSystem interface {
	// openFile opens a file for reading.
	openFile(path string) (io.ReadSeekCloser, error)
	// createFile creates a file, which must not exist, and opens it for writing.
	createFile(path string) (file, error)
	// rename renames a file. An existing one of the new name is replaced.
	rename(from, to string) error
	// remove removes a file.
	remove(path string) error
	// syncFolder makes the names in the folder durable.
	syncFolder(folder string) error
}

// file is an open file.
type file interface {
	io.WriteCloser
	Sync() error
}

// osFiles is the file system of the operating system.
type osFiles struct{}

func (osFiles) openFile(path string) (io.ReadSeekCloser, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	return f, nil
}

func (osFiles) createFile(path string) (file, error) {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return nil, err
	}
	return f, nil
}

func (osFiles) rename(from, to string) error { return os.Rename(from, to) }

func (osFiles) remove(path string) error { return os.Remove(path) }

func (osFiles) syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
