package manager

import (
	"context"

	"caperwheel/internal/charter"
	"caperwheel/internal/errs"
	"caperwheel/internal/feed"
	"caperwheel/internal/wire"
)

func (o *Operators) mark(ctx context.Context, by, key string, mark charter.Mark, ifRevision int64) (int64, error) {
	return o.m.edit(ctx, wire.Edit{Part: feed.CharterPart, Key: key, Value: mark.Encode(), IfRevision: ifRevision, By: by})
}

func (o *Operators) unmark(ctx context.Context, by, key string) (int64, error) {
	return o.m.edit(ctx, wire.Edit{Part: feed.CharterPart, Key: key, IfRevision: -1, Gone: true, By: by})
}

func checkSubject(name string) error {
	if name == "" || len(name) > 64 {
		return errs.New(errs.Invalid, "the name is too long")
	}
	return nil
}
