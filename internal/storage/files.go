// Package storage keeps the durable state of a store's replicas on disk. A write-ahead log that all groups share is
// synced by one goroutine (group commit). Each group has two slots, files that alternately receive its whole state; a
// log segment is deleted once the slots of all groups cover it. Package host writes to it, package store opens it.
package storage

import (
	"io"
	"os"
	"path/filepath"
	"slices"
	"syscall"

	"caperwheel/internal/errs"
)

// FileSystem gives access to the files of a data folder. Tests inject faults by it.
type FileSystem interface {
	Open(name string) (File, error) // creates the file if it does not exist; for appending and reading
	Read(name string) ([]byte, error)
	Write(name string, raw []byte) error // replaces the whole content and syncs it
	Remove(name string) error
	Truncate(name string, size int64) error
	Sync(name string) error // makes what was read of the file durable
	List() ([]string, error)
	Free() (free, total uint64, err error)
}

// File is a log segment that is open for writing.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Folder is the FileSystem of a folder on disk. Invariant: only one process at a time holds the lock of a folder.
type Folder struct {
	dir  string
	lock *os.File
}

// OpenFolder creates a data folder if it does not exist, and locks it. It returns an error of the kind Conflict if
// another process holds the lock.
func OpenFolder(dir string) (*Folder, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errs.Wrap(err, errs.Disk, "create data folder %s", dir)
	}
	lock, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, errs.Wrap(err, errs.Disk, "open lock file")
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, errs.Wrap(err, errs.Conflict, "lock data folder %s: it is in use by another process", dir)
	}
	return &Folder{dir: dir, lock: lock}, nil
}

// Close releases the lock.
func (f *Folder) Close() { f.lock.Close() }

// Open opens a log segment, and syncs the folder so that a new file's name is durable.
func (f *Folder) Open(name string) (File, error) {
	file, err := os.OpenFile(filepath.Join(f.dir, name), os.O_CREATE|os.O_APPEND|os.O_RDWR, 0o644)
	if err != nil {
		return nil, errs.Wrap(err, errs.Disk, "open %s", name)
	}
	return file, f.syncDir()
}

func (f *Folder) syncDir() error {
	dir, err := os.Open(f.dir)
	if err != nil {
		return errs.Wrap(err, errs.Disk, "open data folder")
	}
	defer dir.Close()
	return errs.Wrap(dir.Sync(), errs.Disk, "sync data folder")
}

// Read returns the content of a file. It returns an error of the kind Unknown if the file does not exist.
func (f *Folder) Read(name string) ([]byte, error) {
	raw, err := os.ReadFile(filepath.Join(f.dir, name))
	if os.IsNotExist(err) {
		return nil, errs.Wrap(err, errs.Unknown, "read %s", name)
	}
	return raw, errs.Wrap(err, errs.Disk, "read %s", name)
}

// Write replaces the content of a file in place and syncs it. A crash may leave it torn: that is safe, as slots come in
// pairs and the other one is intact meanwhile.
func (f *Folder) Write(name string, raw []byte) error {
	file, err := os.OpenFile(filepath.Join(f.dir, name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o644)
	if err != nil {
		return errs.Wrap(err, errs.Disk, "open %s", name)
	}
	if _, err = file.Write(raw); err == nil {
		err = file.Sync()
	}
	if closing := file.Close(); err == nil {
		err = closing
	}
	if err != nil {
		return errs.Wrap(err, errs.Disk, "write %s", name)
	}
	return f.syncDir()
}

// Remove deletes a file.
func (f *Folder) Remove(name string) error {
	return errs.Wrap(os.Remove(filepath.Join(f.dir, name)), errs.Disk, "remove %s", name)
}

// Truncate cuts a file to a size.
func (f *Folder) Truncate(name string, size int64) error {
	return errs.Wrap(os.Truncate(filepath.Join(f.dir, name), size), errs.Disk, "truncate %s", name)
}

// Sync makes the current content of a file durable: a process that crashed may have left writes in it that were never
// synced.
func (f *Folder) Sync(name string) error {
	file, err := os.OpenFile(filepath.Join(f.dir, name), os.O_RDWR, 0o644)
	if err != nil {
		return errs.Wrap(err, errs.Disk, "open %s", name)
	}
	defer file.Close()
	return errs.Wrap(file.Sync(), errs.Disk, "sync %s", name)
}

// List returns the names of the files in the folder, sorted.
func (f *Folder) List() ([]string, error) {
	dir, err := os.ReadDir(f.dir)
	names := []string{}
	for _, e := range dir {
		names = append(names, e.Name())
	}
	slices.Sort(names)
	return names, errs.Wrap(err, errs.Disk, "list data folder")
}

// Free returns the free and the total bytes of the disk.
func (f *Folder) Free() (uint64, uint64, error) {
	var stat syscall.Statfs_t
	err := syscall.Statfs(f.dir, &stat)
	return stat.Bavail * uint64(stat.Bsize), stat.Blocks * uint64(stat.Bsize), errs.Wrap(err, errs.Disk, "statfs")
}
