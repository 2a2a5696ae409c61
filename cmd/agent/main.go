// Command agent runs beside an adapter: it keeps the link to the control plane
// and feeds the adapter over loopback.
package main

import (
	"context"

	"caperwheel/internal/beat"
	"caperwheel/internal/daemon"
	"caperwheel/internal/mishap"
	"caperwheel/internal/session"
	"caperwheel/internal/transport"
	"caperwheel/internal/wire"
)

func main() {
	d := daemon.New("agent")
	beside := session.NewRegistry(d.Bounds.Of(beat.Gone))
	d.Link(map[string]transport.Handler{"session": func(_ wire.Who, body any, answer func(any)) {
		poll, isPoll := body.(*wire.Poll)
		if !isPoll {
			return
		}
		now := d.Now()
		beside.Hear(wire.Member{Who: poll.Who, Owns: poll.Owns, Fact: poll.Fact}, now, true)
		answer(session.NewsFor(poll, d.View, now, d.Roll.All))
	}})
	d.Ready = func() (bool, string) { return d.IsFresh(), string(mishap.Stale) }
	client := d.Client(func() wire.Poll {
		poll := d.Poll()
		_, poll.Beside = beside.Members(d.Now())
		return poll
	})
	go client.Run(context.Background())
	d.Serve(nil)
}
