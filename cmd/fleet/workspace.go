package main

import (
	"context"
	"os"
	"path/filepath"

	"caperwheel/internal/errs"
	"caperwheel/internal/fleet"
)

// workspace holds the folders of a command: for data and logs, and for the daemons' programs.
type workspace struct {
	Dir string // data and logs; prepare creates a temporary folder if empty
	Bin string // built programs; prepare builds them into Dir/bin if empty
}

// prepare creates the folders that are not set and builds the programs from the sources in root. The caller removes
// Dir, also after an error.
func (w *workspace) prepare(ctx context.Context, root string) error {
	if w.Dir == "" {
		dir, err := os.MkdirTemp("", "fleet-")
		if err != nil {
			return errs.Wrap(err, errs.Internal, "create temporary folder")
		}
		w.Dir = dir
	}
	if w.Bin != "" {
		return nil
	}
	w.Bin = filepath.Join(w.Dir, "bin")
	return fleet.Build(ctx, root, w.Bin, false)
}
