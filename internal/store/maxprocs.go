package store

import "runtime"

// procsFloor is the least number of threads that may run Go code at once. On a machine with one processor, a second
// thread can go on while the first one is blocked in a disk sync.
const procsFloor = 3

// raiseMaxProcs lets the store go on working while a thread waits for the disk.
func raiseMaxProcs() { runtime.GOMAXPROCS(max(procsFloor, runtime.GOMAXPROCS(0))) }
