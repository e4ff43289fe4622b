package wal

import "fmt"

// CorruptError reports damage to a file that a crash cannot have caused.
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

// ForeignFolderError reports that a data folder belongs to another daemon or group,
// or holds other files.
type ForeignFolderError struct {
	File   string
	Reason string
}

// Error names the remedy.
func (e *ForeignFolderError) Error() string {
	return fmt.Sprintf("%s: %s; point data_folder at this daemon's own folder, or at an empty one", e.File, e.Reason)
}

// LockedError reports that another process uses the data folder.
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

// DiskError reports that a write or sync failed. The log accepts no further
// writes and must be opened again.
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
