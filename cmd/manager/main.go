// Command manager is the control daemon: sessions, feeds, the operators' API
// and the controllers.
package main

import "caperwheel/internal/manager"

func main() { manager.Run() }
