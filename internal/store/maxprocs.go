package store

import "runtime"

// procsFloor is how many threads may be in the store's code at once. On one
// processor a second one goes on while the first is held up by a sync.
const procsFloor = 3

// raiseMaxProcs lets the store work on while it waits for its disk.
func raiseMaxProcs() { runtime.GOMAXPROCS(max(procsFloor, runtime.GOMAXPROCS(0))) }
