package manager

import (
	"context"
	"strings"

	"caperwheel/internal/daemon"
	"caperwheel/internal/errs"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// edit changes one key and learns the outcome for sure, if it can be learnt. The
// part remembers the edit by its order, so it may be sent any number of times:
// it holds once, and is told so each time. Revision 0 means that it did not hold.
func (m *Manager) edit(ctx context.Context, e wire.Edit) (int64, error) {
	if e.Value == nil {
		e.Value = []byte{}
	}
	if e.Earlier == nil {
		e.Earlier = []string{}
	}
	call := daemon.Random(6)
	e.By += " #" + call
	if e.Order == "" {
		e.Order, e.Base = m.d.Who.Boot+"/"+call, wire.OneCall
	}
	ctx, cancel := timing.Within(ctx, m.d.Bounds.Config*2)
	defer cancel()
	for isOpen := false; ; { // whether a try may have had an effect that nobody told of
		reply, wasOpen, err := m.reach.Ask(ctx, e.Part, &e, func(reply any) (bool, string) {
			got, isEdited := reply.(*wire.Edited)
			return isEdited && got.Kind != string(errs.NotOwner) && got.Kind != string(errs.Undecided), ""
		})
		isOpen = isOpen || wasOpen
		switch {
		case err != nil && isOpen:
			return 0, undecided()
		case err != nil:
			return 0, errs.New(errs.NotOwner, "part %d has no owner now; nothing was changed", e.Part)
		}
		got := reply.(*wire.Edited)
		switch errs.Kind(got.Kind) {
		case "":
			return got.Revision, nil
		case errs.Stale:
			return 0, undecided()
		case errs.Conflict:
			return m.lost(ctx, e, got)
		}
		if timing.Wait(ctx, m.d.Bounds.Of(timing.StalePoll)); ctx.Err() != nil {
			if isOpen {
				return 0, undecided()
			}
			return 0, errs.New(errs.Kind(got.Kind), "part %d takes no change now", e.Part)
		}
	}
}

// lost settles an edit that did not hold: a lost race, or, with a store of an
// older build that remembers nothing, our own edit met twice. Who wrote last
// tells as much as can be known then.
func (m *Manager) lost(ctx context.Context, e wire.Edit, got *wire.Edited) (int64, error) {
	now, err := m.pull(ctx, e.Part, e.Key)
	switch {
	case err == nil && now.By == e.By:
		return now.Revision, nil
	case err != nil && !errs.Is(err, errs.Unknown):
		return 0, undecided()
	}
	return 0, errs.New(errs.Conflict, "%s", got.Text)
}

func undecided() error {
	return errs.New(errs.Undecided, "the change may or may not hold; read it back")
}

// pull reads a key through a majority.
func (m *Manager) pull(ctx context.Context, part int64, key string) (wire.Change, error) {
	got, err := m.read(ctx, part, key)
	return got.Change, err
}

// read is pull with all that the part's owner tells.
func (m *Manager) read(ctx context.Context, part int64, key string) (wire.Pulled, error) {
	ctx, cancel := timing.Within(ctx, m.d.Bounds.Config)
	defer cancel()
	reply, err := m.reach.Group(ctx, part, &wire.Pull{Part: part, Key: key}, func(reply any) (bool, string) {
		got, isPulled := reply.(*wire.Pulled)
		return isPulled && got.Kind != string(errs.NotOwner) && got.Kind != string(errs.DeadlineExceeded), ""
	})
	if err != nil {
		return wire.Pulled{}, errs.New(errs.Lost, "part %d cannot be read now", part)
	}
	got := reply.(*wire.Pulled)
	if got.Kind != "" {
		return wire.Pulled{}, errs.New(errs.Kind(got.Kind), "%s", key)
	}
	return *got, nil
}

// author gives the operator's word for itself without our request number.
func author(by string) string {
	name, _, _ := strings.Cut(by, " #")
	return name
}
