package store

import "runtime"

// procs is how many threads may be in the store's code at once. On one
// processor a second one goes on while the first is held up by a sync.
const procs = 3

// widen lets the store work on while it waits for its disk.
func widen() { runtime.GOMAXPROCS(max(procs, runtime.GOMAXPROCS(0))) }
