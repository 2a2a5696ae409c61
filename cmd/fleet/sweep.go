package main

import (
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/alitto/pond/v2"
	"k8s.io/klog/v2"

	"caperwheel/internal/errs"
	"caperwheel/internal/sim"
)

// sweepGCPercent is the garbage collector's target: the growth of the heap between two collections, in percent.
const sweepGCPercent = 400

// sweep simulates many seeds of each kind, each with a mix of faults. For a failing seed it prints the number, the
// trace and the violated rules; the same seed fails in the same way again.
func sweep(a *sweepCommand) error {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)         // log lines of the simulated daemons
	debug.SetGCPercent(sweepGCPercent) // simulations are short-lived: memory is cheaper than collection
	pool := pond.NewPool(runtime.NumCPU())
	var failedSeeds atomic.Int64
	var printing sync.Mutex
	for _, kind := range sim.SweepKinds() {
		if a.Kind != "" && a.Kind != kind {
			continue
		}
		group := pool.NewGroup()
		for seed := a.From; seed < a.From+a.Seeds; seed++ {
			group.Submit(func() {
				breaches, trace := sim.Sweep{Kind: kind, FaultNames: a.Only, FaultTime: a.Span}.RunSeed(seed)
				if len(breaches) == 0 {
					return
				}
				failedSeeds.Add(1)
				printing.Lock()
				defer printing.Unlock()
				fmt.Printf("%s seed %d is broken:\n%s\n%s\n", kind, seed, strings.Join(trace, "\n"), strings.Join(breaches, "\n"))
			})
		}
		if err := group.Wait(); err != nil {
			return errs.Wrap(err, errs.Internal, "run the sweep")
		}
		fmt.Printf("%s: %d seeds done, %d broken so far\n", kind, a.Seeds, failedSeeds.Load())
	}
	if n := failedSeeds.Load(); n > 0 {
		return errs.New(errs.Unhealthy, "%d seeds violated a rule", n)
	}
	return nil
}
