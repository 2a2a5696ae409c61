package manager

import (
	"context"
	"strings"

	"caperwheel/internal/daemon"
	"caperwheel/internal/errs"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// edit changes one key and returns the revision of the change. The part deduplicates edits by their
// operation ID, so edit retries until the outcome is certain or its time is over: the edit is applied
// at most once, and each retry gets the same answer. A revision of 0 means that the edit was not
// confirmed; the error is errs.Undecided if it may have been applied all the same.
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
	for mayHaveApplied := false; ; { // whether an attempt without a clear answer may have been applied
		reply, mayApply, err := m.ownerClient.CallOwnerTracked(ctx, e.Part, &e, func(reply any) (bool, string) {
			got, isEdited := reply.(*wire.Edited)
			return isEdited && got.Kind != string(errs.NotOwner) && got.Kind != string(errs.Undecided), ""
		})
		mayHaveApplied = mayHaveApplied || mayApply
		switch {
		case err != nil && mayHaveApplied:
			return 0, undecidedError()
		case err != nil:
			return 0, errs.New(errs.NotOwner, "part %d has no owner that can be reached; nothing was changed", e.Part)
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
			return 0, errs.New(errs.Kind(got.Kind), "part %d accepts no edits at present; nothing was changed", e.Part)
		}
	}
}

// resolveConflict determines the outcome of an edit that met a conflict. Either another edit came
// first, or a store of an older build, which does not deduplicate, has received ours twice. The
// author of the newest change tells the two apart, as far as that is possible.
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

// undecidedError returns the error of an edit whose outcome is unknown.
func undecidedError() error {
	return errs.New(errs.Undecided, "the outcome of the change is unknown; read the value back")
}

// readKey reads a key through a majority of its part.
func (m *Manager) readKey(ctx context.Context, part int64, key string) (wire.Change, error) {
	got, err := m.readReply(ctx, part, key)
	return got.Change, err
}

// readReply reads a key like readKey, and returns the whole reply of the part's owner.
func (m *Manager) readReply(ctx context.Context, part int64, key string) (wire.Pulled, error) {
	ctx, cancel := timing.Within(ctx, m.d.Bounds.ConfigApply)
	defer cancel()
	reply, err := m.ownerClient.CallOwner(ctx, part, &wire.Pull{Part: part, Key: key}, func(reply any) (bool, string) {
		got, isPulled := reply.(*wire.Pulled)
		return isPulled && got.Kind != string(errs.NotOwner) && got.Kind != string(errs.DeadlineExceeded), ""
	})
	if err != nil {
		return wire.Pulled{}, errs.New(errs.Lost, "part %d cannot be read: no owner has answered", part)
	}
	got := reply.(*wire.Pulled)
	if got.Kind != "" {
		return wire.Pulled{}, errs.New(errs.Kind(got.Kind), "%s", key)
	}
	return *got, nil
}

// author returns the author of a change as the operator gave it, without the request ID that edit adds.
func author(by string) string {
	name, _, _ := strings.Cut(by, " #")
	return name
}
