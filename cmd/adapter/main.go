// Command adapter is the front proxy: it takes messages in over HTTP and
// delivers them to workers and outside endpoints.
package main

import (
	"context"

	"caperwheel/internal/config"
	"caperwheel/internal/daemon"
	"caperwheel/internal/deliver"
	"caperwheel/internal/errs"
	"caperwheel/internal/intake"
	"caperwheel/internal/limit"
	"caperwheel/internal/reach"
	"caperwheel/internal/timing"
	"caperwheel/internal/transport"
	"caperwheel/internal/wire"
	"caperwheel/platform"
)

func main() {
	source := platform.Settings("adapter")
	d := daemon.New("adapter", source)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	configs := &config.Cache{View: d.View}
	d.CanRead = configs.CanRead
	workers := deliver.Own
	if source != nil {
		workers = platform.Deliveries
	}
	out := deliver.New(ctx, d, configs, workers)
	d.Link(map[string]transport.Handler{"run": out.Serve})
	out.Link()
	in := intake.New(d, configs)
	d.Mux.HandleFunc("GET /v1/messages/{id}/story", in.ForAskers(out.ServeStory))
	limits := limit.New(limit.Options{Holder: d.Who.Boot, Places: d.Settings.Places, Bounds: d.Bounds, Now: d.Now,
		Ask: limit.Through(&reach.Reach{Node: d.Node, Membership: d.Membership, Bounds: d.Bounds, Link: wire.PlaceLink, Try: timing.AnswerTimeout})})
	in.SetLimits(limits)
	d.Measure(limits.Measure)
	client := d.Client(func() wire.Poll {
		poll := d.Poll()
		out.Say(poll.Fact.Counts)
		return poll
	})
	go client.Run(ctx)
	go out.Run(ctx)
	go in.Run(ctx)
	go limits.Run(ctx)
	d.Ready = func() (bool, string) {
		switch {
		case out.IsLeaving():
			return false, "leaving"
		case !d.IsFresh():
			return false, string(errs.Stale)
		case !configs.Current().MayWork(d.Who.Zone):
			return false, "the cell is being emptied"
		case !d.Membership.HasOwner(wire.PlaceGroup):
			return false, "no place can be reached"
		}
		return true, ""
	}
	if source != nil {
		platform.ServeCallers(d.FrontMux, in)
		platform.ServeReadiness(d.ProbeMux, d.IsReady)
	} else {
		d.FrontMux.HandleFunc("/", in.AsItIs(intake.Own))
	}
	d.Serve(out.Drain)
}
