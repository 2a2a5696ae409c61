package deliver

import (
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/groupclock"
	"caperwheel/internal/wire"
)

// StoreGroupTime takes in what a group's owner tells of its time, at a moment of the adapter's clock.
func StoreGroupTime(times *groupclock.Cache, m *wire.TellTime, now time.Duration) *wire.TimeTold {
	if err := times.Record(m.Group, groupclock.Reading{Term: m.Term, Millis: m.Reading}, now); err != nil {
		return &wire.TimeTold{Kind: string(errs.KindOf(err))}
	}
	return &wire.TimeTold{}
}

// ReportGroupTime tells a group's new owner what its time is.
func ReportGroupTime(times *groupclock.Cache, m *wire.AskTime, now time.Duration) *wire.TimeKept {
	word, _ := times.Lookup(m.Group, now)
	return &wire.TimeKept{Term: word.Term, Reading: word.Millis}
}
