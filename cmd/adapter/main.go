// Command adapter is the front proxy: it accepts messages over HTTP and
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
	"caperwheel/internal/ownerclient"
	"caperwheel/internal/timing"
	"caperwheel/internal/transport"
	"caperwheel/internal/wire"
	"caperwheel/platform"
)

func main() {
	source := platform.SettingsSource("adapter")
	d := daemon.New("adapter", source)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	configs := &config.Cache{View: d.View}
	d.CanReadConfig = configs.CanRead
	codec := deliver.DefaultCodec
	if source != nil {
		codec = platform.DeliverCodec
	}
	deliverer := deliver.New(ctx, d, configs, codec)
	d.OpenTransport(map[string]transport.Handler{"run": deliverer.Serve})
	deliverer.UseNode()
	intakeServer := intake.New(d, configs)
	d.Mux.HandleFunc("GET /v1/messages/{id}/story", intakeServer.RequireAccess(deliverer.ServeRuns))
	limits := limit.New(limit.Options{Holder: d.Who.Boot, Places: d.Settings.Places, Bounds: d.Bounds, Now: d.Now,
		RequestTokens: limit.ClientFor(&ownerclient.Client{Node: d.Node, Membership: d.Membership, Bounds: d.Bounds, Link: wire.PlaceLink, AttemptTimeout: timing.AnswerTimeout})})
	intakeServer.SetLimiter(limits)
	d.AddMetrics(limits.Measure)
	client := d.NewSessionClient(func() wire.Poll {
		poll := d.NewPoll()
		deliverer.AddCounts(poll.Fact.Counts)
		intakeServer.AddCounts(poll.Fact.Counts)
		return poll
	})
	go client.Run(ctx)
	go deliverer.Run(ctx)
	go intakeServer.Run(ctx)
	go limits.Run(ctx)
	d.Ready = func() (bool, string) {
		switch {
		case deliverer.IsLeaving():
			return false, "leaving"
		case !d.IsFresh():
			return false, string(errs.Stale)
		case !configs.Current().MayStartWork(d.Who.Zone):
			return false, "the zone is being drained"
		case !d.Membership.HasOwner(wire.FirstPlaceGroup):
			return false, "no place has a known owner"
		}
		return true, ""
	}
	if source != nil {
		platform.ServeCallers(d.FrontMux, intakeServer)
		platform.ServeReadiness(d.ProbeMux, d.IsReady)
	} else {
		d.FrontMux.HandleFunc("/", intakeServer.PassthroughHandler(intake.DefaultCodec))
	}
	d.Serve(deliverer.Drain)
}
