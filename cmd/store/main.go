// Command store keeps replicas of places and of parts of the control state on disk.
package main

import (
	"caperwheel/internal/store"
	"caperwheel/platform"
)

func main() { store.Run(platform.SettingsSource("store")) }
