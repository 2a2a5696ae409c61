package deliver

import (
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/groupclock"
	"caperwheel/internal/wire"
)

// KeepTime takes in what a group's owner tells of its time, at a moment of the adapter's clock.
func KeepTime(times *groupclock.Keeper, m *wire.TellTime, now time.Duration) *wire.TimeTold {
	if err := times.Hear(m.Group, groupclock.Word{Term: m.Term, Reading: m.Reading}, now); err != nil {
		return &wire.TimeTold{Kind: string(errs.KindOf(err))}
	}
	return &wire.TimeTold{}
}

// RecallTime tells a group's new owner what its time is.
func RecallTime(times *groupclock.Keeper, m *wire.AskTime, now time.Duration) *wire.TimeKept {
	word, _ := times.Tell(m.Group, now)
	return &wire.TimeKept{Term: word.Term, Reading: word.Reading}
}
