// Command manager is the control daemon: it keeps the sessions of all daemons, distributes the control state to
// them, serves the operators' API and runs the controllers.
package main

import (
	"caperwheel/internal/daemon"
	"caperwheel/internal/manager"
	"caperwheel/platform"
)

func main() {
	source := platform.SettingsSource("manager")
	manager.Run(source, func(d *daemon.Daemon) manager.Options {
		if source == nil {
			return manager.Options{}
		}
		list := platform.ListOptions{Address: func() string { return d.CurrentSettings().List }, PageTimeout: d.Settings.ListLag.Duration}
		return manager.Options{
			Source: &manager.Source{Page: platform.NewPageReader(list), Rate: func() float64 { return d.CurrentSettings().ListRate },
				MaxLag: d.Settings.ListLag.Duration},
			ResendWindow: d.Settings.ResendWindow.Duration,
			ServeOperators: func(ops *manager.Operators) {
				platform.ServeOperators(d.OperatorsMux, ops, d.Settings.ResultRetention.Duration)
			},
		}
	})
}
