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
	if e.EarlierOperations == nil {
		e.EarlierOperations = []string{}
	}
	call := daemon.RandomId(6)
	e.By += " #" + call
	if e.OperationId == "" {
		e.OperationId, e.BaseVersion = m.d.Who.Boot+"/"+call, wire.SingleCallBase
	}
	ctx, cancel := timing.Within(ctx, m.d.Bounds.ConfigApply*2)
	defer cancel()
	for mayHaveApplied := false; ; { // whether a try may have had an effect that nobody told of
		reply, mayApply, err := m.reach.CallOwnerTracked(ctx, e.Part, &e, func(reply any) (bool, string) {
			got, isEdited := reply.(*wire.Edited)
			return isEdited && got.Kind != string(errs.NotOwner) && got.Kind != string(errs.Undecided), ""
		})
		mayHaveApplied = mayHaveApplied || mayApply
		switch {
		case err != nil && mayHaveApplied:
			return 0, undecidedError()
		case err != nil:
			return 0, errs.New(errs.NotOwner, "part %d has no owner now; nothing was changed", e.Part)
		}
		got := reply.(*wire.Edited)
		switch errs.Kind(got.Kind) {
		case "":
			return got.Revision, nil
		case errs.Stale:
			return 0, undecidedError()
		case errs.Conflict:
			return m.resolveConflict(ctx, e, got)
		}
		if timing.Wait(ctx, m.d.Bounds.Of(timing.StalePoll)); ctx.Err() != nil {
			if mayHaveApplied {
				return 0, undecidedError()
			}
			return 0, errs.New(errs.Kind(got.Kind), "part %d takes no change now", e.Part)
		}
	}
}

// lost settles an edit that did not hold: a lost race, or, with a store of an
// older build that remembers nothing, our own edit met twice. Who wrote last
// tells as much as can be known then.
func (m *Manager) resolveConflict(ctx context.Context, e wire.Edit, got *wire.Edited) (int64, error) {
	now, err := m.readKey(ctx, e.Part, e.Key)
	switch {
	case err == nil && now.By == e.By:
		return now.Revision, nil
	case err != nil && !errs.Is(err, errs.Unknown):
		return 0, undecidedError()
	}
	return 0, errs.New(errs.Conflict, "%s", got.Text)
}

func undecidedError() error {
	return errs.New(errs.Undecided, "the change may or may not hold; read it back")
}

// readKey reads a key through a majority.
func (m *Manager) readKey(ctx context.Context, part int64, key string) (wire.Change, error) {
	got, err := m.readReply(ctx, part, key)
	return got.Change, err
}

// read is pull with all that the part's owner tells.
func (m *Manager) readReply(ctx context.Context, part int64, key string) (wire.Pulled, error) {
	ctx, cancel := timing.Within(ctx, m.d.Bounds.ConfigApply)
	defer cancel()
	reply, err := m.reach.CallOwner(ctx, part, &wire.Pull{Part: part, Key: key}, func(reply any) (bool, string) {
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
