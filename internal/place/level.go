package place

import (
	"maps"
	"slices"

	"caperwheel/internal/errs"
)

// Feature levels. A replica that applied a command otherwise than the others would go apart from
// them, so what changes the meaning of commands is switched on by a command of its own, which an
// owner proposes once every replica of the roster has told that it can apply the level. A level
// is never lowered.
const (
	LevelFreesKeys int64 = 1 // a key goes on once a run that may still be going on must be over
	LevelQuotas    int64 = 2 // the place counts what tenants' limits allow
	NewestLevel          = LevelQuotas
)

// Level is the feature level that the group has agreed on.
func (m *Machine) Level() int64 { return m.level }

// RaiseLevel returns the command that raises a group's level.
func RaiseLevel(level int64) Command { return Command{Kind: CmdLevel, Level: level} }

// checkLevel refuses what a newer build has written.
func checkLevel(level int64) error {
	if level > NewestLevel {
		return errs.New(errs.Rejected, "the group has agreed on feature level %d, and this build can apply %d", level, NewestLevel)
	}
	return nil
}

// trackKeyHolder notes a message that has succeeded while a later run of its own may still go on.
func (m *Machine) trackKeyHolder(e *Message) {
	if e.State == Ended && e.IsHoldingKey {
		m.keyHolders[e.Id] = true
	}
}

// releaseHeldKeys lets the keys go on of messages that have succeeded and whose last run must be over
// by now. That follows from the clock alone, which is the same at all replicas. A lane may ask
// that a key waits behind a failure: that is no holder.
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
