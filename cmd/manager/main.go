// Command manager is the control daemon: sessions, feeds, the operators' API
// and the controllers.
package main

import (
	"caperwheel/internal/daemon"
	"caperwheel/internal/manager"
)

func main() { manager.Run(options) }

// options joins the manager to what a platform has beside it: a source of
// workers and another interface of the operators. Without a platform, nothing.
func options(*daemon.Daemon) manager.Options { return manager.Options{} }
