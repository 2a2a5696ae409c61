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

// previousSuffix is appended to the name of the file that holds the newest crash output of an earlier
// process.
const previousSuffix = ".1"

// RecordTo makes the runtime print to a file as well as to standard error when this process dies. It
// returns how the previous process ended, according to the file; nil if it exited cleanly or there was
// none. The file's content, if any, is moved to FILE.1.
//
// The file exists, empty, while the process runs: MarkCleanExit removes it.
func RecordTo(path string) (*Report, error) {
	previous, err := readPrevious(path)
	if err != nil {
		return nil, err
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o644)
	if err != nil {
		return previous, errs.Wrap(err, errs.Disk, "record crashes to file %s", path)
	}
	defer file.Close()
	return previous, errs.Wrap(debug.SetCrashOutput(file, debug.CrashOptions{}), errs.Disk, "record crashes to file %s", path)
}

// MarkCleanExit records that this process exits cleanly, by removing the file.
func MarkCleanExit(path string) error {
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return errs.Wrap(err, errs.Disk, "record crashes to file %s", path)
	}
	return nil
}

// readPrevious reads what the previous process has left, and moves it to FILE.1.
func readPrevious(path string) (*Report, error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return nil, errs.Wrap(err, errs.Disk, "record crashes to file %s", path)
	}
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errs.Wrap(err, errs.Disk, "record crashes to file %s", path)
	}
	defer file.Close()
	output, err := io.ReadAll(io.LimitReader(file, maxOutputBytes))
	if err != nil {
		return nil, errs.Wrap(err, errs.Disk, "record crashes to file %s", path)
	}
	report := Parse(output)
	if len(output) > 0 {
		err = os.Rename(path, path+previousSuffix)
	}
	return &report, errs.Wrap(err, errs.Disk, "record crashes to file %s", path)
}
