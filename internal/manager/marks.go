package manager

import (
	"context"

	"caperwheel/internal/charter"
	"caperwheel/internal/feed"
	"caperwheel/internal/mishap"
	"caperwheel/internal/wire"
)

// Empty asks that a cell, or only its workers, get nothing new. Asking again
// soon is asking once; a whole cell stays emptied when only its workers are asked
// for. Where workers were asked for before, not just now, both stand, and each is
// to be taken back.
func (o *Operators) Empty(ctx context.Context, by, cell string, isOnlyWorkers bool) (int64, error) {
	if err := checkSubject(cell); err != nil {
		return 0, err
	}
	if !isOnlyWorkers {
		if !o.m.isKnown("cell", cell) {
			return 0, o.m.unknown("cell", cell)
		}
		return o.mark(ctx, by, charter.CellKey+cell, charter.Mark{}, -1)
	}
	// Any name will do: workers that are not listed yet may come.
	standing, err := o.m.pull(ctx, feed.CharterPart, charter.CellKey+cell)
	if mishap.Is(err, mishap.Unknown) {
		standing, err = wire.Change{}, nil
	}
	if err != nil {
		return 0, err
	}
	mark := charter.ReadMark(standing.Value)
	switch {
	case standing.Stamp == 0 || mark.Only == charter.OnlyCold:
	case mark.Only != charter.OnlyWorkers, !mark.IsBack && o.m.ages.isYoung(standing, o.m.d.Now()):
		return standing.Stamp, nil
	default:
		return o.mark(ctx, by, charter.CellKey+cell, charter.Mark{Only: charter.OnlyWorkers, Others: mark.Others + 1}, standing.Stamp)
	}
	return o.mark(ctx, by, charter.CellKey+cell, charter.Mark{Only: charter.OnlyWorkers}, standing.Stamp)
}

// Restore takes an emptying back. Where a source tells of the workers they
// count as cold at first, since the source runs behind: the mark says so until
// the list controller takes it away.
func (o *Operators) Restore(ctx context.Context, by, cell string) (int64, error) {
	if err := checkSubject(cell); err != nil {
		return 0, err
	}
	if o.m.source == nil {
		return o.unmark(ctx, by, charter.CellKey+cell)
	}
	standing, err := o.m.pull(ctx, feed.CharterPart, charter.CellKey+cell)
	switch {
	case mishap.Is(err, mishap.Unknown):
		return 0, nil
	case err != nil:
		return 0, err
	}
	switch mark := charter.ReadMark(standing.Value); {
	case mark.Only == charter.OnlyCold, mark.IsBack && o.m.ages.isYoung(standing, o.m.d.Now()):
		return standing.Stamp, nil
	case mark.Others > 0:
		return o.mark(ctx, by, charter.CellKey+cell, charter.Mark{Only: charter.OnlyWorkers, Others: mark.Others - 1, IsBack: true}, standing.Stamp)
	}
	return o.mark(ctx, by, charter.CellKey+cell, charter.Mark{Only: charter.OnlyCold}, standing.Stamp)
}

func (o *Operators) mark(ctx context.Context, by, key string, mark charter.Mark, ifStamp int64) (int64, error) {
	return o.m.edit(ctx, wire.Edit{Part: feed.CharterPart, Key: key, Value: mark.Encode(), IfStamp: ifStamp, By: by})
}

func (o *Operators) unmark(ctx context.Context, by, key string) (int64, error) {
	return o.m.edit(ctx, wire.Edit{Part: feed.CharterPart, Key: key, IfStamp: -1, Gone: true, By: by})
}

func checkSubject(name string) error {
	if name == "" || len(name) > 64 {
		return mishap.New(mishap.Invalid, "the name is too long")
	}
	return nil
}
