package deliver

import (
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/groupclock"
	"caperwheel/internal/wire"
)

// StoreGroupTime keeps the group time that a group's owner reports; now is the adapter's clock.
func StoreGroupTime(times *groupclock.Cache, m *wire.TellTime, now time.Duration) *wire.TimeTold {
	if err := times.Record(m.Group, groupclock.Reading{Term: m.Term, Millis: m.Reading}, now); err != nil {
		return &wire.TimeTold{Kind: string(errs.KindOf(err))}
	}
	return &wire.TimeTold{}
}

// ReportGroupTime tells a new owner of a group the newest group time that this adapter keeps.
func ReportGroupTime(times *groupclock.Cache, m *wire.AskTime, now time.Duration) *wire.TimeKept {
	word, _ := times.Lookup(m.Group, now)
	return &wire.TimeKept{Term: word.Term, Reading: word.Millis}
}
