package manager

import (
	"context"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/feed"
	"caperwheel/internal/wire"
)

func (o *Operators) setDrainOrder(ctx context.Context, by, key string, order config.DrainOrder, ifRevision int64) (int64, error) {
	return o.m.edit(ctx, wire.Edit{Part: feed.ConfigPart, Key: key, Value: order.Encode(), IfRevision: ifRevision, By: by})
}

func (o *Operators) clearDrainOrder(ctx context.Context, by, key string) (int64, error) {
	return o.m.edit(ctx, wire.Edit{Part: feed.ConfigPart, Key: key, IfRevision: -1, Gone: true, By: by})
}

func checkName(name string) error {
	if name == "" || len(name) > 64 {
		return errs.New(errs.Invalid, "the name is too long")
	}
	return nil
}
