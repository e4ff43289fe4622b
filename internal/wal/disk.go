package wal

import (
	"io"
	"os"
	"path/filepath"
	"sort"
	"syscall"
)

// File is a file open for appending.
type File interface {
	io.Writer
	// Sync returns once all written bytes are on the disk.
	Sync() error
	Close() error
}

// Disk is one folder. It is small so that a test can lose or tear writes.
type Disk interface {
	// Path gives a file's name for messages.
	Path(name string) string
	// Lock keeps other processes out until unlock is called.
	Lock() (unlock func() error, err error)
	// List returns the sorted names.
	List() ([]string, error)
	// Create makes an empty file, or empties one.
	Create(name string) (File, error)
	// Append opens a file to write at its end.
	Append(name string) (File, error)
	Read(name string) ([]byte, error)
	// ReadAt reads exactly size bytes from an offset.
	ReadAt(name string, offset int64, size int) ([]byte, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncFolder makes creations, renames and removals durable.
	SyncFolder() error
}

// lockName is the file that carries the lock.
const lockName = "lock"

// Folder is a Disk of the operating system.
type Folder string

// OpenFolder makes the folder where it is missing.
func OpenFolder(path string) (Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return "", err
	}
	return Folder(path), Folder(filepath.Dir(path)).SyncFolder()
}

// Path gives a file's name.
func (f Folder) Path(name string) string { return filepath.Join(string(f), name) }

// Lock takes the folder's lock.
func (f Folder) Lock() (func() error, error) {
	file, err := os.OpenFile(f.Path(lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, &LockedError{File: f.Path(lockName), Cause: err}
	}
	return file.Close, nil
}

// List returns the sorted names.
func (f Folder) List() ([]string, error) {
	entries, err := os.ReadDir(string(f))
	names := []string{}
	for _, e := range entries {
		names = append(names, e.Name())
	}
	sort.Strings(names)
	return names, err
}

// Create makes an empty file.
func (f Folder) Create(name string) (File, error) {
	return os.OpenFile(f.Path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// Append opens a file to write at its end.
func (f Folder) Append(name string) (File, error) {
	return os.OpenFile(f.Path(name), os.O_APPEND|os.O_WRONLY, 0o600)
}

// Read returns a file's content.
func (f Folder) Read(name string) ([]byte, error) { return os.ReadFile(f.Path(name)) }

// ReadAt reads a part of a file.
func (f Folder) ReadAt(name string, offset int64, size int) ([]byte, error) {
	file, err := os.Open(f.Path(name))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	out := make([]byte, size)
	_, err = io.ReadFull(io.NewSectionReader(file, offset, int64(size)), out)
	return out, err
}

// Rename replaces a file by another.
func (f Folder) Rename(from, to string) error { return os.Rename(f.Path(from), f.Path(to)) }

// Remove deletes a file.
func (f Folder) Remove(name string) error { return os.Remove(f.Path(name)) }

// SyncFolder makes changes of names durable.
func (f Folder) SyncFolder() error {
	dir, err := os.Open(string(f))
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}
