// Package agent is the daemon that runs beside an adapter, on the same machine. It keeps the session with the
// managers, serves the adapter the control state over loopback, and keeps the adapter's results until the owners of
// their places have acknowledged them. It is called by cmd/agent.
package agent

import (
	"context"

	"caperwheel/internal/daemon"
	"caperwheel/internal/errs"
	"caperwheel/internal/ownerclient"
	"caperwheel/internal/repair"
	"caperwheel/internal/session"
	"caperwheel/internal/timing"
	"caperwheel/internal/transport"
	"caperwheel/internal/wire"
)

// Agent is one agent.
type Agent struct {
	daemon          *daemon.Daemon
	adapterSessions *session.Registry    // session of the adapter on this machine
	results         *repair.ResultBuffer // results kept for the adapter
}

// New returns an agent on a daemon that is not linked yet.
func New(d *daemon.Daemon) *Agent {
	a := &Agent{daemon: d, adapterSessions: session.NewRegistry(d.Bounds.Of(timing.SessionTimeout)),
		results: repair.NewResultBuffer(d.Settings.MaxInFlight, d.Bounds.Of(timing.AnswerTimeout), d.Bounds.Of(timing.SettleTimeout))}
	d.Ready = func() (bool, string) { return d.IsFresh(), string(errs.Stale) }
	return a
}

// Handlers returns the handlers of the agent's links, by link.
func (a *Agent) Handlers() map[string]transport.Handler {
	return map[string]transport.Handler{"place": a.onResult, "session": a.onSession}
}

// onResult keeps a result for the adapter, or drops one that the adapter has delivered.
func (a *Agent) onResult(_ wire.Who, body any, answer func(any)) {
	o, isOutcome := body.(*wire.Outcome)
	if !isOutcome {
		return
	}
	if ack := a.results.Handle(o, a.daemon.Now()); ack != nil {
		answer(ack)
	}
}

// onSession renews the adapter's session and answers with the changes that the adapter lacks.
func (a *Agent) onSession(_ wire.Who, body any, answer func(any)) {
	poll, isPoll := body.(*wire.Poll)
	if !isPoll {
		return
	}
	now := a.daemon.Now()
	a.adapterSessions.Renew(wire.Member{Who: poll.Who, Owns: poll.Owns, Fact: poll.Fact}, now, true)
	answer(session.NewsFor(poll, a.daemon.View, now, a.daemon.Membership))
}

// poll returns the poll that the agent sends to its manager, with the state of itself and of the adapter.
func (a *Agent) poll() wire.Poll {
	poll := a.daemon.NewPoll()
	_, poll.Colocated = a.adapterSessions.Members(a.daemon.Now())
	poll.Fact.Counts["kept"] = int64(a.results.Count())
	return poll
}

// Run follows the managers until ctx ends. The daemon must be linked.
func (a *Agent) Run(ctx context.Context) { a.daemon.NewSessionClient(a.poll).Run(ctx) }

// DeliverResults sends kept results to the owners of their places until ctx ends.
func (a *Agent) DeliverResults(ctx context.Context) {
	owners := &ownerclient.Client{Node: a.daemon.Node, Membership: a.daemon.Membership, Bounds: a.daemon.Bounds, Link: wire.PlaceLink}
	a.results.DeliverResults(ctx, owners, func(place int64) int64 { return wire.FirstPlaceGroup + place }, a.daemon.Now)
}

// Measure adds the agent's metrics to the daemon's.
func (a *Agent) Measure() {
	a.daemon.AddMetrics(func(emit daemon.Emit) {
		emit("repair_kept", "Results kept for the adapter beside.", float64(a.results.Count()))
	})
}
