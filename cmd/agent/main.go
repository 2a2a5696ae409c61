// Command agent runs beside an adapter: it keeps the link to the control plane
// and feeds the adapter over loopback.
package main

import (
	"context"

	"caperwheel/internal/daemon"
	"caperwheel/internal/errs"
	"caperwheel/internal/reach"
	"caperwheel/internal/repair"
	"caperwheel/internal/session"
	"caperwheel/internal/timing"
	"caperwheel/internal/transport"
	"caperwheel/internal/wire"
	"caperwheel/platform"
)

func main() {
	d := daemon.New("agent", platform.Settings("agent"))
	beside := session.NewRegistry(d.Bounds.Of(timing.SessionTimeout))
	keeper := repair.NewKeeper(d.Settings.Most, d.Bounds.Of(timing.AnswerTimeout), d.Bounds.Of(timing.SettleTimeout))
	d.Link(map[string]transport.Handler{"place": func(_ wire.Who, body any, answer func(any)) {
		if o, isOutcome := body.(*wire.Outcome); isOutcome {
			if ack := keeper.Serve(o, d.Now()); ack != nil {
				answer(ack)
			}
		}
	}, "session": func(_ wire.Who, body any, answer func(any)) {
		poll, isPoll := body.(*wire.Poll)
		if !isPoll {
			return
		}
		now := d.Now()
		beside.Hear(wire.Member{Who: poll.Who, Owns: poll.Owns, Fact: poll.Fact}, now, true)
		answer(session.NewsFor(poll, d.View, now, d.Membership))
	}})
	d.Ready = func() (bool, string) { return d.IsFresh(), string(errs.Stale) }
	client := d.Client(func() wire.Poll {
		poll := d.Poll()
		_, poll.Beside = beside.Members(d.Now())
		poll.Fact.Counts["kept"] = int64(keeper.Count())
		return poll
	})
	d.Measure(func(emit daemon.Emit) {
		emit("repair_kept", "Results kept for the adapter beside.", float64(keeper.Count()))
	})
	go client.Run(context.Background())
	owners := &reach.Reach{Node: d.Node, Membership: d.Membership, Bounds: d.Bounds, Link: wire.PlaceLink}
	go keeper.HandOver(context.Background(), owners, func(place int64) int64 { return wire.PlaceGroup + place }, d.Now)
	d.Serve(nil)
}
