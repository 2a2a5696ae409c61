// Command agent runs beside an adapter: it keeps the link to the control plane
// and feeds the adapter over loopback.
package main

import (
	"context"

	"caperwheel/internal/agent"
	"caperwheel/internal/daemon"
	"caperwheel/platform"
)

func main() {
	d := daemon.New("agent", platform.SettingsSource("agent"))
	a := agent.New(d)
	d.OpenTransport(a.Handlers())
	a.Measure()
	ctx := context.Background()
	go a.Run(ctx)
	go a.DeliverResults(ctx)
	d.Serve(nil)
}
