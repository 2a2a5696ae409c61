// Command agent runs on the same machine as an adapter: it keeps the connections to the control plane and
// supplies the adapter with control state over loopback.
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
