package manager

import (
	"context"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/feed"
	"caperwheel/internal/wire"
)

// setDrainOrder writes a drain order at a key if the key's revision is ifRevision; -1 for any.
func (o *Operators) setDrainOrder(ctx context.Context, by, key string, order config.DrainOrder, ifRevision int64) (int64, error) {
	return o.m.edit(ctx, wire.Edit{Part: feed.ConfigPart, Key: key, Value: order.Encode(), IfRevision: ifRevision, By: by})
}

// clearDrainOrder removes the drain order at a key, whatever its revision.
func (o *Operators) clearDrainOrder(ctx context.Context, by, key string) (int64, error) {
	return o.m.edit(ctx, wire.Edit{Part: feed.ConfigPart, Key: key, IfRevision: -1, Gone: true, By: by})
}

// checkName rejects an empty name and one of more than 64 bytes.
func checkName(name string) error {
	if name == "" || len(name) > 64 {
		return errs.New(errs.Invalid, "the name must have 1 to 64 bytes")
	}
	return nil
}
