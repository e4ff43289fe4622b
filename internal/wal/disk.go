package wal

import (
	"io"
	"os"
	"path/filepath"
	"sort"
	"syscall"
)

// File is a file opened for appending.
type File interface {
	io.Writer
	// Sync returns after all written bytes are on disk.
	Sync() error
	Close() error
}

// Disk is the file operations on one folder. Tests implement it to lose or tear
// writes.
type Disk interface {
	// Path returns a file's full path for messages.
	Path(name string) string
	// Lock excludes other processes until unlock is called. It returns a
	// *LockedError if another process holds the lock.
	Lock() (unlock func() error, err error)
	// List returns the file names in ascending order.
	List() ([]string, error)
	// Create creates an empty file or truncates an existing one.
	Create(name string) (File, error)
	// Append opens an existing file to write at its end.
	Append(name string) (File, error)
	Read(name string) ([]byte, error)
	// ReadAt reads exactly size bytes from an offset.
	ReadAt(name string, offset int64, size int) ([]byte, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncFolder makes creations, renames and removals durable.
	SyncFolder() error
}

// lockName is the name of the file that is locked.
const lockName = "lock"

// Folder is a Disk on the operating system's file system.
type Folder string

// OpenFolder creates the folder if it is missing and syncs its parent.
func OpenFolder(path string) (Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return "", err
	}
	return Folder(path), Folder(filepath.Dir(path)).SyncFolder()
}

// Path returns a file's full path.
func (f Folder) Path(name string) string { return filepath.Join(string(f), name) }

// Lock takes an exclusive advisory lock on the folder without waiting.
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

// List returns the file names in ascending order.
func (f Folder) List() ([]string, error) {
	entries, err := os.ReadDir(string(f))
	names := []string{}
	for _, e := range entries {
		names = append(names, e.Name())
	}
	sort.Strings(names)
	return names, err
}

// Create creates an empty file or truncates an existing one.
func (f Folder) Create(name string) (File, error) {
	return os.OpenFile(f.Path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// Append opens an existing file to write at its end.
func (f Folder) Append(name string) (File, error) {
	return os.OpenFile(f.Path(name), os.O_APPEND|os.O_WRONLY, 0o600)
}

// Read returns a file's content.
func (f Folder) Read(name string) ([]byte, error) { return os.ReadFile(f.Path(name)) }

// ReadAt reads exactly size bytes from an offset.
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

// Rename moves a file, replacing any file at the new name.
func (f Folder) Rename(from, to string) error { return os.Rename(f.Path(from), f.Path(to)) }

// Remove deletes a file.
func (f Folder) Remove(name string) error { return os.Remove(f.Path(name)) }

// SyncFolder makes creations, renames and removals durable.
func (f Folder) SyncFolder() error {
	dir, err := os.Open(string(f))
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}
