package wal

import "fmt"

// CorruptError says that a file holds something that a crash can't explain.
type CorruptError struct {
	File string
	// Offset is in bytes from the file's start.
	Offset int64
	Reason string
}

// Error names the remedy.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s at offset %d: %s; move the folder away and start the daemon again: it rejoins from the other replicas; a single replica needs a backup, see docs/operations/replicas.md", e.File, e.Offset, e.Reason)
}

// ForeignError says that a data folder belongs to something else.
type ForeignError struct {
	File   string
	Reason string
}

// Error names the remedy.
func (e *ForeignError) Error() string {
	return fmt.Sprintf("%s: %s; point data_folder at this daemon's own folder, or at an empty one", e.File, e.Reason)
}

// LockedError says that another process uses the data folder.
type LockedError struct {
	File  string
	Cause error
}

// Error names the remedy.
func (e *LockedError) Error() string {
	return fmt.Sprintf("%s is locked by another process (%v); stop that daemon first, or give this one its own data_folder", e.File, e.Cause)
}

// Unwrap returns the cause.
func (e *LockedError) Unwrap() error { return e.Cause }

// DiskError says that a write or sync failed. Nothing after it was
// acknowledged; the log must be opened anew.
type DiskError struct {
	File  string
	Cause error
}

// Error names the remedy.
func (e *DiskError) Error() string {
	return fmt.Sprintf("%s could not be written: %v; free space or replace the disk, the replica then goes on by itself", e.File, e.Cause)
}

// Unwrap returns the cause.
func (e *DiskError) Unwrap() error { return e.Cause }
