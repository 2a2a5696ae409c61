package place

import (
	"maps"
	"slices"

	"caperwheel/internal/errs"
)

// Feature levels. The state of a replica that applied a command differently from the others would diverge. A change
// of the meaning of commands is therefore enabled by a command of its own, which an owner proposes once every replica
// in the roster has reported that it can apply the level. A level is never lowered.
const (
	LevelFreesKeys int64 = 1 // a key held by a message that has succeeded is released once its last run must be over
	LevelQuotas    int64 = 2 // the place counts tenants' limits
	LevelClaims    int64 = 3 // the place records which message an operation key belongs to
	LevelHomes     int64 = 4 // the place holds messages with the operation keys that hash to it itself
	NewestLevel          = LevelHomes
)

// IsNew reports whether the place has agreed on no feature level and has never been asked to accept a message.
func (m *Machine) IsNew() bool {
	return m.level == 0 && m.seq == 0 && m.IsIdle() && len(m.archive) == 0
}

// Level returns the feature level that the group has agreed on.
func (m *Machine) Level() int64 { return m.level }

// LevelRaisedAt returns the place time at which the level was last raised, for levels from LevelClaims on.
func (m *Machine) LevelRaisedAt() int64 { return m.levelRaisedAt }

// raiseLevel applies a CmdLevel.
func (m *Machine) raiseLevel(level int64) Result {
	if level > m.level && level >= LevelClaims {
		m.levelRaisedAt = m.clock
	}
	m.level = max(m.level, level)
	return Result{}
}

// RaiseLevel returns the command that raises the feature level of a group.
func RaiseLevel(level int64) Command { return Command{Kind: CmdLevel, Level: level} }

// checkLevel returns an error for a feature level that only newer builds can apply.
func checkLevel(level int64) error {
	if level > NewestLevel {
		return errs.New(errs.Rejected, "the group has agreed on feature level %d, but this build can apply only up to %d", level, NewestLevel)
	}
	return nil
}

// trackKeyHolder records a message that has succeeded although a later run of it may still go on.
func (m *Machine) trackKeyHolder(e *Message) {
	if e.State == Ended && e.IsHoldingKey {
		m.keyHolders[e.Id] = true
	}
}

// releaseHeldKeys releases the keys of messages that have succeeded and whose last run must be over by now. This
// depends only on the place time, which is the same at all replicas. Keys that are blocked by a failure, as a lane
// may be configured to do, are not released.
func (m *Machine) releaseHeldKeys() {
	if m.level < LevelFreesKeys || len(m.keyHolders) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(m.keyHolders)) {
		e := m.messages[id]
		if e != nil && m.clock < e.Due {
			continue
		}
		delete(m.keyHolders, id)
		if e != nil {
			e.IsHoldingKey = false
			m.releaseKey(e)
			m.archiveIfFinal(id)
		}
	}
}
