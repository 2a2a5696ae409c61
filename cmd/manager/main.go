// Command manager is the control daemon: sessions, feeds, the operators' API
// and the controllers.
package main

import (
	"caperwheel/internal/daemon"
	"caperwheel/internal/manager"
	"caperwheel/platform"
)

func main() {
	source := platform.Settings("manager")
	manager.Run(source, func(d *daemon.Daemon) manager.Options {
		if source == nil {
			return manager.Options{}
		}
		list := platform.ListOptions{Address: func() string { return d.Live().List }, Bound: d.Settings.ListLag.Duration}
		return manager.Options{
			Source: &manager.Source{Page: platform.Pages(list), Rate: func() float64 { return d.Live().ListRate },
				Lag: d.Settings.ListLag.Duration},
			Resend: d.Settings.Resend.Duration,
			Serve: func(ops *manager.Operators) {
				platform.ServeOperators(d.OperatorsMux, ops, d.Settings.Keep.Duration)
			},
		}
	})
}
