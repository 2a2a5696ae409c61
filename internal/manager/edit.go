package manager

import (
	"context"
	"strings"

	"caperwheel/internal/beat"
	"caperwheel/internal/daemon"
	"caperwheel/internal/mishap"
	"caperwheel/internal/wire"
)

// edit changes one key and learns the outcome for sure, if it can be learnt:
// after a lost answer it reads back who wrote the key last. Stamp 0 means the
// edit did not hold.
func (m *Manager) edit(ctx context.Context, e wire.Edit) (int64, error) {
	if e.Value == nil {
		e.Value = []byte{}
	}
	e.By += " #" + daemon.Random(6)
	ctx, cancel := beat.Within(ctx, m.d.Bounds.Charter*2)
	defer cancel()
	for {
		reply, err := m.reach.Group(ctx, e.Part, &e, func(reply any) (bool, string) {
			got, isEdited := reply.(*wire.Edited)
			return isEdited && got.Kind != string(mishap.NotOwner), ""
		})
		if err != nil && !mishap.Is(err, mishap.Undecided) {
			return 0, mishap.New(mishap.NotOwner, "part %d has no owner now; nothing was changed", e.Part)
		}
		if err != nil {
			return 0, mishap.New(mishap.Undecided, "the change may or may not hold; read it back")
		}
		got := reply.(*wire.Edited)
		if got.Kind == "" {
			return got.Stamp, nil
		}
		// A lost race, or our own edit met twice: who wrote last tells.
		now, err := m.pull(ctx, e.Part, e.Key)
		switch {
		case err == nil && now.By == e.By:
			return now.Stamp, nil
		case err != nil && !mishap.Is(err, mishap.Unknown):
			return 0, mishap.New(mishap.Undecided, "the change may or may not hold; read it back")
		case got.Kind == string(mishap.Conflict):
			return 0, mishap.New(mishap.Conflict, "%s", got.Text)
		}
		if ctx.Err() != nil {
			return 0, mishap.New(mishap.Undecided, "the change may or may not hold; read it back")
		}
	}
}

// pull reads a key through a majority.
func (m *Manager) pull(ctx context.Context, part int64, key string) (wire.Change, error) {
	ctx, cancel := beat.Within(ctx, m.d.Bounds.Charter)
	defer cancel()
	reply, err := m.reach.Group(ctx, part, &wire.Pull{Part: part, Key: key}, func(reply any) (bool, string) {
		got, isPulled := reply.(*wire.Pulled)
		return isPulled && got.Kind != string(mishap.NotOwner) && got.Kind != string(mishap.Late), ""
	})
	if err != nil {
		return wire.Change{}, mishap.New(mishap.Lost, "part %d cannot be read now", part)
	}
	got := reply.(*wire.Pulled)
	if got.Kind != "" {
		return wire.Change{}, mishap.New(mishap.Kind(got.Kind), "%s", key)
	}
	return got.Change, nil
}

// author gives the operator's word for itself without our request number.
func author(by string) string {
	name, _, _ := strings.Cut(by, " #")
	return name
}
