// Package storage keeps a store's state on its one disk: a short shared log that
// one goroutine syncs, and for each group two slots that are written in turn.
package storage

import (
	"io"
	"os"
	"path/filepath"
	"slices"
	"syscall"

	"caperwheel/internal/errs"
)

// FileSystem is the file system below a data folder. Tests put faults in it.
type FileSystem interface {
	Open(name string) (File, error) // made if absent, opened for append and read
	Read(name string) ([]byte, error)
	Write(name string, raw []byte) error // whole, synced before it returns
	Remove(name string) error
	Truncate(name string, size int64) error
	Sync(name string) error // what was read of it lasts from now on
	List() ([]string, error)
	Free() (free, whole uint64, err error)
}

// File is a log segment being written.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Folder is the real thing. Invariant: one process holds the lock.
type Folder struct {
	dir  string
	lock *os.File
}

// OpenFolder makes and locks a data folder.
func OpenFolder(dir string) (*Folder, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errs.Wrap(err, errs.Disk, "make %s", dir)
	}
	lock, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, errs.Wrap(err, errs.Disk, "open lock")
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, errs.Wrap(err, errs.Conflict, "%s is in use by another process", dir)
	}
	return &Folder{dir: dir, lock: lock}, nil
}

// Close gives the lock up.
func (f *Folder) Close() { f.lock.Close() }

// Open opens a segment and makes its name durable.
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
		return errs.Wrap(err, errs.Disk, "open folder")
	}
	defer dir.Close()
	return errs.Wrap(dir.Sync(), errs.Disk, "sync folder")
}

// Read returns a whole file.
func (f *Folder) Read(name string) ([]byte, error) {
	raw, err := os.ReadFile(filepath.Join(f.dir, name))
	if os.IsNotExist(err) {
		return nil, errs.Wrap(err, errs.Unknown, "read %s", name)
	}
	return raw, errs.Wrap(err, errs.Disk, "read %s", name)
}

// Write replaces a file's content in place and syncs it: slots come in pairs,
// so the other one is whole while this one is torn.
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

// Truncate shortens a file.
func (f *Folder) Truncate(name string, size int64) error {
	return errs.Wrap(os.Truncate(filepath.Join(f.dir, name), size), errs.Disk, "cut %s", name)
}

// Sync makes a file as it is durable: a process that died may have left writes
// in it that it never synced.
func (f *Folder) Sync(name string) error {
	file, err := os.OpenFile(filepath.Join(f.dir, name), os.O_RDWR, 0o644)
	if err != nil {
		return errs.Wrap(err, errs.Disk, "open %s", name)
	}
	defer file.Close()
	return errs.Wrap(file.Sync(), errs.Disk, "sync %s", name)
}

// List returns the names in the folder, sorted.
func (f *Folder) List() ([]string, error) {
	dir, err := os.ReadDir(f.dir)
	names := []string{}
	for _, e := range dir {
		names = append(names, e.Name())
	}
	slices.Sort(names)
	return names, errs.Wrap(err, errs.Disk, "list folder")
}

// Free reports how much room the disk has.
func (f *Folder) Free() (uint64, uint64, error) {
	var stat syscall.Statfs_t
	err := syscall.Statfs(f.dir, &stat)
	return stat.Bavail * uint64(stat.Bsize), stat.Blocks * uint64(stat.Bsize), errs.Wrap(err, errs.Disk, "statfs")
}
