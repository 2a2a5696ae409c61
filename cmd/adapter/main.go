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
	"caperwheel/internal/ownerclient"
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
	d.CanReadConfig = configs.CanRead
	workers := deliver.DefaultCodec
	if source != nil {
		workers = platform.Deliveries
	}
	out := deliver.New(ctx, d, configs, workers)
	d.OpenTransport(map[string]transport.Handler{"run": out.Serve})
	out.UseNode()
	in := intake.New(d, configs)
	d.Mux.HandleFunc("GET /v1/messages/{id}/story", in.RequireAccess(out.ServeRuns))
	limits := limit.New(limit.Options{Holder: d.Who.Boot, Places: d.Settings.Places, Bounds: d.Bounds, Now: d.Now,
		RequestTokens: limit.ClientFor(&ownerclient.Client{Node: d.Node, Membership: d.Membership, Bounds: d.Bounds, Link: wire.PlaceLink, AttemptTimeout: timing.AnswerTimeout})})
	in.SetLimiter(limits)
	d.AddMetrics(limits.Measure)
	client := d.NewSessionClient(func() wire.Poll {
		poll := d.NewPoll()
		out.AddCounts(poll.Fact.Counts)
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
		case !configs.Current().MayStartWork(d.Who.Zone):
			return false, "the cell is being emptied"
		case !d.Membership.HasOwner(wire.FirstPlaceGroup):
			return false, "no place can be reached"
		}
		return true, ""
	}
	if source != nil {
		platform.ServeCallers(d.FrontMux, in)
		platform.ServeReadiness(d.ProbeMux, d.IsReady)
	} else {
		d.FrontMux.HandleFunc("/", in.PassthroughHandler(intake.DefaultCodec))
	}
	d.Serve(out.Drain)
}
