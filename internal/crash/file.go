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

// previousSuffix names the file to which the newest crash output is moved by the next process.
const previousSuffix = ".1"

// RecordTo has the runtime print to a file as well as to standard error when this process dies, and
// returns how the process before it ended, as the file has it; nil where it ended in order, or
// there was none. What the file held is moved to FILE.1 if it is more than nothing.
//
// The file stands, empty, while the process runs: End takes it away.
func RecordTo(path string) (*Report, error) {
	previous, err := readPrevious(path)
	if err != nil {
		return nil, err
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o644)
	if err != nil {
		return previous, errs.Wrap(err, errs.Disk, "crash file %s", path)
	}
	defer file.Close()
	return previous, errs.Wrap(debug.SetCrashOutput(file, debug.CrashOptions{}), errs.Disk, "crash file %s", path)
}

// MarkCleanExit says that this process ends in order.
func MarkCleanExit(path string) error {
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return errs.Wrap(err, errs.Disk, "crash file %s", path)
	}
	return nil
}

// readPrevious reads what the process before has left, and moves it aside.
func readPrevious(path string) (*Report, error) {
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
	output, err := io.ReadAll(io.LimitReader(file, maxOutputBytes))
	if err != nil {
		return nil, errs.Wrap(err, errs.Disk, "crash file %s", path)
	}
	report := Parse(output)
	if len(output) > 0 {
		err = os.Rename(path, path+previousSuffix)
	}
	return &report, errs.Wrap(err, errs.Disk, "crash file %s", path)
}
