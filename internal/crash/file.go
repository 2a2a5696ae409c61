package crash

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"

	"caperwheel/internal/errs"
)

// olderSuffix names the file to which the newest crash output is moved by the next process.
const olderSuffix = ".1"

// Keep has the runtime print to a file as well as to standard error when this process dies, and
// returns how the process before it ended, as the file has it; nil where it ended in order, or
// there was none. What the file held is moved to FILE.1 if it is more than nothing.
//
// The file stands, empty, while the process runs: End takes it away.
func Keep(path string) (*Report, error) {
	before, err := readBefore(path)
	if err != nil {
		return nil, err
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o644)
	if err != nil {
		return before, errs.Wrap(err, errs.Disk, "crash file %s", path)
	}
	defer file.Close()
	return before, errs.Wrap(debug.SetCrashOutput(file, debug.CrashOptions{}), errs.Disk, "crash file %s", path)
}

// End says that this process ends in order.
func End(path string) error {
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return errs.Wrap(err, errs.Disk, "crash file %s", path)
	}
	return nil
}

// readBefore reads what the process before has left, and moves it aside.
func readBefore(path string) (*Report, error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return nil, errs.Wrap(err, errs.Disk, "crash file %s", path)
	}
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errs.Wrap(err, errs.Disk, "crash file %s", path)
	}
	defer file.Close()
	printed, err := io.ReadAll(io.LimitReader(file, mostBytes))
	if err != nil {
		return nil, errs.Wrap(err, errs.Disk, "crash file %s", path)
	}
	report := Parse(printed)
	if len(printed) > 0 {
		err = os.Rename(path, path+olderSuffix)
	}
	return &report, errs.Wrap(err, errs.Disk, "crash file %s", path)
}
