// Command manager is the control daemon: sessions, feeds, the operators' API
// and the controllers.
package main

import (
	"caperwheel/internal/manager"
	"caperwheel/platform"
)

func main() { manager.Run(platform.Settings("manager")) }
